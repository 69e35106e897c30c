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

// TestShrinkingRoom: the room in a heartbeat applies at once, also to runs that go on or are being stopped. A heartbeat that arrives
// after a newer one changes nothing.
func TestShrinkingRoom(t *testing.T) {
	h := newHarness(t, nil)
	beat := func(sequence uint64, cpu int64) {
		h.controller.Heartbeat(h.now, lives.Heartbeat{
			Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: cpu}}, Sequence: sequence, Clock: h.clock(),
		})
		h.flushRoom()
	}
	h.order(one, 1)
	first := h.starts[0]
	h.controller.StartDone(h.now, first, call.OK, h.clock())
	beat(3, 1000)
	qt.Assert(t, h.rooms[one].Free, qt.Equals, job.Resources{})
	beat(2, 2000) // arrives after a newer one
	h.orderBeside(two, 1)
	qt.Assert(t, h.starts, qt.HasLen, 1)
	qt.Assert(t, h.ends[two][0].Reason, qt.Equals, fleet.NoRoom)
	beat(4, 500)
	h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest)
	beat(5, 1500) // the run that is being stopped takes 1,000
	h.orderBeside(two, 2)
	qt.Assert(t, h.starts, qt.HasLen, 1)
	beat(6, 2000)
	h.orderBeside(two, 3)
	qt.Assert(t, h.starts, qt.HasLen, 2)
}

// TestShrunkBelowWhatRuns: if the room shrinks below what runs, the runs go on, and nothing is started until they fit.
func TestShrunkBelowWhatRuns(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	h.controller.Heartbeat(h.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1", Service: "publish"}, Sequence: 2, Clock: h.clock()})
	h.flushRoom()
	qt.Assert(t, h.stops, qt.HasLen, 0)
	qt.Assert(t, h.rooms[one].Free, qt.Equals, job.Resources{CPU: -1000})
	h.orderBeside(two, 1)
	qt.Assert(t, h.starts, qt.HasLen, 1)
}

// flushRoom lets the messages about room reach both entries.
func (h *harness) flushRoom() {
	for range 2 {
		h.pass(20 * time.Millisecond)
		h.controller.Flush(h.now)
	}
}
