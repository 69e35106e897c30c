package book_test

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
	"hillreel/internal/kept/book"
	"hillreel/internal/kept/ledger"
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
type noted struct {
	agent ident.Incarnation
	run   fleet.RunRef
	void  bool
}

// bench drives a Book by hand, with a store that does what it is told when the test says so.
type bench struct {
	memory.Store
	t       *testing.T
	now     time.Time
	book    *book.Book
	writes  []ledger.Op
	reads   int
	scans   int
	fetches [][]job.ID
	looks   []job.ID
	away    bool
	begun   []dispatch.Request
	let     []job.ID
	placed  []job.TaskID
	noted   []noted
	asked   map[ident.Incarnation]uint64
	answers map[dispatch.CallerID]dispatch.Answer
}

func (b *bench) Away() bool                                         { return b.away }
func (b *bench) Write(op ledger.Op)                                 { b.writes = append(b.writes, op) }
func (b *bench) ReadLeases()                                        { b.reads++ }
func (b *bench) Scan()                                              { b.scans++ }
func (b *bench) Fetch(ids []job.ID)                                 { b.fetches = append(b.fetches, ids) }
func (b *bench) Look(id job.ID)                                     { b.looks = append(b.looks, id) }
func (b *bench) Submit(_ time.Time, r dispatch.Request)             { b.begun = append(b.begun, r) }
func (b *bench) Release(_ time.Time, id job.ID, _ verdict.Reason)   { b.let = append(b.let, id) }
func (b *bench) PlaceAgain(_ time.Time, t job.TaskID)               { b.placed = append(b.placed, t) }
func (b *bench) Waiting() map[route.Name]int                        { return map[route.Name]int{"r": 3} }
func (b *bench) Linked() []ident.Incarnation                        { return []ident.Incarnation{agentA, agentB} }
func (b *bench) Ask(a ident.Incarnation, number uint64, _ []job.ID) { b.asked[a] = number }
func (b *bench) Answer(c dispatch.CallerID, a dispatch.Answer)      { b.answers[c] = a }
func (b *bench) Noted(a ident.Incarnation, r []fleet.RunRef, v bool) {
	for _, run := range r {
		b.noted = append(b.noted, noted{a, run, v})
	}
}

func newBench(t *testing.T, without rule.Set) *bench {
	b := &bench{
		Store: memory.New(), t: t, now: time.Unix(1000, 0), asked: make(map[ident.Incarnation]uint64),
		answers: make(map[dispatch.CallerID]dispatch.Answer),
	}
	b.book = book.New(book.Options{
		Node: "vm-1", Incarnation: 1, Layout: layout, Lease: lease, Renew: 500 * time.Millisecond, Keep: time.Minute,
		MaxRow: 1000, Settle: settle, Without: without, Count: func(string) {}, Log: logs.Discard(),
	}, b, b, b, b, b.now)
	return b
}

// clock is the store's clock.
func (b *bench) clock() time.Duration { return b.now.Sub(time.Unix(0, 0)) }

// put writes a row as somebody else does.
func (b *bench) put(k rows.Key, v any) {
	raw, err := record.Value(v)
	qt.Assert(b.t, err, qt.IsNil)
	b.Put(k, raw)
}

// write carries out the oldest write; lost ones are done, and done again by their repetition.
func (b *bench) write(lost bool) {
	op := b.writes[0]
	b.writes = b.writes[1:]
	if lost {
		b.Commit(op.Txn)
	}
	if b.Commit(op.Txn) {
		b.book.Written(b.now, ledger.Result{ID: op.ID, Outcome: ledger.Done, Version: b.Version})
		return
	}
	r := ledger.Result{ID: op.ID, Outcome: ledger.Conflict}
	for _, k := range op.Look {
		r.Found = append(r.Found, b.Rows[k])
	}
	b.book.Written(b.now, r)
}

// writeAll carries out all writes, and those that follow from them.
func (b *bench) writeAll() {
	for len(b.writes) > 0 {
		b.write(false)
	}
}

// leases answers a reading of the leases.
func (b *bench) leases() {
	b.book.LeasesRead(b.now, b.now, b.page(record.Leases), nil)
}

func (b *bench) page(t rows.Table) rows.Page {
	p := rows.Page{Now: b.clock()}
	for k, r := range b.Rows {
		if k.Table == t {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// pass lets time pass in ticks, with leases read and writes done all the while.
func (b *bench) pass(d time.Duration, store bool) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		reads := b.reads
		b.book.Tick(b.now)
		if store && b.reads > reads {
			b.leases()
			b.writeAll()
		}
	}
}

// hold gives the book its lease.
func (b *bench) hold() {
	b.book.Tick(b.now)
	b.leases()
	b.writeAll()
}

func (b *bench) submit(c dispatch.CallerID) {
	b.book.Submit(b.now, dispatch.Request{
		Job: jobID, Caller: c, Deadline: b.now.Add(3 * time.Second), Route: route.Route{Name: "r", Service: "publish", Attempts: 2},
		Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 2, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
	})
}

// start returns a bench with a job that runs.
func start(t *testing.T, without rule.Set) *bench {
	b := newBench(t, without)
	b.submit(1)
	b.hold()
	b.writeAll()
	qt.Assert(t, b.begun, qt.HasLen, 1)
	return b
}

func end(index uint32, run job.Run, o job.Outcome) fleet.End {
	return fleet.End{Task: job.TaskID{Job: jobID, Index: index}, Run: run, Outcome: o, Kept: true}
}
