package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/job"
)

// TestIdleUpstreamIsTriedAgain guards against an upstream that was slow once and never gets work again: because of its pace it is not
// chosen while others have room, and without work its pace never changes.
func TestIdleUpstreamIsTriedAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		// took is how long a run takes whose estimate is a second.
		took time.Duration
		// ends: the run ends; otherwise it goes on without progress.
		ends bool
		// idle is the time after that.
		idle time.Duration
		// want is the pace that is reported then; zero is unknown.
		want float64
	}{
		{"slow a moment ago", 3 * time.Second, true, 4 * time.Second, 3},
		{"slow long ago", 3 * time.Second, true, 6 * time.Second, 0},
		{"fast long ago", time.Second / 2, true, 6 * time.Second, 0},
		{"slow and working", 3 * time.Second, false, 6 * time.Second, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			for p := 1; p <= 50; p++ {
				h.pass(test.took / 100)
				h.answerHolds(call.Running{Task: task, Run: 1, Percent: p})
			}
			if test.ends {
				h.pass(test.took / 2)
				h.endRun(1, 1)
			}
			last := h.idleFor(test.idle)
			qt.Assert(t, last > test.want-0.01 && last < test.want+0.01, qt.IsTrue, qt.Commentf("%v", last))
		})
	}
}

// TestIdleUpstreamIsMeasuredAnew: an idle upstream that is tried again and is still slow is reported as slow after its first run.
func TestIdleUpstreamIsMeasuredAnew(t *testing.T) {
	h := newHarness(t, nil)
	for run := range uint64(2) {
		h.order(one, job.Run(run+1))
		h.controller.StartDone(h.now, h.starts[run], call.OK, h.clock())
		h.pass(3 * time.Second)
		h.endRun(run+1, job.Run(run+1))
		qt.Assert(t, h.idleFor(timing.KeepAlive), qt.Equals, 3.0)
		qt.Assert(t, h.idleFor(6*time.Second), qt.Equals, 0.0)
	}
}

// endRun makes the upstream list that a run has ended well, as its n-th end.
func (h *harness) endRun(n uint64, run job.Run) {
	h.controller.HoldDone(h.now, h.holds[len(h.holds)-1], call.HoldResult{
		Answer: call.OK, Clock: h.clock(), Finished: []call.Finished{{Number: n, Task: task, Run: run, Result: call.ResultDone}},
	})
}

// idleFor lets time pass, and returns the pace that the entry was last sent.
func (h *harness) idleFor(span time.Duration) float64 {
	for until := h.now.Add(span); h.now.Before(until); {
		h.pass(50 * time.Millisecond)
		h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
		h.controller.Tick(h.now)
		h.controller.Flush(h.now)
	}
	return h.rooms[one].Pace
}
