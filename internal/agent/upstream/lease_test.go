package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// TestUnansweredHoldsLetTheLeaseLapse: while the upstream doesn't answer, holds leave the lease as it is. Once it has certainly lapsed,
// the runs are given up, so that they can be started elsewhere. Holds that went on extending the lease put that off for as long as the
// upstream didn't answer.
func TestUnansweredHoldsLetTheLeaseLapse(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
	var took time.Duration
	for took = 0; h.controller.RunCount() > 0 && took < 3*time.Second; took += 10 * time.Millisecond {
		h.pass(10 * time.Millisecond)
		h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
		if c := h.holds[len(h.holds)-1]; h.now.Sub(c.Sent) >= 250*time.Millisecond {
			h.controller.HoldDone(h.now, c, call.HoldResult{Answer: call.Unanswered})
		}
		h.controller.Tick(h.now)
		h.controller.Flush(h.now)
	}
	qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("took %v", took))
	qt.Assert(t, h.ends[one][0].Outcome, qt.Equals, job.Lost)
	qt.Assert(t, h.ends[one][0].Reason, qt.Equals, fleet.LeaseLapsed)
}

// TestOldClockEchoesKeepNoRuns: the reading that an entry echoes counts from the time when the agent sent it, and an order of an entry
// that was not heard recently starts nothing. The randomised schedules reach this only with slow links, so it has a test of its own.
func TestOldClockEchoesKeepNoRuns(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		starts  int
	}{
		{"in force", nil, 0},
		{"echo counted from its arrival", rule.Without(rule.EchoedClock), 1},
		{"orders of silent entries taken", rule.Without(rule.FreshSession), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.without)
			old := h.rooms[one].Clock
			h.pass(timing.Silence + timing.KeepAlive)
			h.controller.Flush(h.now)
			h.controller.Ping(h.now, one, old+time.Microsecond, 0)
			h.order(one, 1)
			qt.Assert(t, h.starts, qt.HasLen, test.starts)
		})
	}
}

// TestLeasesLapseWhenAStopFails: when the stop of an unwanted run gets no answer, the run ends at the latest one lease after the stop
// budget, because holds no longer extend the lease. A caller that is gone sends its job to another entry, like a caller whose entry is
// lost. The run of such a job went on for as long as stops were lost (schedule 1077).
func TestLeasesLapseWhenAStopFails(t *testing.T) {
	lost := func(h *harness) {
		h.controller.EntryUnlinked(h.now, one, "broken")
		h.controller.EntryGone(h.now, one, "refused")
	}
	asked := func(h *harness) { h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest) }
	for _, test := range []struct {
		name    string
		without rule.Set
		stop    func(h *harness)
		answer  bool
		extends bool
	}{
		{"entry lost", nil, lost, false, false},
		{"caller gone", nil, asked, false, false},
		{"the stop was answered", nil, asked, true, true},
		{"rule left out", rule.Without(rule.LapseBudget), lost, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.without)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			test.stop(h)
			if test.answer {
				h.controller.StopDone(h.now, h.stops[0], call.OK, 0)
			}
			h.pass(timing.StopBudget)
			h.controller.Tick(h.now)
			h.answerHolds(call.Running{Task: task, Run: 1, Percent: 50})
			qt.Assert(t, h.holds[len(h.holds)-1].LeaseUntil > 0, qt.Equals, test.extends)
		})
	}
}

// TestRunsEndInTimeThoughTicksAreLate guards against runs that outlive the time after which an entry counts them as ended. The agent got
// too little CPU time, noticed late that the entry was silent, and counted the stop budget from the late tick on.
func TestRunsEndInTimeThoughTicksAreLate(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, test := range []struct {
		name string
		// every is the pause between two ticks; the upstream's answers are handled in between.
		every time.Duration
		// setOut does something to the run at the beginning.
		setOut func(h *harness)
	}{
		{"in time", 20 * time.Millisecond, func(*harness) {}},
		{"a time slice late", 90 * time.Millisecond, func(*harness) {}},
		{"as late as possible without a standstill", timing.Silence / 2, func(*harness) {}},
		{"later than the budget", 3 * timing.StopBudget / 2, func(*harness) {}},
		{"no ticks", time.Hour, func(*harness) {}},
		{"late, and the run was to move", timing.Silence / 2, func(h *harness) { h.controller.StopTask(h.now, one, ordered(1), fleet.Moved) }},
		{"late, and the link broke", timing.Silence / 2, func(h *harness) { h.controller.EntryUnlinked(h.now, one, "link_down") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			// Try each offset of the ticks, since only some of them are late.
			for offset := time.Duration(0); offset < min(test.every, timing.Silence); offset += step {
				h := newHarness(t, nil)
				heard := h.clock()
				h.order(one, 1)
				h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
				test.setOut(h)
				for passed := step; passed < 2*time.Second; passed += step {
					h.pass(step)
					h.controller.Ping(h.now, two, h.rooms[two].Clock, 0)
					if passed%test.every == offset {
						h.controller.Tick(h.now)
					}
					h.answerHolds(call.Running{Task: task, Run: 1, Percent: 50})
					h.controller.Flush(h.now)
				}
				latest := call.Clock(0)
				for _, c := range h.holds {
					latest = max(latest, c.LeaseUntil)
				}
				bound := timing.Silence + timing.StopBudget + timing.Lease
				qt.Assert(t, time.Duration(latest-heard) <= bound, qt.IsTrue,
					qt.Commentf("ticks from %v on: leased for %v after the entry was last heard", offset, time.Duration(latest-heard)))
			}
		})
	}
}

// TestFencedStartLeavesTheLease guards against runs that outlive the time after which an entry counts them as ended. A start of another
// entry's task was refused because of a newer token, was sent again, and extended the lease of all runs although the lease had to lapse.
func TestFencedStartLeavesTheLease(t *testing.T) {
	for _, test := range []struct {
		name string
		// passed is the time from the stop of the other run to the refusal of the start.
		passed time.Duration
		// answered: the stop was answered.
		answered bool
		starts   int
	}{
		{"within the budget", timing.StopBudget - 10*time.Millisecond, false, 2},
		{"after it", timing.StopBudget + 10*time.Millisecond, false, 1},
		{"after it, and the stop was answered", timing.StopBudget + 10*time.Millisecond, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			h.starts = nil
			h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest)
			h.orderBeside(two, 1)
			qt.Assert(t, h.starts, qt.HasLen, 1)
			if test.answered {
				h.controller.StopDone(h.now, h.stops[0], call.OK, h.clock())
			}
			h.pass(test.passed)
			h.controller.StartDone(h.now, h.starts[0], call.Fenced, 0)
			qt.Assert(t, h.starts, qt.HasLen, test.starts)
			if test.starts > 1 {
				return
			}
			qt.Assert(t, h.ends[two], qt.HasLen, 1)
			qt.Assert(t, h.ends[two][0].Outcome, qt.Equals, job.NotStarted)
			qt.Assert(t, h.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
		})
	}
}

// TestLinkThatIsResetCostsNoRun: an entry that links again before its silence deadline keeps its runs. The runs of an entry that doesn't,
// or that has certainly ended, are stopped. In incident inc-941c, links that were reset cost all runs of their entries.
func TestLinkThatIsResetCostsNoRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		then    func(h *harness)
		stops   int
		resumes int
	}{
		{"back soon", func(h *harness) { h.pass(100 * time.Millisecond) }, 0, 1},
		{"back late", func(h *harness) { h.pass(timing.Silence); h.controller.Tick(h.now) }, 1, 0},
		{"back late, and no tick since", func(h *harness) { h.pass(timing.Silence) }, 1, 0},
		{"ended", func(h *harness) { h.controller.EntryGone(h.now, one, "refused") }, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			h.controller.EntryUnlinked(h.now, one, "link_down")
			qt.Assert(t, h.stops, qt.HasLen, 0)
			test.then(h)
			h.controller.EntryLinked(h.now, one)
			qt.Assert(t, h.resumed, qt.HasLen, test.resumes)
			h.controller.Tick(h.now)
			qt.Assert(t, h.stops, qt.HasLen, test.stops)
		})
	}
}

// TestFencedStartExtendsNoLeaseThatMustLapse guards against runs of a lost entry or a gone caller that outlive their bound: once the stop
// of an unwanted run has failed, a start that was refused because of a newer token must not be sent again, since it would extend the
// lease of all runs.
func TestFencedStartExtendsNoLeaseThatMustLapse(t *testing.T) {
	for _, test := range []struct {
		name   string
		waited time.Duration
		starts int
	}{
		{"the stop may still be answered", timing.StopBudget / 2, 3},
		{"the lease must lapse", timing.StopBudget, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest)
			h.pass(timing.StopBudget/2 - time.Millisecond)
			h.answerHolds(call.Running{Task: task, Run: 1, Percent: 50})
			h.orderBeside(two, 1)
			qt.Assert(t, h.starts, qt.HasLen, 2)
			h.pass(test.waited - timing.StopBudget/2 + time.Millisecond)
			h.controller.StartDone(h.now, h.starts[1], call.Fenced, 0)
			qt.Assert(t, h.starts, qt.HasLen, test.starts)
			if test.starts == 2 {
				qt.Assert(t, h.ends[two], qt.HasLen, 1)
				qt.Assert(t, h.ends[two][0].Outcome, qt.Equals, job.NotStarted)
				qt.Assert(t, h.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
			}
		})
	}
}
