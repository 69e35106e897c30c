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

// TestShrinkingRoom: what a heartbeat says of the room holds from then on, for what runs and is being stopped as well; a heartbeat that was
// overtaken says nothing.
func TestShrinkingRoom(t *testing.T) {
	b := newHarness(t, nil)
	beat := func(sequence uint64, cpu int64) {
		b.manager.Heartbeat(b.now, lives.Heartbeat{
			Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: cpu}}, Sequence: sequence, Clock: b.clock(),
		})
		b.countToldAll()
	}
	b.order(one, 1)
	first := b.starts[0]
	b.manager.StartDone(b.now, first, call.OK, b.clock())
	beat(3, 1000)
	qt.Assert(t, b.rooms[one].Free, qt.Equals, job.Resources{})
	beat(2, 2000) // overtaken
	b.orderBeside(two, 1)
	qt.Assert(t, b.starts, qt.HasLen, 1)
	qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.NoRoom)
	beat(4, 500)
	b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest)
	beat(5, 1500) // what is being stopped takes 1,000
	b.orderBeside(two, 2)
	qt.Assert(t, b.starts, qt.HasLen, 1)
	beat(6, 2000)
	b.orderBeside(two, 3)
	qt.Assert(t, b.starts, qt.HasLen, 2)
}

// TestShrunkBelowWhatRuns: nothing is started before the runs fit, and what runs goes on.
func TestShrunkBelowWhatRuns(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.manager.Heartbeat(b.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1", Service: "publish"}, Sequence: 2, Clock: b.clock()})
	b.countToldAll()
	qt.Assert(t, b.stops, qt.HasLen, 0)
	qt.Assert(t, b.rooms[one].Free, qt.Equals, job.Resources{CPU: -1000})
	b.orderBeside(two, 1)
	qt.Assert(t, b.starts, qt.HasLen, 1)
}

// toldAll lets both entries hear of the room.
func (b *harness) countToldAll() {
	for range 2 {
		b.pass(20 * time.Millisecond)
		b.manager.Flush(b.now)
	}
}
