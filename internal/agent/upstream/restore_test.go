package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// saved is the progress in percent that the checkpoint of the tests has brought.
const saved = 62

// orderResumed orders a run that restores a checkpoint; it should take a second without one.
func (h *harness) orderResumed() {
	h.seq++
	h.controller.Order(h.now, one, fleet.Order{
		Seq: h.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second,
		Tasks: []fleet.TaskRun{{Run: 1, Checkpoint: "saved"}},
	})
	h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
}

// follow lists the run's progress every 20 ms for d; percent gives it by the time since the start of the run.
func (h *harness) follow(began time.Time, d time.Duration, percent func(age time.Duration) int) {
	for until := h.now.Add(d); h.now.Before(until); {
		h.pass(20 * time.Millisecond)
		h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
		h.answerHolds(call.Running{Task: task, Run: 1, Percent: percent(h.now.Sub(began))})
		h.controller.Flush(h.now)
	}
}

// progressAfter returns the progress of a run that restores its checkpoint in a time and then goes on at a pace, if it shows the
// checkpoint's progress from shown on.
func progressAfter(restored, shown time.Duration, pace float64) func(time.Duration) int {
	return func(age time.Duration) int {
		switch {
		case age < shown:
			return 0
		case age < restored:
			return saved
		}
		return min(100, saved+int(float64(100*(age-restored)/time.Second)/pace))
	}
}

// TestRestoringIsNotStalling guards against runs that are stopped and started again without end because they restore a checkpoint, in which
// time they make no progress, and against upstreams that count as failing for it. A run that hangs must still be found, whether it has
// restored its checkpoint or not, at most restoreTime later than a run that has none.
func TestRestoringIsNotStalling(t *testing.T) {
	const bound = 300 * time.Millisecond // for a run of one second without a checkpoint
	for _, test := range []struct {
		name    string
		percent func(age time.Duration) int
		// stoppedAfter is when the run is stopped, to within 40 ms; zero if it is not.
		stoppedAfter time.Duration
	}{
		{"shows the checkpoint's progress at once", progressAfter(restoreTime, 0, 1), 0},
		{"shows it at the end", progressAfter(restoreTime, restoreTime, 1), 0},
		{"shows it meanwhile", progressAfter(restoreTime, restoreTime/2, 1), 0},
		{"restores quickly", progressAfter(restoreTime/6, 0, 1), 0},
		{"hangs while it restores", progressAfter(time.Hour, 0, 1), restoreTime + bound},
		{"hangs before it shows the checkpoint's progress", progressAfter(time.Hour, time.Hour, 1), restoreTime + bound},
		{"hangs after it has restored", func(age time.Duration) int {
			return min(saved+10, progressAfter(restoreTime, 0, 1)(age))
		}, restoreTime + 100*time.Millisecond + bound},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.orderResumed()
			began := h.now
			for h.now.Sub(began) < restoreTime+370*time.Millisecond+bound && len(h.stops) == 0 {
				h.follow(began, 20*time.Millisecond, test.percent)
			}
			if test.stoppedAfter == 0 {
				qt.Assert(t, h.stops, qt.HasLen, 0)
				return
			}
			qt.Assert(t, h.stops, qt.HasLen, 1)
			late := h.now.Sub(began) - test.stoppedAfter
			qt.Check(t, late >= 0 && late <= 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v late", late))
		})
	}
}

// TestRestoringSaysNothingOfPace guards against upstreams that are taken for fast or slow because the progress of a checkpoint comes at once,
// and nothing follows while it is restored.
func TestRestoringSaysNothingOfPace(t *testing.T) {
	for _, shown := range []time.Duration{0, restoreTime / 2, restoreTime} {
		for _, want := range []float64{0.5, 1, 3} {
			h := newHarness(t, nil)
			h.orderResumed()
			began := h.now
			percent := progressAfter(restoreTime, shown, want)
			h.follow(began, restoreTime-20*time.Millisecond, percent)
			qt.Check(t, h.rooms[one].Pace, qt.Equals, 0.0, qt.Commentf("while it restores, shown after %v", shown))
			h.follow(began, 180*time.Millisecond, percent)
			pace := h.rooms[one].Pace
			qt.Check(t, pace > 0.8*want && pace < 1.25*want, qt.IsTrue, qt.Commentf("%v, want %v, shown after %v", pace, want, shown))
		}
	}
}

// TestEndWhileRestoring: a run that ends while it may still restore its checkpoint says nothing of the pace.
func TestEndWhileRestoring(t *testing.T) {
	h := newHarness(t, nil)
	h.orderResumed()
	h.pass(restoreTime / 6)
	h.end(call.ResultDone)
	h.controller.Flush(h.now)
	qt.Assert(t, h.ends[one], qt.HasLen, 1)
	qt.Check(t, h.rooms[one].Pace, qt.Equals, 0.0)
}

// TestSlowUpstreamCountsRestoring guards against moves that are decided by too short a time: a run that still restores its checkpoint on a
// slow upstream needs that time as well.
func TestSlowUpstreamCountsRestoring(t *testing.T) {
	h := newHarness(t, nil)
	h.orderBeside(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
	slow := call.Running{Task: job.TaskID{Job: jobID + 1}, Run: 1}
	for range 10 { // a second task makes the upstream slow
		h.pass(50 * time.Millisecond)
		slow.Percent++
		h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
		h.answerHolds(slow)
		h.controller.Flush(h.now)
	}
	h.starts, h.progress = nil, nil
	h.orderResumed()
	h.pass(100 * time.Millisecond)
	h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
	slow.Percent += 2
	h.answerHolds(slow, call.Running{Task: task, Run: 1, Percent: saved})
	for _, p := range h.progress {
		if p.Task == task {
			work := 5 * (100 - saved) * 10 * time.Millisecond // at a pace of 5
			qt.Check(t, (p.Left-work-restoreTime+100*time.Millisecond).Abs() < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", p.Left))
			return
		}
	}
	t.Fatal("the run was not reported")
}

// TestHungRestoresMakeAnUpstreamSuspect guards against an upstream at which nothing can be restored and which is never found.
func TestHungRestoresMakeAnUpstreamSuspect(t *testing.T) {
	h := newHarness(t, nil)
	for n := range 3 {
		id := job.TaskID{Job: job.ID(100 + n)}
		h.controller.Order(h.now, one, fleet.Order{
			Job: id.Job, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1, Checkpoint: "saved"}},
		})
		h.controller.StartDone(h.now, h.starts[len(h.starts)-1], call.OK, 0)
		for h.now.Sub(time.Unix(1000, 0)) < time.Minute && len(h.stops) == n {
			h.pass(20 * time.Millisecond)
			h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
			h.answerHolds(call.Running{Task: id, Run: 1, Percent: saved})
			h.controller.Flush(h.now)
		}
		h.controller.HoldDone(h.now, h.holds[len(h.holds)-1], call.HoldResult{
			Answer: call.OK, Clock: h.clock(), Finished: []call.Finished{{Number: uint64(n + 1), Task: id, Run: 1, Result: call.ResultStopped}},
		})
		h.answered = len(h.holds) - 1
	}
	qt.Assert(t, h.stops, qt.HasLen, 3)
	qt.Assert(t, h.ends[one], qt.HasLen, 3)
	h.pass(100 * time.Millisecond)
	h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
	h.controller.Flush(h.now)
	qt.Check(t, h.rooms[one].State, qt.Equals, fleet.Suspect)
}
