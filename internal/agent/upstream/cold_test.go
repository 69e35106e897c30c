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

// TestColdUpstream: an upstream in its warm-up is reported as slow until its runs show its pace. The pace from the warm-up is discarded
// when the warm-up ends.
func TestColdUpstream(t *testing.T) {
	h := newHarness(t, nil)
	pace := func() float64 {
		h.pass(timing.KeepAlive)
		h.controller.Tick(h.now)
		h.controller.Flush(h.now)
		return h.rooms[one].Pace
	}
	beat := func(number uint64, cold time.Duration) {
		h.controller.Heartbeat(h.now, lives.Heartbeat{
			Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: number, Clock: h.clock(), ColdFor: cold,
		})
	}
	qt.Assert(t, pace(), qt.Equals, 0.0)
	beat(2, 3*time.Second)
	qt.Assert(t, fleet.Slow(pace(), 1), qt.IsTrue)

	h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	h.pass(300 * time.Millisecond)
	h.answerHolds(call.Running{Task: task, Run: 1, Percent: 10}) // the estimate is a second
	measured := pace()
	qt.Assert(t, measured > 2.5 && measured < 3.5, qt.IsTrue, qt.Commentf("%v", measured))

	beat(3, 150*time.Millisecond)
	qt.Assert(t, pace() > 0, qt.IsTrue)
	qt.Assert(t, pace(), qt.Equals, 0.0)
}
