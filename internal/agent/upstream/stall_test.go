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

// playedRun is a run as an upstream lists it, in whole percent.
type playedRun struct {
	// estimate is what the job's caller says, zero if nothing. stalls is the number of earlier runs of the task that were stopped as stalled.
	estimate time.Duration
	stalls   uint32
	// work is how long the run takes, listings the time between two listings.
	work, listings time.Duration
	// hangsAt is the percentage at which the run hangs; zero if it hangs from the start, over 100 if it does not.
	hangsAt int
}

// orderRun orders a run of one task of a job, and answers its start.
func (h *harness) orderRun(j job.ID, index uint32, estimate time.Duration, stalls uint32) {
	h.seq++
	h.controller.Order(h.now, one, fleet.Order{
		Seq: h.seq, Job: j, Each: job.Resources{CPU: 100}, Estimate: estimate, Tasks: []fleet.TaskRun{{Index: index, Run: 1, Stalls: stalls}},
	})
	h.controller.Flush(h.now)
	started := h.starts[len(h.starts)-1]
	qt.Assert(h.t, started.Task, qt.Equals, job.TaskID{Job: j, Index: index}, qt.Commentf("the order was refused"))
	h.controller.StartDone(h.now, started, call.OK, h.clock())
}

// listAfter answers the waiting holds with what runs, as the upstream lists it after a time.
func (h *harness) listAfter(after time.Duration, running ...call.Running) {
	h.pass(after)
	for _, e := range []ident.Incarnation{one, two} {
		h.controller.Ping(h.now, e, h.rooms[e].Clock, 0)
	}
	h.controller.Tick(h.now)
	h.answerHolds(running...)
	h.controller.Flush(h.now)
}

// play plays a run and returns after which time without progress it was stopped; zero if it was not.
func (h *harness) play(r playedRun) (idle time.Duration) {
	h.orderRun(jobID, 0, r.estimate, r.stalls)
	for ran := time.Duration(0); ran < r.work || r.hangsAt <= 100; {
		ran += r.listings
		percent := min(int(100*ran/r.work), r.hangsAt, 99)
		h.listAfter(r.listings, call.Running{Task: task, Run: 1, Percent: percent})
		if len(h.stops) > 0 {
			return ran - r.work*time.Duration(percent)/100
		}
		if ran > time.Hour {
			h.t.Fatal("the run was never stopped")
		}
	}
	return 0
}

// TestSoundRunsAreNotStalled guards against sound runs that are stopped and started again without end, because they are long, slow, or
// their estimate is missing or wrong, so that their listed progress stands still for some time.
func TestSoundRunsAreNotStalled(t *testing.T) {
	const never = 101
	for _, test := range []struct {
		name string
		run  playedRun
		// stops is how many runs of the task may be stopped before one goes through.
		stops uint32
	}{
		{"a long one without an estimate", playedRun{work: 7 * time.Second, listings: 20 * time.Millisecond}, 0},
		{"a very long one without an estimate", playedRun{work: time.Minute, listings: 100 * time.Millisecond}, 0},
		{"a long one without an estimate on a slow upstream", playedRun{work: 56 * time.Second, listings: 10 * time.Millisecond}, 0},
		{"a short one without an estimate", playedRun{work: 60 * time.Millisecond, listings: 10 * time.Millisecond}, 0},
		{"an estimate that is right", playedRun{estimate: time.Second, work: time.Second, listings: 20 * time.Millisecond}, 0},
		{"an estimate that is ten times too low", playedRun{estimate: 700 * time.Millisecond, work: 7 * time.Second, listings: 20 * time.Millisecond}, 0},
		{"an estimate that is far too low", playedRun{estimate: 50 * time.Millisecond, work: 10 * time.Second, listings: 10 * time.Millisecond}, 1},
		{"an estimate that is a thousand times too low", playedRun{estimate: 10 * time.Millisecond, work: 10 * time.Second, listings: 10 * time.Millisecond}, 1},
		{"an estimate that is far too low, on a slow upstream", playedRun{estimate: 50 * time.Millisecond, work: 40 * time.Second, listings: 20 * time.Millisecond}, 3},
		{"an estimate that is far too high", playedRun{estimate: time.Hour, work: time.Second, listings: 20 * time.Millisecond}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			run := test.run
			run.hangsAt = never
			for newHarness(t, nil).play(run) > 0 {
				run.stalls++
				qt.Assert(t, run.stalls <= test.stops, qt.IsTrue, qt.Commentf("stopped %d times", run.stalls))
			}
		})
	}
}

// TestHungRunsAreFound guards against runs that hang and are never stopped, or only after a time that has nothing to do with theirs, because
// their estimate is missing or wrong.
func TestHungRunsAreFound(t *testing.T) {
	for _, test := range []struct {
		name string
		run  playedRun
		// within is the longest time without progress, listing included.
		within time.Duration
	}{
		{"from the start, estimate right", playedRun{estimate: time.Second, work: time.Second, hangsAt: 0}, 350 * time.Millisecond},
		{"from the start, short", playedRun{estimate: 60 * time.Millisecond, work: 60 * time.Millisecond, hangsAt: 0}, 120 * time.Millisecond},
		{"half-way, estimate right", playedRun{estimate: time.Second, work: time.Second, hangsAt: 50}, 400 * time.Millisecond},
		{"from the start, no estimate", playedRun{work: time.Second, hangsAt: 0}, 1100 * time.Millisecond},
		{"half-way, no estimate", playedRun{work: time.Second, hangsAt: 50}, 400 * time.Millisecond},
		{"from the start, no estimate, stopped once before", playedRun{work: time.Second, hangsAt: 0, stalls: 1}, 2100 * time.Millisecond},
		{"from the start, stopped often before", playedRun{estimate: time.Second, work: time.Second, hangsAt: 0, stalls: 1000}, 5 * time.Second},
		{"from the start, estimate far too high", playedRun{estimate: time.Hour, work: time.Second, hangsAt: 0}, 10100 * time.Millisecond},
		{"half-way, estimate far too high", playedRun{estimate: time.Hour, work: time.Second, hangsAt: 50}, 2700 * time.Millisecond},
		{"half-way, estimate far too low", playedRun{estimate: time.Millisecond, work: 4 * time.Second, hangsAt: 50}, 1200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.run.listings = 20 * time.Millisecond
			idle := newHarness(t, nil).play(test.run)
			qt.Check(t, idle > 0 && idle <= test.within, qt.IsTrue, qt.Commentf("stopped after %v", idle))
		})
	}
}

// idle lets a time pass in which nothing runs.
func (h *harness) idle(d time.Duration) {
	for until := h.now.Add(d); h.now.Before(until); {
		h.listAfter(50 * time.Millisecond)
	}
}

// hang orders runs of a job that hang, and lists them until all are stopped and have ended, at most for a time.
func (h *harness) hang(j job.ID, first, count uint32, estimate time.Duration, stalls uint32, limit time.Duration) {
	var running []call.Running
	for i := range count {
		h.orderRun(j, first+i, estimate, stalls)
		running = append(running, call.Running{Task: job.TaskID{Job: j, Index: first + i}, Run: 1})
	}
	stopped := len(h.stops)
	for until := h.now.Add(limit); len(h.stops) < stopped+int(count); {
		qt.Assert(h.t, h.now.Before(until), qt.IsTrue, qt.Commentf("%d of %d stopped", len(h.stops)-stopped, count))
		h.listAfter(20*time.Millisecond, running...)
	}
	for _, s := range h.stops[stopped:] {
		h.controller.StopDone(h.now, s, call.OK, h.clock())
	}
	for range 2 {
		h.listAfter(20 * time.Millisecond)
	}
}

// TestStallsAsFailures guards against sound upstreams that get no work but probes because runs were stopped whose time was judged wrongly, and
// against failing ones that are not found.
func TestStallsAsFailures(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name    string
		hang    func(h *harness)
		suspect bool
	}{
		{"many runs of one job at once", func(h *harness) { h.hang(1, 0, 10, second, 0, second) }, false},
		{"runs of one job that has stalled elsewhere", func(h *harness) {
			for i := range uint32(6) {
				h.hang(1, i, 1, second, 1, 2*second)
				h.idle(2 * second)
			}
		}, false},
		{"runs of three jobs", func(h *harness) {
			for j := range job.ID(3) {
				h.hang(1+j, 0, 1, second, 0, second)
			}
		}, true},
		{"first runs of tasks of one job, for some seconds", func(h *harness) {
			for i := range uint32(3) {
				h.hang(1, i, 1, second, 0, second)
				h.idle(second)
			}
		}, true},
		{"runs without an estimate", func(h *harness) {
			for j := range job.ID(3) {
				h.hang(1+j, 0, 1, 0, 0, 2*second)
			}
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.hang(h)
			h.listAfter(100 * time.Millisecond)
			qt.Check(t, h.rooms[one].State != fleet.Ready, qt.Equals, test.suspect, qt.Commentf("%s", h.rooms[one].State))
		})
	}
}

// TestLateStartIsNotStalled guards against a run that is stopped at its first listing because the upstream has carried out its start late,
// after the call got no answer.
func TestLateStartIsNotStalled(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.Unanswered, 0)
	h.listAfter(380*time.Millisecond, call.Running{Task: task, Run: 1})
	qt.Assert(t, h.stops, qt.HasLen, 0)
	for range 20 {
		h.listAfter(20*time.Millisecond, call.Running{Task: task, Run: 1})
	}
	qt.Assert(t, h.stops, qt.HasLen, 1)
}

// TestRunsWithoutEstimateSayNothingOfPace guards against a sound upstream that is taken for slow, so that tasks are moved away from it,
// because runs without an estimate take longer than that.
func TestRunsWithoutEstimateSayNothingOfPace(t *testing.T) {
	h := newHarness(t, nil)
	h.orderRun(1, 0, 0, 0)
	h.orderRun(2, 0, time.Second, 0)
	for i := range 10 {
		h.listAfter(20*time.Millisecond, call.Running{Task: job.TaskID{Job: 1}, Run: 1, Percent: i}, call.Running{Task: job.TaskID{Job: 2}, Run: 1, Percent: 2 * (i + 1)})
	}
	h.listAfter(200*time.Millisecond, call.Running{Task: job.TaskID{Job: 1}, Run: 1, Percent: 20}, call.Running{Task: job.TaskID{Job: 2}, Run: 1, Percent: 40})
	pace := h.rooms[one].Pace
	qt.Check(t, pace > 0.8 && pace < 1.2, qt.IsTrue, qt.Commentf("%v", pace))
}
