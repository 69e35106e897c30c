package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// TestColdUpstream: an upstream that says it is slow from its start is told as slow until its runs say how fast it is, and what they have
// said counts no more once it has warmed up.
func TestColdUpstream(t *testing.T) {
	b := newHarness(t, nil)
	pace := func() float64 {
		b.pass(timing.KeepAlive)
		b.manager.Tick(b.now)
		b.manager.Flush(b.now)
		return b.rooms[one].Pace
	}
	beat := func(number uint64, cold time.Duration) {
		b.manager.Heartbeat(b.now, lives.Heartbeat{
			Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: number, Clock: b.clock(), ColdFor: cold,
		})
	}
	qt.Assert(t, pace(), qt.Equals, 0.0)
	beat(2, 3*time.Second)
	qt.Assert(t, fleet.Slow(pace(), 1), qt.IsTrue)

	b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.pass(300 * time.Millisecond)
	b.answerHolds(call.Running{Task: task, Run: 1, Percent: 10}) // the estimate is a second
	measured := pace()
	qt.Assert(t, measured > 2.5 && measured < 3.5, qt.IsTrue, qt.Commentf("%v", measured))

	beat(3, 150*time.Millisecond)
	qt.Assert(t, pace() > 0, qt.IsTrue)
	qt.Assert(t, pace(), qt.Equals, 0.0)
}
