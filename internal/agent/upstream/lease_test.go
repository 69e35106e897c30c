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

// TestUnansweredHoldsLetTheLeaseLapse: while the upstream does not answer, holds leave the lease as it is; once it
// has surely lapsed, the runs are given up, so that they can run elsewhere. Holds that went on extending it put
// that off for as long as the upstream was mute.
func TestUnansweredHoldsLetTheLeaseLapse(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
	var took time.Duration
	for took = 0; b.manager.RunCount() > 0 && took < 3*time.Second; took += 10 * time.Millisecond {
		b.pass(10 * time.Millisecond)
		b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
		if c := b.holds[len(b.holds)-1]; b.now.Sub(c.Sent) >= 250*time.Millisecond {
			b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.Unanswered})
		}
		b.manager.Tick(b.now)
		b.manager.Flush(b.now)
	}
	qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("took %v", took))
	qt.Assert(t, b.ends[one][0].Outcome, qt.Equals, job.Lost)
	qt.Assert(t, b.ends[one][0].Reason, qt.Equals, fleet.LeaseLapsed)
}

// TestOldReadingsKeepNothing: what an entry echoes counts from when the agent sent it, and an order of an entry that
// was not heard lately starts nothing. The random schedules reach this only with slow links, so it stands here.
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
			b := newHarness(t, test.without)
			old := b.rooms[one].Clock
			b.pass(timing.Silence + timing.KeepAlive)
			b.manager.Flush(b.now)
			b.manager.Ping(b.now, one, old+time.Microsecond, 0)
			b.order(one, 1)
			qt.Assert(t, b.starts, qt.HasLen, test.starts)
		})
	}
}

// TestLeasesLapseWhenAStopFails: an unwanted run whose stop gets no answer is there no longer than the lease after
// the budget: holds stop extending it. A caller that has gone sends its job to another entry, as one whose entry is
// lost does; the run of such a job went on for as long as stops were lost (schedule 1077).
func TestLeasesLapseWhenAStopFails(t *testing.T) {
	lost := func(b *harness) {
		b.manager.EntryUnlinked(b.now, one, "broken")
		b.manager.EntryGone(b.now, one, "refused")
	}
	asked := func(b *harness) { b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest) }
	for _, test := range []struct {
		name    string
		without rule.Set
		stop    func(b *harness)
		answer  bool
		extends bool
	}{
		{"entry lost", nil, lost, false, false},
		{"caller gone", nil, asked, false, false},
		{"the stop was answered", nil, asked, true, true},
		{"left out", rule.Without(rule.LapseBudget), lost, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, test.without)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			test.stop(b)
			if test.answer {
				b.manager.StopDone(b.now, b.stops[0], call.OK, 0)
			}
			b.pass(timing.StopBudget)
			b.manager.Tick(b.now)
			b.answerHolds(call.Running{Task: task, Run: 1, Percent: 50})
			qt.Assert(t, b.holds[len(b.holds)-1].LeaseUntil > 0, qt.Equals, test.extends)
		})
	}
}

// TestRunsEndInTimeThoughTicksAreLate guards against runs that outlive the time after which an entry takes them for gone: its agent, which
// got too little of a core, noticed only late that the entry had fallen silent, and counted the budget of the stops from there.
func TestRunsEndInTimeThoughTicksAreLate(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, test := range []struct {
		name string
		// every is the pause between two ticks; in between the upstream's answers are taken in.
		every time.Duration
		// setOut lets something happen to the run at once.
		setOut func(b *harness)
	}{
		{"in time", 20 * time.Millisecond, func(*harness) {}},
		{"a slice late", 90 * time.Millisecond, func(*harness) {}},
		{"as late as is no standstill", timing.Silence / 2, func(*harness) {}},
		{"later than the budget", 3 * timing.StopBudget / 2, func(*harness) {}},
		{"none", time.Hour, func(*harness) {}},
		{"late, and the run was to move", timing.Silence / 2, func(b *harness) { b.manager.StopTask(b.now, one, ordered(1), fleet.Moved) }},
		{"late, and the link broke", timing.Silence / 2, func(b *harness) { b.manager.EntryUnlinked(b.now, one, "link_down") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			// Each offset of the ticks, since only some of them are late.
			for offset := time.Duration(0); offset < min(test.every, timing.Silence); offset += step {
				b := newHarness(t, nil)
				heard := b.clock()
				b.order(one, 1)
				b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
				test.setOut(b)
				for passed := step; passed < 2*time.Second; passed += step {
					b.pass(step)
					b.manager.Ping(b.now, two, b.rooms[two].Clock, 0)
					if passed%test.every == offset {
						b.manager.Tick(b.now)
					}
					b.answerHolds(call.Running{Task: task, Run: 1, Percent: 50})
					b.manager.Flush(b.now)
				}
				latest := call.Clock(0)
				for _, c := range b.holds {
					latest = max(latest, c.LeaseUntil)
				}
				bound := timing.Silence + timing.StopBudget + timing.Lease
				qt.Assert(t, time.Duration(latest-heard) <= bound, qt.IsTrue,
					qt.Commentf("ticks from %v on: leased for %v after the entry was heard last", offset, time.Duration(latest-heard)))
			}
		})
	}
}

// TestFencedStartLeavesTheLease guards against runs that outlive the time after which an entry takes them for gone: a start of another
// entry's task, which a newer token had overtaken, was sent again, and extended the lease of all while it had to lapse.
func TestFencedStartLeavesTheLease(t *testing.T) {
	for _, test := range []struct {
		name string
		// passed is how long after the stop of the other run the start is refused.
		passed time.Duration
		// answered: the stop was.
		answered bool
		starts   int
	}{
		{"within the budget", timing.StopBudget - 10*time.Millisecond, false, 2},
		{"after it", timing.StopBudget + 10*time.Millisecond, false, 1},
		{"after it, and the stop was answered", timing.StopBudget + 10*time.Millisecond, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
			b.starts = nil
			b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest)
			b.orderBeside(two, 1)
			qt.Assert(t, b.starts, qt.HasLen, 1)
			if test.answered {
				b.manager.StopDone(b.now, b.stops[0], call.OK, b.clock())
			}
			b.pass(test.passed)
			b.manager.StartDone(b.now, b.starts[0], call.Fenced, 0)
			qt.Assert(t, b.starts, qt.HasLen, test.starts)
			if test.starts > 1 {
				return
			}
			qt.Assert(t, b.ends[two], qt.HasLen, 1)
			qt.Assert(t, b.ends[two][0].Outcome, qt.Equals, job.NotStarted)
			qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
		})
	}
}

// TestLinkThatIsResetCostsNoRun: an entry that is back within the silence goes on with its runs; one that is not, or
// that has surely ended, has them stopped. Incident inc-941c: links that were reset cost all runs on them.
func TestLinkThatIsResetCostsNoRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		then    func(b *harness)
		stops   int
		resumes int
	}{
		{"back soon", func(b *harness) { b.pass(100 * time.Millisecond) }, 0, 1},
		{"back late", func(b *harness) { b.pass(timing.Silence); b.manager.Tick(b.now) }, 1, 0},
		{"back late, and no tick since", func(b *harness) { b.pass(timing.Silence) }, 1, 0},
		{"ended", func(b *harness) { b.manager.EntryGone(b.now, one, "refused") }, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			b.manager.EntryUnlinked(b.now, one, "link_down")
			qt.Assert(t, b.stops, qt.HasLen, 0)
			test.then(b)
			b.manager.EntryLinked(b.now, one)
			qt.Assert(t, b.resumed, qt.HasLen, test.resumes)
			b.manager.Tick(b.now)
			qt.Assert(t, b.stops, qt.HasLen, test.stops)
		})
	}
}

// TestFencedStartExtendsNoLeaseThatMustLapse guards against runs of a lost entry or a gone caller that outlive their bound: a start that a
// newer token has overtaken is not sent again, with a longer lease for all, once the stop of an unwanted run has failed.
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
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest)
			b.pass(timing.StopBudget/2 - time.Millisecond)
			b.answerHolds(call.Running{Task: task, Run: 1, Percent: 50})
			b.orderBeside(two, 1)
			qt.Assert(t, b.starts, qt.HasLen, 2)
			b.pass(test.waited - timing.StopBudget/2 + time.Millisecond)
			b.manager.StartDone(b.now, b.starts[1], call.Fenced, 0)
			qt.Assert(t, b.starts, qt.HasLen, test.starts)
			if test.starts == 2 {
				qt.Assert(t, b.ends[two], qt.HasLen, 1)
				qt.Assert(t, b.ends[two][0].Outcome, qt.Equals, job.NotStarted)
				qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.NotAccepting)
			}
		})
	}
}
