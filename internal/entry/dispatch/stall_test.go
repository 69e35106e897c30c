package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// TestStallsAreTold guards against tasks that are stopped as stalled without end, and against upstreams that are blamed for them: agents must
// know how often runs of a task, or of a step whose time is in doubt, have stalled before.
func TestStallsAreTold(t *testing.T) {
	b := newHarness(t, 3)
	told := func() (stalls []uint32) {
		for _, o := range b.orders {
			for _, k := range o.Tasks {
				stalls = append(stalls, k.Stalls)
			}
		}
		b.orders = nil
		return stalls
	}
	for i := range ident.Incarnation(3) {
		b.room(1+i, fleet.Ready, 1000, 0)
	}
	b.submit(1, 1, 5, time.Second, time.Hour)
	first := b.orders
	qt.Assert(t, first, qt.HasLen, 3)
	qt.Check(t, told(), qt.DeepEquals, []uint32{0, 0, 0})
	stall := func(o order) {
		b.end(o, 0, job.Stalled, fleet.NoProgress)
		b.room(o.agent, fleet.Ready, 1000, o.Seq)
	}
	stall(first[0])
	qt.Check(t, told(), qt.DeepEquals, []uint32{0}, qt.Commentf("another task, which has not run: one upstream has stalled"))
	stall(first[1])
	qt.Check(t, told(), qt.DeepEquals, []uint32{1}, qt.Commentf("another task: two upstreams have stalled"))
	b.end(first[2], 0, job.Done, "")
	b.room(first[2].agent, fleet.Ready, 1000, first[2].Seq)
	qt.Check(t, told(), qt.DeepEquals, []uint32{1}, qt.Commentf("the first task again"))
}
