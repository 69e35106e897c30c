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
func (h *harness) orderKept(e ident.Incarnation, run job.Run) {
	h.seq++
	h.controller.Order(h.now, e, fleet.Order{
		Seq: h.seq, Job: jobID, Kept: true, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	h.controller.Flush(h.now)
}

// list answers all waiting holds with ends.
func (h *harness) list(ends ...call.Finished) {
	h.pass(time.Millisecond)
	waiting := h.holds[h.answered:]
	h.answered = len(h.holds)
	for _, c := range waiting {
		h.controller.HoldDone(h.now, c, call.HoldResult{Answer: call.OK, Clock: h.clock(), Finished: ends})
	}
	h.controller.Flush(h.now)
}

// seen returns up to which number the newest hold lets the upstream forget ends.
func (h *harness) seen() uint64 {
	h.list()
	h.pass(100 * time.Millisecond)
	for _, e := range []ident.Incarnation{one, two} {
		h.controller.Ping(h.now, e, h.rooms[e].Clock, 0)
	}
	h.controller.Tick(h.now)
	h.controller.Flush(h.now)
	return h.holds[len(h.holds)-1].Seen
}

// TestEndsOfKeptRunsAreWithheld: the upstream remembers the end of a kept job's run, and all later ends, until the end is stored. An end
// that is void is forgotten only once the lease has lapsed.
func TestEndsOfKeptRunsAreWithheld(t *testing.T) {
	done := call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone}
	other := call.Finished{Number: 2, Task: job.TaskID{Job: 50}, Run: 1, Result: call.ResultDone}
	ref := []fleet.RunRef{{Task: task, Run: 1}}
	for _, test := range []struct {
		name    string
		without rule.Set
		then    func(h *harness)
		seen    uint64
	}{
		{"not resolved", nil, func(*harness) {}, 0},
		{"stored", nil, func(h *harness) { h.controller.ResolveEnds(ref, false) }, 2},
		{"another run stored", nil, func(h *harness) { h.controller.ResolveEnds([]fleet.RunRef{{Task: task, Run: 2}}, false) }, 0},
		{"void, and the lease in force", nil, func(h *harness) { h.controller.ResolveEnds(ref, true) }, 0},
		{"void, and the lease lapsed", nil, func(h *harness) {
			h.controller.ResolveEnds(ref, true)
			h.pass(timing.Lease + 100*time.Millisecond)
			h.controller.Tick(h.now)
			h.list()
		}, 2},
		{"rule left out", rule.Without(rule.WithholdEnds), func(*harness) {}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.without)
			h.orderKept(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			h.list(done, other)
			qt.Assert(t, h.ends[one], qt.HasLen, 1)
			qt.Assert(t, h.ends[one][0].Outcome, qt.Equals, job.Done)
			test.then(h)
			qt.Assert(t, h.seen(), qt.Equals, test.seen)
		})
	}
}

// TestVoidEndStopsNewWork: while a void end waits for the lease to lapse, nothing extends the lease.
func TestVoidEndStopsNewWork(t *testing.T) {
	h := newHarness(t, nil)
	h.orderKept(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
	h.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
	h.controller.ResolveEnds([]fleet.RunRef{{Task: task, Run: 1}}, true)
	h.order(two, 1)
	qt.Assert(t, h.starts, qt.HasLen, 1)
	qt.Assert(t, h.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
	h.seen()
	qt.Assert(t, h.holds[len(h.holds)-1].LeaseUntil, qt.Equals, call.Clock(0))
}

// TestQueryEnds: an entry that takes a job over is sent the job's ends once none of the job's runs belongs to another entry.
func TestQueryEnds(t *testing.T) {
	h := newHarness(t, nil)
	h.orderKept(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
	h.controller.QueryEnds(h.now, two, 7, []job.ID{jobID})
	h.controller.Flush(h.now)
	qt.Assert(t, h.endsSent, qt.HasLen, 0)
	qt.Assert(t, h.stops, qt.HasLen, 1)
	h.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone}) // the run ended before its stop arrived
	qt.Assert(t, h.endsSent, qt.DeepEquals, []uint64{7})
	qt.Assert(t, h.ends[two], qt.DeepEquals, []fleet.End{{Task: task, Run: 1, Outcome: job.Done, Took: h.ends[one][0].Took, Kept: true}})
	h.orderKept(two, 1025)
	qt.Assert(t, h.starts, qt.HasLen, 1) // the task has already ended well
	qt.Assert(t, h.ends[two][1].Run, qt.Equals, job.Run(1025))
	qt.Assert(t, h.ends[two][1].Outcome, qt.Equals, job.Done)
}

// TestOldEndIsVoidOnceStartedSince: an order is answered with an earlier end only if its task can't have been started elsewhere since. In
// schedule 7024031, runs 1025 and 1026 were elsewhere, and run 1027 was answered with the end of run 1.
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
			h := newHarness(t, nil)
			h.orderKept(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			h.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
			h.orderKept(two, test.run)
			qt.Assert(t, h.starts, qt.HasLen, 1)
			qt.Assert(t, h.ends[two], qt.HasLen, 1)
			qt.Assert(t, h.ends[two][0].Outcome, qt.Equals, test.outcome)
			qt.Assert(t, h.ends[two][0].Run, qt.Equals, test.run)
		})
	}
}

// TestEndsAreSentAgain: an end that its entry doesn't resolve is also sent to other entries, which can look up its job in the store. When
// its own entry links again, the end is sent to it at once.
func TestEndsAreSentAgain(t *testing.T) {
	h := newHarness(t, nil)
	h.orderKept(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
	h.controller.EntryUnlinked(h.now, one, "link_down")
	h.list(call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
	qt.Assert(t, h.ends[one], qt.HasLen, 0)
	h.controller.EntryLinked(h.now, one)
	qt.Assert(t, h.ends[one], qt.HasLen, 1)
	for range 60 {
		h.seen()
	}
	qt.Assert(t, len(h.ends[two]) > 0, qt.IsTrue)
	qt.Assert(t, len(h.ends[one]) > 1, qt.IsTrue)
}

// TestUnlistedIsNotLost guards against runs that are started twice. Upstreams list 500 ends at once, so a run that is neither listed as
// ended nor as running may have ended well. Such a run was called lost and started again, in a trial with kept jobs whose entry was
// replaced while 500 ends were not stored.
func TestUnlistedIsNotLost(t *testing.T) {
	for _, test := range []struct{ listed, ends int }{{499, 1}, {500, 0}} {
		h := newHarness(t, nil)
		h.order(one, 1)
		h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
		h.pass(time.Millisecond)
		h.answerHolds(call.Running{Task: task, Run: 1}) // the next hold is sent after the start was answered
		var finished []call.Finished
		for n := range test.listed {
			finished = append(finished, call.Finished{Number: uint64(n + 1), Task: job.TaskID{Job: 99, Index: uint32(n)}, Run: 1, Result: call.ResultDone})
		}
		h.list(finished...)
		qt.Assert(t, h.ends[one], qt.HasLen, test.ends)
	}
}

// TestManyRememberedEnds: when an upstream remembers so many ends that new ones might not be listed, old ones are made void, and nothing
// is started until they are forgotten.
func TestManyRememberedEnds(t *testing.T) {
	h := newHarness(t, nil)
	h.orderKept(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
	var finished []call.Finished
	finished = append(finished, call.Finished{Number: 1, Task: task, Run: 1, Result: call.ResultDone})
	for n := range 499 {
		finished = append(finished, call.Finished{Number: uint64(n + 2), Task: job.TaskID{Job: 99, Index: uint32(n)}, Run: 1, Result: call.ResultDone})
	}
	h.list(finished...)
	h.controller.Flush(h.now)
	h.order(two, 1)
	qt.Assert(t, h.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
	for range 40 {
		h.seen()
	}
	qt.Assert(t, h.seen(), qt.Equals, uint64(500))
}

// TestEarlierLeaseLapsesFirst: an agent that starts must not let the upstream forget ends that its earlier incarnation has left, nor
// start anything, until the lease of that incarnation has certainly lapsed or the upstream lists that it has.
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
		{"rule left out", rule.Without(rule.AckAfterLapse), []call.Finished{left}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := &harness{t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room)}
			h.controller = upstream.New(timing, restoreTime, test.without, h.now, h, h, h)
			h.controller.Heartbeat(h.now, lives.Heartbeat{
				Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Minute),
			})
			h.controller.EntryLinked(h.now, one)
			h.list(test.finished...)
			want := fleet.Ready
			if test.quiet {
				want = fleet.Clearing
			}
			qt.Assert(t, h.rooms[one].State, qt.Equals, want)
			qt.Assert(t, h.seen() == 0, qt.Equals, test.quiet || test.finished == nil)
			h.pass(timing.Lease + 200*time.Millisecond)
			h.list()
			qt.Assert(t, h.seen(), qt.Equals, uint64(len(test.finished)))
			qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Ready)
		})
	}
}
