package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// TestFailingUpstreamGetsOnlyProbes: after three consecutive failures the upstream gets one task at a time, as a probe from one entry.
// After enough good probes it gets all tasks again. Failures of jobs that have failed before don't count.
func TestFailingUpstreamGetsOnlyProbes(t *testing.T) {
	h := newHarness(t, nil)
	n := uint64(0)
	end := func(j job.ID, earlier uint32, result call.Result) {
		from := one
		if h.rooms[two].State == fleet.Probing {
			from = two
		}
		h.controller.Order(h.now, from, fleet.Order{Job: j, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Run: 1, Failures: earlier}}})
		h.controller.StartDone(h.now, h.starts[len(h.starts)-1], call.OK, 0)
		n++
		h.pass(time.Millisecond)
		h.controller.HoldDone(h.now, h.holds[len(h.holds)-1], call.HoldResult{
			Answer: call.OK, Clock: h.clock(), Finished: []call.Finished{{Number: n, Task: job.TaskID{Job: j}, Run: 1, Result: result}},
		})
		h.pass(50 * time.Millisecond)
		for _, e := range []ident.Incarnation{one, two} {
			h.controller.Ping(h.now, e, h.rooms[e].Clock, 0)
		}
		h.controller.Flush(h.now)
	}
	for i := range 5 {
		end(job.ID(100+i), 1, call.ResultFailed)
	}
	qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Ready)
	for i := range 3 {
		end(job.ID(200+i), 0, call.ResultFailed)
	}
	qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Suspect)
	qt.Assert(t, h.rooms[two].State, qt.Equals, fleet.Suspect)
	probing := func() (count int) {
		for range 4 {
			h.pass(100 * time.Millisecond)
			for _, e := range []ident.Incarnation{one, two} {
				h.controller.Ping(h.now, e, h.rooms[e].Clock, 0)
			}
			h.controller.Flush(h.now)
		}
		for _, e := range []ident.Incarnation{one, two} {
			if h.rooms[e].State == fleet.Probing {
				count++
			}
		}
		return count
	}
	qt.Assert(t, probing(), qt.Equals, 1)
	for i := range 4 {
		end(job.ID(300+i), 0, call.ResultDone)
	}
	qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Ready)
	qt.Assert(t, h.rooms[two].State, qt.Equals, fleet.Ready)
}

// TestStalledRunIsStopped: a run without progress is stopped and reported as stalled; a run with progress is not.
func TestStalledRunIsStopped(t *testing.T) {
	for _, test := range []struct {
		name    string
		percent func(step int) int
		stops   int
	}{
		{"no progress from the start", func(int) int { return 0 }, 1},
		{"no progress after one half", func(step int) int { return min(step*10, 50) }, 1},
		{"advances slowly", func(step int) int { return step }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			for step := range 20 {
				h.pass(50 * time.Millisecond)
				h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
				h.answerHolds(call.Running{Task: task, Run: 1, Percent: test.percent(step)})
				h.controller.Flush(h.now)
			}
			qt.Assert(t, h.stops, qt.HasLen, test.stops)
		})
	}
}

// TestSlowUpstreamTellsItsEntries guards against runs that end late on a slow upstream although other upstreams have room: while the
// upstream is slow compared with others, it must be reported to entries how long their runs will still take.
func TestSlowUpstreamTellsItsEntries(t *testing.T) {
	for _, test := range []struct {
		name   string
		median float64
		// percent is the progress in each 50 ms of a run with an estimate of 1 s.
		percent  int
		reported bool
	}{
		{"as fast as others", 1, 5, false},
		{"slow", 1, 1, true},
		{"slow as all others are", 5, 1, false},
		{"others unknown", 0, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			for i := range 10 {
				h.pass(50 * time.Millisecond)
				h.controller.Ping(h.now, one, h.rooms[one].Clock, test.median)
				h.answerHolds(call.Running{Task: task, Run: 1, Percent: (i + 1) * test.percent})
				h.controller.Flush(h.now)
			}
			qt.Assert(t, len(h.progress) > 0, qt.Equals, test.reported)
			if test.reported {
				last := h.progress[len(h.progress)-1]
				qt.Assert(t, last.RunRef, qt.Equals, fleet.RunRef{Task: task, Run: 1})
				qt.Assert(t, last.Left > 3*time.Second && last.Left < 6*time.Second, qt.IsTrue, qt.Commentf("%v", last.Left))
			}
		})
	}
}

// TestRetryPauseGrows: an upstream that resets every connection is called often while an answer can still save its runs, and rarely
// afterwards. When it answers again, that is noticed within a quarter of a second.
func TestRetryPauseGrows(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	fail := func(d time.Duration) int {
		before := len(h.holds)
		for until := h.now.Add(d); h.now.Before(until); {
			for _, c := range h.holds[h.answered:] {
				h.answered++
				h.controller.HoldDone(h.now, c, call.HoldResult{Answer: call.Unanswered})
			}
			h.pass(10 * time.Millisecond)
			h.controller.Tick(h.now)
		}
		return len(h.holds) - before
	}
	qt.Assert(t, fail(timing.Lease) >= 8, qt.IsTrue)
	calls := fail(4 * time.Second)
	qt.Assert(t, calls <= 40, qt.IsTrue, qt.Commentf("called %d times in 4 s", calls))
	before := h.now
	for len(h.holds) == h.answered {
		h.pass(10 * time.Millisecond)
		h.controller.Tick(h.now)
	}
	qt.Assert(t, h.now.Sub(before) <= 260*time.Millisecond, qt.IsTrue)
}

// TestUnsureRunIsLookedForWithPauses: while an upstream resets every connection, only a few polls are made for a run whose start got no
// answer. Once the upstream answers, it is decided whether the run was started.
func TestUnsureRunIsLookedForWithPauses(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.Unanswered, 0)
	polls := 0
	for range 200 { // 200 ms
		for _, c := range h.holds[h.answered:] {
			h.answered++
			if c.Poll {
				polls++
			}
			h.controller.HoldDone(h.now, c, call.HoldResult{Answer: call.Unanswered})
		}
		h.pass(time.Millisecond)
		h.controller.Tick(h.now)
	}
	qt.Assert(t, polls >= 3 && polls <= 10, qt.IsTrue, qt.Commentf("%d polls", polls))
	for h.controller.RunCount() > 0 && polls < 100 {
		polls++
		h.pass(10 * time.Millisecond)
		h.controller.Tick(h.now)
		h.answerHolds()
	}
	qt.Assert(t, h.controller.RunCount(), qt.Equals, 0)
	qt.Assert(t, h.ends[one][0].Outcome, qt.Equals, job.NotStarted)
}

// TestRefusingUpstreamIsSuspected: an upstream that refuses starts, or answers them with errors, gets only probes. Lost answers don't
// count against it.
func TestRefusingUpstreamIsSuspected(t *testing.T) {
	for _, test := range []struct {
		answer call.Answer
		want   fleet.State
	}{
		{call.Declined, fleet.Suspect},
		{call.Unclear, fleet.Suspect},
		{call.Unanswered, fleet.Ready},
	} {
		t.Run(string(test.answer), func(t *testing.T) {
			h := newHarness(t, nil)
			for i := range 3 {
				h.orderOther(job.ID(300 + i))
				h.controller.StartDone(h.now, h.starts[len(h.starts)-1], test.answer, 0)
				h.pass(time.Millisecond)
				h.answerHolds()
				h.answerHolds()
			}
			h.pass(100 * time.Millisecond)
			h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
			h.answerHolds()
			h.controller.Flush(h.now)
			qt.Assert(t, h.starts, qt.HasLen, 3)
			qt.Assert(t, h.rooms[one].State, qt.Equals, test.want)
		})
	}
}
