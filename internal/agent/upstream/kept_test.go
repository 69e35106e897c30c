package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// orderKept orders one task of a kept job.
func (b *harness) orderKept(e ident.Incarnation, run job.Run) {
	b.seq++
	b.manager.Order(b.now, e, fleet.Order{
		Seq: b.seq, Job: jobID, Kept: true, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	b.manager.Flush(b.now)
}

// list answers all holds that wait with ends.
func (b *harness) list(ends ...call.Finished) {
	b.pass(time.Millisecond)
	waiting := b.holds[b.answered:]
	b.answered = len(b.holds)
	for _, c := range waiting {
		b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.OK, Clock: b.clock(), Finished: ends})
	}
	b.manager.Flush(b.now)
}

// seen is what the newest hold lets the upstream forget.
func (b *harness) seen() uint64 {
	b.list()
	b.pass(100 * time.Millisecond)
	for _, e := range []ident.Incarnation{one, two} {
		b.manager.Ping(b.now, e, b.rooms[e].Clock, 0)
	}
	b.manager.Tick(b.now)
	b.manager.Flush(b.now)
	return b.holds[len(b.holds)-1].Seen
}

// TestEndsOfKeptRunsAreWithheld: the upstream remembers the end of a kept job's run, and all later ends, until it is
// noted; an end that counts for nothing is forgotten only once the lease has lapsed.
func TestEndsOfKeptRunsAreWithheld(t *testing.T) {
	done := call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone}
	other := call.Finished{Number: 2, Task: job.TaskID{Job: 50}, Run: 1, Result: call.ResultDone}
	ref := []fleet.RunRef{{Task: task, Run: 1}}
	for _, test := range []struct {
		name    string
		without rule.Set
		then    func(b *harness)
		seen    uint64
	}{
		{"not noted", nil, func(*harness) {}, 0},
		{"noted", nil, func(b *harness) { b.manager.ResolveEnds(ref, false) }, 2},
		{"another run noted", nil, func(b *harness) { b.manager.ResolveEnds([]fleet.RunRef{{Task: task, Run: 2}}, false) }, 0},
		{"void, and the lease alive", nil, func(b *harness) { b.manager.ResolveEnds(ref, true) }, 0},
		{"void, and the lease lapsed", nil, func(b *harness) {
			b.manager.ResolveEnds(ref, true)
			b.pass(timing.Lease + 100*time.Millisecond)
			b.manager.Tick(b.now)
			b.list()
		}, 2},
		{"left out", rule.Without(rule.WithholdEnds), func(*harness) {}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, test.without)
			b.orderKept(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			b.list(done, other)
			qt.Assert(t, b.ends[one], qt.HasLen, 1)
			qt.Assert(t, b.ends[one][0].Outcome, qt.Equals, job.Done)
			test.then(b)
			qt.Assert(t, b.seen(), qt.Equals, test.seen)
		})
	}
}

// TestVoidEndStopsNewWork: while an end waits for the lease to lapse, nothing extends it.
func TestVoidEndStopsNewWork(t *testing.T) {
	b := newHarness(t, nil)
	b.orderKept(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
	b.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
	b.manager.ResolveEnds([]fleet.RunRef{{Task: task, Run: 1}}, true)
	b.order(two, 1)
	qt.Assert(t, b.starts, qt.HasLen, 1)
	qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
	b.seen()
	qt.Assert(t, b.holds[len(b.holds)-1].LeaseUntil, qt.Equals, call.Clock(0))
}

// TestAsk: an entry that takes a job over hears of its ends once nothing of it runs for anybody else.
func TestQueryEnds(t *testing.T) {
	b := newHarness(t, nil)
	b.orderKept(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
	b.manager.QueryEnds(b.now, two, 7, []job.ID{jobID})
	b.manager.Flush(b.now)
	qt.Assert(t, b.endsSent, qt.HasLen, 0)
	qt.Assert(t, b.stops, qt.HasLen, 1)
	b.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone}) // it has ended before the stop came
	qt.Assert(t, b.endsSent, qt.DeepEquals, []uint64{7})
	qt.Assert(t, b.ends[two], qt.DeepEquals, []fleet.End{{Task: task, Run: 1, Outcome: job.Done, Took: b.ends[one][0].Took, Kept: true}})
	b.orderKept(two, 1025)
	qt.Assert(t, b.starts, qt.HasLen, 1) // it has ended well already
	qt.Assert(t, b.ends[two][1].Run, qt.Equals, job.Run(1025))
	qt.Assert(t, b.ends[two][1].Outcome, qt.Equals, job.Done)
}

// TestOldEndIsVoidOnceStartedSince: an order is answered with an earlier end only if its task can't have started elsewhere
// since (schedule 7024031: runs 1025 and 1026 were elsewhere, and 1027 was answered with the end of run 1).
func TestOldEndIsVoidOnceStartedSince(t *testing.T) {
	for _, test := range []struct {
		name    string
		run     job.Run
		outcome job.Outcome
	}{
		{"next run", 2, job.Done},
		{"first of the next generation", 1025, job.Done},
		{"runs between", 3, job.NotStarted},
		{"runs of the next generation between", 1027, job.NotStarted},
		{"a generation between", 2049, job.NotStarted},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.orderKept(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			b.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
			b.orderKept(two, test.run)
			qt.Assert(t, b.starts, qt.HasLen, 1)
			qt.Assert(t, b.ends[two], qt.HasLen, 1)
			qt.Assert(t, b.ends[two][0].Outcome, qt.Equals, test.outcome)
			qt.Assert(t, b.ends[two][0].Run, qt.Equals, test.run)
		})
	}
}

// TestEndsAreToldAgain: an end that its entry does not note is told to other entries as well, which can ask the store
// about its job; and to its own entry, first of all, when that is linked anew.
func TestEndsAreSentAgain(t *testing.T) {
	b := newHarness(t, nil)
	b.orderKept(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
	b.manager.EntryUnlinked(b.now, one, "link_down")
	b.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
	qt.Assert(t, b.ends[one], qt.HasLen, 0)
	b.manager.EntryLinked(b.now, one)
	qt.Assert(t, b.ends[one], qt.HasLen, 1)
	for range 60 {
		b.seen()
	}
	qt.Assert(t, len(b.ends[two]) > 0, qt.IsTrue)
	qt.Assert(t, len(b.ends[one]) > 1, qt.IsTrue)
}

// TestUnlistedIsNotLost: upstreams list 500 ends at once. A run that is neither among them nor running may have ended well:
// it was called lost and started again (a trial day with kept jobs, its entry replaced, 500 ends not stored).
func TestUnlistedIsNotLost(t *testing.T) {
	for _, test := range []struct{ listed, ends int }{{499, 1}, {500, 0}} {
		b := newHarness(t, nil)
		b.order(one, 1)
		b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
		b.pass(time.Millisecond)
		b.answerHolds(call.Running{Task: task, Run: 1}) // the next hold is sent after the start was answered
		var finished []call.Finished
		for n := range test.listed {
			finished = append(finished, call.Finished{Number: uint64(n + 1), Task: job.TaskID{Job: 99, Index: uint32(n)}, Run: 1, Result: call.ResultDone})
		}
		b.list(finished...)
		qt.Assert(t, b.ends[one], qt.HasLen, test.ends)
	}
}

// TestManyRememberedEnds: when an upstream remembers so many ends that new ones might not be listed, old ones are made
// void, and until they are forgotten nothing starts.
func TestManyRememberedEnds(t *testing.T) {
	b := newHarness(t, nil)
	b.orderKept(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
	var finished []call.Finished
	finished = append(finished, call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
	for n := range 499 {
		finished = append(finished, call.Finished{Number: uint64(n + 2), Task: job.TaskID{Job: 99, Index: uint32(n)}, Run: 1, Result: call.ResultDone})
	}
	b.list(finished...)
	b.manager.Flush(b.now)
	b.order(two, 1)
	qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
	for range 40 {
		b.seen()
	}
	qt.Assert(t, b.seen(), qt.Equals, uint64(500))
}

// TestEarlierLeaseLapsesFirst: an agent that starts does not let the upstream forget ends that an earlier agent has left,
// nor start anything, until the earlier lease has surely lapsed; unless the upstream says that it has.
func TestEarlierLeaseLapsesFirst(t *testing.T) {
	left := call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone}
	for _, test := range []struct {
		name     string
		without  rule.Set
		finished []call.Finished
		quiet    bool
	}{
		{"nothing left", nil, nil, false},
		{"an end left", nil, []call.Finished{left}, true},
		{"an end left, and a lapse after it", nil, []call.Finished{left, {Number: 2, Task: task, Run: 2, Result: call.ResultLapsed}}, false},
		{"left out", rule.Without(rule.AckAfterLapse), []call.Finished{left}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &harness{t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room)}
			b.manager = upstream.New(timing, test.without, b.now, b, b, b)
			b.manager.Heartbeat(b.now, lives.Heartbeat{
				Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Minute),
			})
			b.manager.EntryLinked(b.now, one)
			b.list(test.finished...)
			want := fleet.Ready
			if test.quiet {
				want = fleet.Clearing
			}
			qt.Assert(t, b.rooms[one].State, qt.Equals, want)
			qt.Assert(t, b.seen() == 0, qt.Equals, test.quiet || test.finished == nil)
			b.pass(timing.Lease + 200*time.Millisecond)
			b.list()
			qt.Assert(t, b.seen(), qt.Equals, uint64(len(test.finished)))
			qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
		})
	}
}
