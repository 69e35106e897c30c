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

// TestFailingUpstreamIsLeftAlone: after three failures in a row the upstream gets one task at a time as a probe,
// from one entry, and after good probes it takes all again. Failures of jobs that have failed elsewhere don't count.
func TestFailingUpstreamGetsOnlyProbes(t *testing.T) {
	b := newHarness(t, nil)
	n := uint64(0)
	end := func(j job.ID, earlier uint32, how call.Result) {
		from := one
		if b.rooms[two].State == fleet.Probing {
			from = two
		}
		b.manager.Order(b.now, from, fleet.Order{Job: j, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Run: 1, Failures: earlier}}})
		b.manager.StartDone(b.now, b.starts[len(b.starts)-1], call.OK, 0)
		n++
		b.pass(time.Millisecond)
		b.manager.HoldDone(b.now, b.holds[len(b.holds)-1], call.HoldResult{
			Answer: call.OK, Clock: b.clock(), Finished: []call.Finished{{Number: n, Task: job.TaskID{Job: j}, Run: 1, Result: how}},
		})
		b.pass(50 * time.Millisecond)
		for _, e := range []ident.Incarnation{one, two} {
			b.manager.Ping(b.now, e, b.rooms[e].Clock, 0)
		}
		b.manager.Flush(b.now)
	}
	for i := range 5 {
		end(job.ID(100+i), 1, call.ResultFailed)
	}
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
	for i := range 3 {
		end(job.ID(200+i), 0, call.ResultFailed)
	}
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Suspect)
	qt.Assert(t, b.rooms[two].State, qt.Equals, fleet.Suspect)
	probing := func() (count int) {
		for range 4 {
			b.pass(100 * time.Millisecond)
			for _, e := range []ident.Incarnation{one, two} {
				b.manager.Ping(b.now, e, b.rooms[e].Clock, 0)
			}
			b.manager.Flush(b.now)
		}
		for _, e := range []ident.Incarnation{one, two} {
			if b.rooms[e].State == fleet.Probing {
				count++
			}
		}
		return count
	}
	qt.Assert(t, probing(), qt.Equals, 1)
	for i := range 4 {
		end(job.ID(300+i), 0, call.ResultDone)
	}
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
	qt.Assert(t, b.rooms[two].State, qt.Equals, fleet.Ready)
}

// TestStalledRunIsStopped: a run without progress is stopped and reported as stalled; one that gets on is not.
func TestStalledRunIsStopped(t *testing.T) {
	for _, test := range []struct {
		name    string
		percent func(step int) int
		stops   int
	}{
		{"stands still from the start", func(int) int { return 0 }, 1},
		{"stands still half way", func(step int) int { return min(step*10, 50) }, 1},
		{"gets on slowly", func(step int) int { return step }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			for step := range 20 {
				b.pass(50 * time.Millisecond)
				b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
				b.answerHolds(call.Running{Task: task, Run: 1, Percent: test.percent(step)})
				b.manager.Flush(b.now)
			}
			qt.Assert(t, b.stops, qt.HasLen, test.stops)
		})
	}
}

// TestSlowUpstreamTellsItsEntries: once the upstream is slow beside others, entries hear how long their runs will still
// take. Before, a run that had begun there ended late, whatever room there was elsewhere.
func TestSlowUpstreamTellsItsEntries(t *testing.T) {
	for _, test := range []struct {
		name   string
		median float64
		// percent is the progress in each 50 ms of a run estimated at 1 s.
		percent int
		told    bool
	}{
		{"as fast as others", 1, 5, false},
		{"slow", 1, 1, true},
		{"slow as all others are", 5, 1, false},
		{"others unknown", 0, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			for i := range 10 {
				b.pass(50 * time.Millisecond)
				b.manager.Ping(b.now, one, b.rooms[one].Clock, test.median)
				b.answerHolds(call.Running{Task: task, Run: 1, Percent: (i + 1) * test.percent})
				b.manager.Flush(b.now)
			}
			qt.Assert(t, len(b.progress) > 0, qt.Equals, test.told)
			if test.told {
				last := b.progress[len(b.progress)-1]
				qt.Assert(t, last.RunRef, qt.Equals, fleet.RunRef{Task: task, Run: 1})
				qt.Assert(t, last.Left > 3*time.Second && last.Left < 6*time.Second, qt.IsTrue, qt.Commentf("%v", last.Left))
			}
		})
	}
}

// TestRetriesGrowRare: an upstream that resets every connection is asked often while an answer still saves its runs, and seldom
// afterwards; once it answers again, that is noticed within a quarter of a second.
func TestRetryPauseGrows(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	fail := func(d time.Duration) int {
		before := len(b.holds)
		for until := b.now.Add(d); b.now.Before(until); {
			for _, c := range b.holds[b.answered:] {
				b.answered++
				b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.Unanswered})
			}
			b.pass(10 * time.Millisecond)
			b.manager.Tick(b.now)
		}
		return len(b.holds) - before
	}
	qt.Assert(t, fail(timing.Lease) >= 8, qt.IsTrue)
	asked := fail(4 * time.Second)
	qt.Assert(t, asked <= 40, qt.IsTrue, qt.Commentf("asked %d times in 4 s", asked))
	before := b.now
	for len(b.holds) == b.answered {
		b.pass(10 * time.Millisecond)
		b.manager.Tick(b.now)
	}
	qt.Assert(t, b.now.Sub(before) <= 260*time.Millisecond, qt.IsTrue)
}

// TestUndecidedRunIsLookedForWithPauses: while an upstream resets every connection, what became of a start without an answer is asked for a
// few times, and once it answers the run's fate is decided.
func TestUnsureRunIsLookedForWithPauses(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.Unanswered, 0)
	looks := 0
	for range 200 { // 200 ms
		for _, c := range b.holds[b.answered:] {
			b.answered++
			if c.Poll {
				looks++
			}
			b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.Unanswered})
		}
		b.pass(time.Millisecond)
		b.manager.Tick(b.now)
	}
	qt.Assert(t, looks >= 3 && looks <= 10, qt.IsTrue, qt.Commentf("%d looks", looks))
	for b.manager.RunCount() > 0 && looks < 100 {
		looks++
		b.pass(10 * time.Millisecond)
		b.manager.Tick(b.now)
		b.answerHolds()
	}
	qt.Assert(t, b.manager.RunCount(), qt.Equals, 0)
	qt.Assert(t, b.ends[one][0].Outcome, qt.Equals, job.NotStarted)
}

// TestRefusingUpstreamIsLeftAlone: an upstream that refuses starts, or answers them with errors, gets nothing but probes; answers that
// are lost say nothing of it.
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
			b := newHarness(t, nil)
			for i := range 3 {
				b.orderOther(job.ID(300 + i))
				b.manager.StartDone(b.now, b.starts[len(b.starts)-1], test.answer, 0)
				b.pass(time.Millisecond)
				b.answerHolds()
				b.answerHolds()
			}
			b.pass(100 * time.Millisecond)
			b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
			b.answerHolds()
			b.manager.Flush(b.now)
			qt.Assert(t, b.starts, qt.HasLen, 3)
			qt.Assert(t, b.rooms[one].State, qt.Equals, test.want)
		})
	}
}
