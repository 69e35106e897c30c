package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/owner"
	"hillreel/internal/kept/record"
	"hillreel/internal/standin/memory"
)

var layout = record.Layout{Parts: 2}

const (
	agentA, agentB = ident.Incarnation(11), ident.Incarnation(12)
	jobID          = job.ID(7)
	settle         = 1100 * time.Millisecond
	lease          = 4 * time.Second
)

// noted is one word to an agent about ends.
type ack struct {
	agent ident.Incarnation
	run   fleet.RunRef
	void  bool
}

// bench drives a Book by hand, with a store that does what it is told when the test says so.
type harness struct {
	memory.Store
	t           *testing.T
	now         time.Time
	owner       *owner.Owner
	writes      []jobstore.Op
	reads       int
	scans       int
	fetches     [][]job.ID
	lookups     []job.ID
	unavailable bool
	submitted   []dispatch.Request
	released    []job.ID
	placed      []job.TaskID
	acks        []ack
	asked       map[ident.Incarnation]uint64
	answers     map[dispatch.CallerID]dispatch.Answer
}

func (b *harness) Unavailable() bool                      { return b.unavailable }
func (b *harness) Write(op jobstore.Op)                   { b.writes = append(b.writes, op) }
func (b *harness) ReadLeases()                            { b.reads++ }
func (b *harness) Scan()                                  { b.scans++ }
func (b *harness) Fetch(ids []job.ID)                     { b.fetches = append(b.fetches, ids) }
func (b *harness) LookUp(id job.ID)                       { b.lookups = append(b.lookups, id) }
func (b *harness) Submit(_ time.Time, r dispatch.Request) { b.submitted = append(b.submitted, r) }
func (b *harness) Release(_ time.Time, id job.ID, _ verdict.Reason) {
	b.released = append(b.released, id)
}
func (b *harness) PlaceAgain(_ time.Time, t job.TaskID)               { b.placed = append(b.placed, t) }
func (b *harness) Waiting() map[route.Name]int                        { return map[route.Name]int{"r": 3} }
func (b *harness) Linked() []ident.Incarnation                        { return []ident.Incarnation{agentA, agentB} }
func (b *harness) Ask(a ident.Incarnation, number uint64, _ []job.ID) { b.asked[a] = number }
func (b *harness) Answer(c dispatch.CallerID, a dispatch.Answer)      { b.answers[c] = a }
func (b *harness) Acknowledge(a ident.Incarnation, r []fleet.RunRef, v bool) {
	for _, run := range r {
		b.acks = append(b.acks, ack{a, run, v})
	}
}

func newHarness(t *testing.T, without rule.Set) *harness {
	b := &harness{
		Store: memory.New(), t: t, now: time.Unix(1000, 0), asked: make(map[ident.Incarnation]uint64),
		answers: make(map[dispatch.CallerID]dispatch.Answer),
	}
	b.owner = owner.New(owner.Options{
		Node: "vm-1", Incarnation: 1, Layout: layout, LeaseDuration: lease, RenewInterval: 500 * time.Millisecond, Retention: time.Minute,
		MaxRow: 1000, SettleTime: settle, Without: without, Count: func(string) {}, Log: logs.Discard(),
	}, b, b, b, b, b.now)
	return b
}

// clock is the store's clock.
func (b *harness) clock() time.Duration { return b.now.Sub(time.Unix(0, 0)) }

// put writes a row as somebody else does.
func (b *harness) put(k rows.Key, v any) {
	raw, err := record.Encode(v)
	qt.Assert(b.t, err, qt.IsNil)
	b.Put(k, raw)
}

// write carries out the oldest write; lost ones are done, and done again by their repetition.
func (b *harness) completeWrite(lost bool) {
	op := b.writes[0]
	b.writes = b.writes[1:]
	if lost {
		b.Commit(op.Txn)
	}
	if b.Commit(op.Txn) {
		b.owner.HandleWriteResult(b.now, jobstore.Result{ID: op.ID, Outcome: jobstore.Done, Version: b.Version})
		return
	}
	r := jobstore.Result{ID: op.ID, Outcome: jobstore.Conflict}
	for _, k := range op.ReadOnConflict {
		r.Found = append(r.Found, b.Rows[k])
	}
	b.owner.HandleWriteResult(b.now, r)
}

// writeAll carries out all writes, and those that follow from them.
func (b *harness) completeWrites() {
	for len(b.writes) > 0 {
		b.completeWrite(false)
	}
}

// leases answers a reading of the leases.
func (b *harness) answerLeases() {
	b.owner.HandleLeases(b.now, b.now, b.page(record.Leases), nil)
}

func (b *harness) page(t rows.Table) rows.Page {
	p := rows.Page{Now: b.clock()}
	for k, r := range b.Rows {
		if k.Table == t {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// pass lets time pass in ticks, with leases read and writes done all the while.
func (b *harness) advance(d time.Duration, store bool) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		reads := b.reads
		b.owner.Tick(b.now)
		if store && b.reads > reads {
			b.answerLeases()
			b.completeWrites()
		}
	}
}

// hold gives the book its lease.
func (b *harness) acquireLease() {
	b.owner.Tick(b.now)
	b.answerLeases()
	b.completeWrites()
}

func (b *harness) submit(c dispatch.CallerID) {
	b.owner.Submit(b.now, dispatch.Request{
		Job: jobID, Caller: c, Deadline: b.now.Add(3 * time.Second), Route: route.Route{Name: "r", Service: "publish", Attempts: 2},
		Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 2, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
	})
}

// start returns a bench with a job that runs.
func newHarnessWithJob(t *testing.T, without rule.Set) *harness {
	b := newHarness(t, without)
	b.submit(1)
	b.acquireLease()
	b.completeWrites()
	qt.Assert(t, b.submitted, qt.HasLen, 1)
	return b
}

func end(index uint32, run job.Run, o job.Outcome) fleet.End {
	return fleet.End{Task: job.TaskID{Job: jobID, Index: index}, Run: run, Outcome: o, Kept: true}
}
