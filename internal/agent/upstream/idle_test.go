package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/job"
)

// TestIdleUpstreamIsTriedAgain guards against an upstream that was slow once and gets no work ever after: its pace kept it from being
// chosen while others had room, and without work it had no other one.
func TestIdleUpstreamIsTriedAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		// took is how long a run took that is estimated at a second.
		took time.Duration
		// ends: the run ends; one that goes on gets on no more.
		ends bool
		// idle is the time after that.
		idle time.Duration
		// want is the pace that is told then; zero is unknown.
		want float64
	}{
		{"slow a moment ago", 3 * time.Second, true, 4 * time.Second, 3},
		{"slow long ago", 3 * time.Second, true, 6 * time.Second, 0},
		{"fast long ago", time.Second / 2, true, 6 * time.Second, 0},
		{"slow and at work", 3 * time.Second, false, 6 * time.Second, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
			for p := 1; p <= 50; p++ {
				b.pass(test.took / 100)
				b.answerHolds(call.Running{Task: task, Run: 1, Percent: p})
			}
			if test.ends {
				b.pass(test.took / 2)
				b.endRun(1, 1)
			}
			last := b.idleFor(test.idle)
			qt.Assert(t, last > test.want-0.01 && last < test.want+0.01, qt.IsTrue, qt.Commentf("%v", last))
		})
	}
}

// TestIdleUpstreamIsMeasuredAnew: an upstream that is tried again and still slow is slow again with its first run.
func TestIdleUpstreamIsMeasuredAnew(t *testing.T) {
	b := newHarness(t, nil)
	for run := range uint64(2) {
		b.order(one, job.Run(run+1))
		b.manager.StartDone(b.now, b.starts[run], call.OK, b.clock())
		b.pass(3 * time.Second)
		b.endRun(run+1, job.Run(run+1))
		qt.Assert(t, b.idleFor(timing.KeepAlive), qt.Equals, 3.0)
		qt.Assert(t, b.idleFor(6*time.Second), qt.Equals, 0.0)
	}
}

// endRun lets the upstream list that a run has ended well, as its n-th end.
func (b *harness) endRun(n uint64, run job.Run) {
	b.manager.HoldDone(b.now, b.holds[len(b.holds)-1], call.HoldResult{
		Answer: call.OK, Clock: b.clock(), Finished: []call.Finished{{Number: n, Task: task, Run: run, Result: call.ResultDone}},
	})
}

// rest lets time pass, and returns the pace that the entry is told last.
func (b *harness) idleFor(span time.Duration) float64 {
	for until := b.now.Add(span); b.now.Before(until); {
		b.pass(50 * time.Millisecond)
		b.manager.Ping(b.now, one, b.rooms[one].Clock, 1)
		b.manager.Tick(b.now)
		b.manager.Flush(b.now)
	}
	return b.rooms[one].Pace
}
