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

// ack is one acknowledgement of an end to an agent.
type ack struct {
	agent ident.Incarnation
	run   fleet.RunRef
	void  bool
}

// harness drives an Owner step by step. Its store carries out reads and writes when the test says so.
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

func (h *harness) Unavailable() bool                      { return h.unavailable }
func (h *harness) Write(op jobstore.Op)                   { h.writes = append(h.writes, op) }
func (h *harness) ReadLeases()                            { h.reads++ }
func (h *harness) Scan()                                  { h.scans++ }
func (h *harness) Fetch(ids []job.ID)                     { h.fetches = append(h.fetches, ids) }
func (h *harness) LookUp(id job.ID)                       { h.lookups = append(h.lookups, id) }
func (h *harness) Submit(_ time.Time, r dispatch.Request) { h.submitted = append(h.submitted, r) }
func (h *harness) Release(_ time.Time, id job.ID, _ verdict.Reason) {
	h.released = append(h.released, id)
}
func (h *harness) PlaceAgain(_ time.Time, t job.TaskID)               { h.placed = append(h.placed, t) }
func (h *harness) Waiting() map[route.Name]int                        { return map[route.Name]int{"r": 3} }
func (h *harness) Linked() []ident.Incarnation                        { return []ident.Incarnation{agentA, agentB} }
func (h *harness) Ask(a ident.Incarnation, number uint64, _ []job.ID) { h.asked[a] = number }
func (h *harness) Answer(c dispatch.CallerID, a dispatch.Answer)      { h.answers[c] = a }
func (h *harness) Acknowledge(a ident.Incarnation, r []fleet.RunRef, v bool) {
	for _, run := range r {
		h.acks = append(h.acks, ack{a, run, v})
	}
}

func newHarness(t *testing.T, without rule.Set) *harness {
	h := &harness{
		Store: memory.New(), t: t, now: time.Unix(1000, 0), asked: make(map[ident.Incarnation]uint64),
		answers: make(map[dispatch.CallerID]dispatch.Answer),
	}
	h.owner = owner.New(owner.Options{
		Node: "vm-1", Incarnation: 1, Layout: layout, LeaseDuration: lease, RenewInterval: 500 * time.Millisecond, Retention: time.Minute,
		MaxRow: 1000, MaxTasks: 20, SettleTime: settle, Without: without, Count: func(string) {}, Log: logs.Discard(),
	}, h, h, h, h, h.now)
	return h
}

// clock returns the time of the store's clock.
func (h *harness) clock() time.Duration { return h.now.Sub(time.Unix(0, 0)) }

// put writes a row as another entry would.
func (h *harness) put(k rows.Key, v any) {
	raw, err := record.Encode(v)
	qt.Assert(h.t, err, qt.IsNil)
	h.Put(k, raw)
}

// completeWrite carries out the oldest write. If lost is true, the write's first answer is lost and the write is repeated.
func (h *harness) completeWrite(lost bool) {
	op := h.writes[0]
	h.writes = h.writes[1:]
	if lost {
		h.Commit(op.Txn)
	}
	if h.Commit(op.Txn) {
		h.owner.HandleWriteResult(h.now, jobstore.Result{ID: op.ID, Outcome: jobstore.Done, Version: h.Version})
		return
	}
	r := jobstore.Result{ID: op.ID, Outcome: jobstore.Conflict}
	for _, k := range op.ReadOnConflict {
		r.Found = append(r.Found, h.Rows[k])
	}
	h.owner.HandleWriteResult(h.now, r)
}

// completeWrites carries out all writes, and those that follow from them.
func (h *harness) completeWrites() {
	for len(h.writes) > 0 {
		h.completeWrite(false)
	}
}

// answerLeases answers a read of the leases.
func (h *harness) answerLeases() {
	h.owner.HandleLeases(h.now, h.now, h.page(record.Leases), nil)
}

func (h *harness) page(t rows.Table) rows.Page {
	p := rows.Page{Now: h.clock()}
	for k, r := range h.Rows {
		if k.Table == t {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// advance moves the time forward in ticks. If store is true, reads of leases are answered and writes are completed.
func (h *harness) advance(d time.Duration, store bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		reads := h.reads
		h.owner.Tick(h.now)
		if store && h.reads > reads {
			h.answerLeases()
			h.completeWrites()
		}
	}
}

// acquireLease lets the owner acquire its lease.
func (h *harness) acquireLease() {
	h.owner.Tick(h.now)
	h.answerLeases()
	h.completeWrites()
}

func (h *harness) submit(c dispatch.CallerID) {
	h.owner.Submit(h.now, dispatch.Request{
		Job: jobID, Caller: c, Deadline: h.now.Add(3 * time.Second), Route: route.Route{Name: "r", Service: "publish", Attempts: 2},
		Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 2, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
	})
}

// newHarnessWithJob returns a harness with a running job.
func newHarnessWithJob(t *testing.T, without rule.Set) *harness {
	h := newHarness(t, without)
	h.submit(1)
	h.acquireLease()
	h.completeWrites()
	qt.Assert(t, h.submitted, qt.HasLen, 1)
	return h
}

func end(index uint32, run job.Run, o job.Outcome) fleet.End {
	return fleet.End{Task: job.TaskID{Job: jobID, Index: index}, Run: run, Outcome: o, Kept: true}
}
