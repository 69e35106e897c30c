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
	t       *testing.T
	now     time.Time
	book    *book.Book
	rows    map[rows.Key]rows.Row
	version rows.Version
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
		t: t, now: time.Unix(1000, 0), rows: make(map[rows.Key]rows.Row), asked: make(map[ident.Incarnation]uint64),
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
	b.version++
	b.rows[k] = rows.Row{Key: k, Value: raw, Version: b.version}
}

// commit does a transaction if its conditions hold.
func (b *bench) commit(t rows.Txn) bool {
	for _, c := range t.If {
		if b.rows[c.Key].Version != c.Version {
			return false
		}
	}
	b.version++
	for _, r := range t.Put {
		r.Version = b.version
		b.rows[r.Key] = r
	}
	for _, k := range t.Remove {
		delete(b.rows, k)
	}
	return true
}

// write carries out the oldest write; lost ones are done, and done again by their repetition.
func (b *bench) write(lost bool) {
	op := b.writes[0]
	b.writes = b.writes[1:]
	if lost {
		b.commit(op.Txn)
	}
	if b.commit(op.Txn) {
		b.book.Written(b.now, ledger.Result{ID: op.ID, Outcome: ledger.Done, Version: b.version})
		return
	}
	r := ledger.Result{ID: op.ID, Outcome: ledger.Conflict}
	for _, k := range op.Look {
		r.Found = append(r.Found, b.rows[k])
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
	for k, r := range b.rows {
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

// TestAccept: a job is accepted once it is stored, whatever becomes of the answers; and what it promises otherwise.
func TestAccept(t *testing.T) {
	other := record.Open{Owner: "other", Generation: 1, Sequence: 1}
	for _, test := range []struct {
		name  string
		setUp func(b *bench)
		write func(b *bench)
		state verdict.State
		begun int
	}{
		{"stored", func(*bench) {}, func(b *bench) { b.writeAll() }, verdict.Accepted, 1},
		{"answer lost", func(*bench) {}, func(b *bench) { b.write(true) }, verdict.Accepted, 1},
		{"another entry has it", func(b *bench) {
			b.put(layout.JobKey(jobID), record.Job{})
			b.put(layout.OpenKey(jobID), other)
		}, func(b *bench) { b.writeAll() }, verdict.Accepted, 0},
		{"it has ended", func(b *bench) {
			b.put(layout.JobKey(jobID), record.Job{})
			b.put(layout.EndedKey(jobID), record.Ended{State: verdict.Complete})
		}, func(b *bench) { b.writeAll() }, verdict.Accepted, 0},
		{"refused", func(*bench) {}, func(b *bench) {
			b.book.Written(b.now, ledger.Result{ID: b.writes[0].ID, Outcome: ledger.Refused})
		}, verdict.Refused, 0},
		{"no answer in time", func(*bench) {}, func(b *bench) { b.pass(3500*time.Millisecond, false) }, verdict.Unresolved, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			test.setUp(b)
			b.book.Submit(b.now, dispatch.Request{Job: 99, Caller: 98, Spec: &job.Spec{}}) // takes the lease
			b.hold()
			b.writeAll()
			b.begun = nil
			b.submit(1)
			qt.Assert(t, b.answers, qt.HasLen, 1) // that of the other job
			test.write(b)
			qt.Assert(t, b.answers[1].State, qt.Equals, test.state)
			qt.Assert(t, b.answers[1].Verdict == verdict.NotRun, qt.Equals, test.state == verdict.Refused)
			qt.Assert(t, b.begun, qt.HasLen, test.begun)
		})
	}
}

// TestNotAccepted: what is refused at once, and what after a while without a lease; nothing is written of it.
func TestNotAccepted(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(b *bench)
		text  string
		waits time.Duration
		want  verdict.Reason
	}{
		{"too large for a row", func(*bench) {}, string(make([]byte, 2000)), 0, verdict.TooLarge},
		{"store away", func(b *bench) { b.away = true }, "x", 0, verdict.Overloaded},
		{"no lease", func(*bench) {}, "x", 700 * time.Millisecond, verdict.Overloaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			test.setUp(b)
			b.book.Submit(b.now, dispatch.Request{Job: jobID, Caller: 1, Spec: &job.Spec{Text: test.text}})
			qt.Assert(t, len(b.answers) == 0, qt.Equals, test.waits > 0)
			b.pass(test.waits, false)
			qt.Assert(t, b.answers[1].State, qt.Equals, verdict.Refused)
			qt.Assert(t, b.answers[1].Verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, b.answers[1].Reason, qt.Equals, test.want)
			qt.Assert(t, b.writes, qt.HasLen, 0)
		})
	}
}

// TestEndIsStoredFirst: neither callers nor agents hear of an end before it is stored.
func TestEndIsStoredFirst(t *testing.T) {
	b := start(t, nil)
	b.book.RunEnded(b.now, agentA, end(0, 1, job.Done))
	b.book.RunEnded(b.now, agentB, end(1, 1, job.Done))
	b.book.JobEnded(b.now, jobID, dispatch.Answer{State: verdict.Complete})
	state, known := b.book.State(jobID)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, state, qt.Equals, verdict.Running)
	qt.Assert(t, b.noted, qt.HasLen, 0)
	b.book.Watch(jobID, 5, b.now.Add(time.Second))
	b.write(true) // its first answer is lost
	state, _ = b.book.State(jobID)
	qt.Assert(t, state, qt.Equals, verdict.Complete)
	qt.Assert(t, b.answers[5].State, qt.Equals, verdict.Complete)
	qt.Assert(t, b.noted, qt.HasLen, 2)
	ended, err := record.Read[record.Ended](b.rows[layout.EndedKey(jobID)])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ended.State, qt.Equals, verdict.Complete)
	_, open := b.rows[layout.OpenKey(jobID)]
	qt.Assert(t, open, qt.IsFalse)
}

// TestProgress: an end that waits too long for its job's end is stored by itself.
func TestProgress(t *testing.T) {
	b := start(t, nil)
	b.book.RunEnded(b.now, agentA, end(0, 1, job.Done))
	b.pass(900*time.Millisecond, true)
	qt.Assert(t, b.noted, qt.HasLen, 0)
	b.pass(300*time.Millisecond, true)
	b.writeAll()
	qt.Assert(t, b.noted, qt.HasLen, 1)
	qt.Assert(t, b.noted[0], qt.Equals, noted{agentA, fleet.RunRef{Task: job.TaskID{Job: jobID}, Run: 1}, false})
}

// TestLostRun: a task whose agent is out of hearing is placed again only once the store says that its run counts for
// nothing; an end of that run that comes all the same is void.
func TestLostRun(t *testing.T) {
	b := start(t, nil)
	lost := fleet.RunRef{Task: job.TaskID{Job: jobID}, Run: 1}
	b.book.RunLost(b.now, lost)
	qt.Assert(t, b.placed, qt.HasLen, 0)
	b.writeAll()
	qt.Assert(t, b.placed, qt.DeepEquals, []job.TaskID{lost.Task})
	b.book.StrayEnd(b.now, agentA, end(0, 1, job.Done))
	qt.Assert(t, b.noted, qt.HasLen, 1)
	qt.Assert(t, b.noted[0], qt.Equals, noted{agentA, lost, true})
}

// TestLeaseThatEnds: an entry stops acting when its lease has ended, before any other entry may take its jobs over.
func TestLeaseThatEnds(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		let     int
	}{{"in force", nil, 1}, {"left out", rule.Without(rule.OwnerLease), 0}} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, test.without)
			b.pass(2*time.Second, true)
			qt.Assert(t, b.let, qt.HasLen, 0)
			b.pass(lease-100*time.Millisecond, false)
			qt.Assert(t, b.let, qt.HasLen, test.let)
		})
	}
}

// TestAdoption: when a lease has ended for long enough, its jobs are taken over, all agents are asked, and only then the
// job runs, with what they have told.
func TestAdoption(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		node    string
		wait    time.Duration
		asks    int
	}{
		{"another VM's", nil, "vm-2", settle + 200*time.Millisecond, 2},
		{"an earlier life of the same VM's", nil, "vm-1", settle, 2},
		{"nobody is asked", rule.Without(rule.AskFirst), "vm-2", settle + 200*time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.without)
			until := b.clock()
			if test.node == "vm-1" {
				until += time.Hour // the former life had just renewed it
			}
			b.put(record.LeaseKey("old-0"), record.Lease{Node: test.node, UntilMs: until.Milliseconds()})
			b.put(layout.JobKey(jobID), record.Job{
				Spec: job.Spec{Text: "x", Steps: []job.Step{{Count: 2}}}, Route: route.Route{Name: "r", Service: "publish"},
			})
			b.put(layout.OpenKey(jobID), record.Open{Owner: "old-0", Generation: 1, Sequence: 4, Ends: record.Ends{{Index: 1, Run: 3}}})
			b.pass(test.wait-300*time.Millisecond, true)
			qt.Assert(t, b.scans, qt.Equals, 0)
			b.pass(2*time.Second, true)
			qt.Assert(t, b.scans, qt.Equals, 1)
			b.book.Scanned(b.now, b.page(record.OpenRows("").Table).Rows, b.page(record.Leases), nil)
			qt.Assert(t, b.fetches, qt.DeepEquals, [][]job.ID{{jobID}})
			b.book.Fetched(b.now, b.fetches[0], []rows.Row{b.rows[layout.JobKey(jobID)]}, nil)
			b.writeAll()
			qt.Assert(t, b.asked, qt.HasLen, test.asks)
			if test.asks > 0 {
				qt.Assert(t, b.begun, qt.HasLen, 0)
				b.book.StrayEnd(b.now, agentA, end(0, 2, job.Done))
				b.book.Asked(b.now, agentA, b.asked[agentA])
				qt.Assert(t, b.begun, qt.HasLen, 0)
				b.book.AgentLost(b.now, agentB)
			}
			qt.Assert(t, b.begun, qt.HasLen, 1)
			known := b.begun[0].Kept
			qt.Assert(t, known.Done[job.TaskID{Job: jobID, Index: 1}], qt.IsTrue)
			qt.Assert(t, known.Done[job.TaskID{Job: jobID}], qt.Equals, test.asks > 0)
			qt.Assert(t, known.Runs, qt.Equals, job.Run(1024))
			qt.Assert(t, known.Late, qt.IsTrue)
			_, there := b.rows[record.LeaseKey("old-0")]
			qt.Assert(t, there, qt.IsFalse)
		})
	}
}

// TestEndsThatDoNotCount: what a new owner makes of ends that nobody has stored.
func TestEndsThatDoNotCount(t *testing.T) {
	open := record.Open{
		Owner: "gone-0", Generation: 3, Sequence: 1, Ends: record.Ends{{Index: 1, Run: 2050}},
		Void: []record.TaskRun{{Index: 0, Run: 2051}},
	}
	for _, test := range []struct {
		name  string
		index uint32
		run   job.Run
		void  bool
	}{
		{"of the last generation", 0, 2052, false},
		{"given up before", 0, 2051, true},
		{"of an earlier generation", 0, 2000, true},
		{"of a task that has ended well", 1, 2051, true},
		{"counted already", 1, 2050, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.put(layout.JobKey(jobID), record.Job{Spec: job.Spec{Steps: []job.Step{{Count: 2}}}})
			b.put(layout.OpenKey(jobID), open)
			b.book.Submit(b.now, dispatch.Request{Job: 99, Caller: 98, Spec: &job.Spec{}}) // takes the lease
			b.hold()
			b.writeAll()
			b.pass(11*time.Second, true) // its owner's lease is gone, which a scan finds
			qt.Assert(t, b.scans > 0, qt.IsTrue)
			b.book.Scanned(b.now, []rows.Row{b.rows[layout.OpenKey(jobID)]}, b.page(record.Leases), nil)
			b.book.Fetched(b.now, []job.ID{jobID}, []rows.Row{b.rows[layout.JobKey(jobID)]}, nil)
			b.writeAll()
			b.book.StrayEnd(b.now, agentA, end(test.index, test.run, job.Done))
			qt.Assert(t, len(b.noted) == 1 && b.noted[0].void, qt.Equals, test.void)
		})
	}
}

// TestEndOfUnknownJob: an entry that is told of an end whose job it does not own asks the store.
func TestEndOfUnknownJob(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(b *bench)
		noted int
		void  bool
	}{
		{"open elsewhere", func(b *bench) { b.put(layout.OpenKey(jobID), record.Open{Owner: "other"}) }, 0, false},
		{"complete, by this run", func(b *bench) { b.put(layout.EndedKey(jobID), record.Ended{State: verdict.Complete}) }, 1, false},
		{"complete, by another run", func(b *bench) {
			b.put(layout.EndedKey(jobID), record.Ended{State: verdict.Complete, Runs: record.Ends{{Index: 0, Run: 4}}})
		}, 1, true},
		{"cancelled", func(b *bench) { b.put(layout.EndedKey(jobID), record.Ended{State: verdict.Cancelled}) }, 1, true},
		{"forgotten", func(*bench) {}, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			test.setUp(b)
			b.book.StrayEnd(b.now, agentA, end(0, 1, job.Done))
			qt.Assert(t, b.looks, qt.DeepEquals, []job.ID{jobID})
			b.book.Looked(jobID, b.rows[layout.OpenKey(jobID)], b.rows[layout.EndedKey(jobID)], nil)
			qt.Assert(t, b.noted, qt.HasLen, test.noted)
			if test.noted > 0 {
				qt.Assert(t, b.noted[0].void, qt.Equals, test.void)
			}
		})
	}
}

// TestCancel: a job is cancelled once that is stored; one that another entry has cancelled is let go.
func TestCancel(t *testing.T) {
	b := start(t, nil)
	qt.Assert(t, b.book.Cancel(b.now, jobID, 5), qt.IsTrue)
	qt.Assert(t, b.answers, qt.HasLen, 1)
	b.writeAll()
	qt.Assert(t, b.answers[5].State, qt.Equals, verdict.Cancelled)
	qt.Assert(t, b.let, qt.DeepEquals, []job.ID{jobID})
	qt.Assert(t, b.book.Cancel(b.now, jobID, 6), qt.IsTrue)
	qt.Assert(t, b.answers[6].State, qt.Equals, verdict.Cancelled)
	qt.Assert(t, b.book.Cancel(b.now, 50, 7), qt.IsFalse)
	b = start(t, nil)
	b.book.CancelledElsewhere(b.now, []job.ID{jobID, 50})
	qt.Assert(t, b.let, qt.DeepEquals, []job.ID{jobID})
	state, _ := b.book.State(jobID)
	qt.Assert(t, state, qt.Equals, verdict.Cancelled)
}

// TestHandOver: an entry that leaves ends its lease, so that nobody waits for it.
func TestHandOver(t *testing.T) {
	b := start(t, nil)
	b.book.Leave(b.now)
	qt.Assert(t, b.let, qt.DeepEquals, []job.ID{jobID})
	b.writeAll()
	for _, row := range b.page(record.Leases).Rows {
		l, err := record.Read[record.Lease](row)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Until() <= b.clock(), qt.IsTrue)
	}
}
