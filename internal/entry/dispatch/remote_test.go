package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/dispatch"
)

// newRacks returns a Table with an upstream of two cores for each pace, where the i-th agent has the i-th pace and rack.
func newRacks(t *testing.T, factor float64, paces []float64, racks []job.Label) *harness {
	b := newHarness(t, 0)
	o := dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 100, MaxTasks: 20, RemoteFactor: factor}
	b.table = dispatch.New(o, b, b, b, 1)
	b.table.Tick(b.now)
	for i, pace := range paces {
		id := ident.Incarnation(i + 1)
		b.table.HandleLinked(b.now, id, ident.UpstreamName(id.String()), "z")
		b.table.HandleUpstream(b.now, id, fleet.Upstream{
			ID: ident.UpstreamID(id.String()), Service: "publish", Labels: []job.Label{racks[i]}, Total: job.Resources{CPU: 2000},
		})
		b.paced(id, 2000, pace, 0)
	}
	return b
}

// paced reports the room and the pace of an upstream.
func (b *harness) paced(id ident.Incarnation, cpu int64, pace float64, seq uint64) {
	b.table.HandleRoom(b.now, id, fleet.Room{Free: job.Resources{CPU: cpu}, State: fleet.Ready, Pace: pace, Seq: seq})
}

// submitNear submits a job of one task whose data is in a rack.
func (b *harness) submitNear(id job.ID, rack job.Label, estimate time.Duration) {
	b.table.Submit(b.now, dispatch.Request{
		Job: id, Route: queue, Caller: dispatch.CallerID(id), Deadline: b.now.Add(time.Minute),
		Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: estimate, Prefers: rack}}},
	})
}

// TestOrdersSayRemoteFactor: an order says by how much its runs are slowed by being away from their data, so that the agent does not
// take its upstream for a slow one.
func TestOrdersSayRemoteFactor(t *testing.T) {
	for _, test := range []struct {
		name         string
		factor       float64
		rack, prefer job.Label
		want         float64
	}{
		{"no preference", 3, "r-1", "", 0},
		{"near", 3, "r-1", "r-1", 0},
		{"remote", 3, "r-1", "r-2", 3},
		{"remote, with no factor", 0, "r-1", "r-2", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRacks(t, test.factor, []float64{1}, []job.Label{test.rack})
			b.submitNear(7, test.prefer, 20*time.Millisecond)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			qt.Assert(t, b.orders[0].RemoteFactor, qt.Equals, test.want)
		})
	}
}

// TestMovesCountRemoteness: a task is moved off a slow upstream only if its job gains by it where there is room, which may be away from
// the task's data.
func TestMovesCountRemoteness(t *testing.T) {
	for _, test := range []struct {
		name   string
		factor float64
		rack   job.Label
		moves  bool
	}{
		{"room near the data", 3, "r-1", true},
		{"room away from the data, in time", 1.3, "r-2", true},
		{"room away from the data, late", 3, "r-2", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRacks(t, test.factor, []float64{1, 1}, []job.Label{"r-1", test.rack})
			b.paced(2, 0, 1, 0)
			b.submitNear(7, "r-1", time.Second)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			o := b.orders[0]
			qt.Assert(t, o.agent, qt.Equals, ident.Incarnation(1))
			b.pass(100 * time.Millisecond)
			b.paced(2, 2000, 1, 0)
			b.table.HandleProgress(b.now, 1, []fleet.Progress{{OrderedRun: o.run(0), Left: 4 * time.Second}})
			qt.Assert(t, len(b.stops) > 0, qt.Equals, test.moves)
		})
	}
}
