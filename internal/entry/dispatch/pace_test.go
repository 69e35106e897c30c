package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/pace"
)

// TestNewUpstreamHasItsKindsPace guards against tasks that end late because an upstream that is new, or was idle, is taken to be as fast
// as most although its kind of VM is slow. Upstreams 1 and 2 of kind b are full; upstream 3 has room and no pace. Among 3 and 4, of kind a,
// tasks go to the faster kind.
func TestNewUpstreamHasItsKindsPace(t *testing.T) {
	for _, test := range []struct {
		name string
		// slow is the pace of kind b; kind a has pace 1.
		slow  float64
		label job.Label
		// room is the free room of upstream 4.
		room int64
		// waits is how long the job waits, and goesTo its upstream.
		waits  time.Duration
		goesTo ident.Incarnation
	}{
		{"its kind is slow, no other room", 4, "b", 0, 405 * time.Millisecond, 3},
		{"its kind is not known", 4, "c", 0, 0, 3},
		{"its kind is slower, room elsewhere", 1.6, "b", 2000, 0, 4},
		{"its kind is faster, room elsewhere", 0.6, "b", 2000, 0, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRacks(t, 1, []float64{test.slow, test.slow, 0, 1, 1, 1, 1}, []job.Label{"b", "b", test.label, "a", "a", "a", "a"})
			for i := range ident.Incarnation(7) {
				if i != 2 {
					b.paced(i+1, 0, map[bool]float64{true: test.slow, false: 1}[i < 2], 0)
				}
			}
			b.paced(4, test.room, 1, 0)
			b.submit(7, 1, 1, time.Second, time.Minute)
			if test.waits > 0 {
				b.pass(test.waits - 25*time.Millisecond)
				qt.Assert(t, b.orders, qt.HasLen, 0)
				b.pass(60 * time.Millisecond)
			}
			qt.Assert(t, b.orders, qt.HasLen, 1)
			qt.Assert(t, b.orders[0].agent, qt.Equals, test.goesTo)
		})
	}
}

// TestUpstreamsSayWhosePace checks that the list of upstreams says where each pace is from, also after an upstream's labels have changed
// and after a link was lost.
func TestUpstreamsSayWhosePace(t *testing.T) {
	b := newRacks(t, 1, []float64{1.6, 1.6, 0, 1, 1, 1, 1}, []job.Label{"b", "b", "b", "a", "a", "a", "a"})
	check := func(want float64, from pace.Source) {
		t.Helper()
		u := b.table.Upstreams()[2]
		qt.Assert(t, u.Pace, qt.Equals, want)
		qt.Assert(t, u.PaceSource, qt.Equals, from)
	}
	check(1.6, pace.Kind)
	b.table.HandleUpstream(b.now, 3, fleet.Upstream{ID: "3", Service: "publish", Labels: []job.Label{"c"}, Total: job.Resources{CPU: 2000}})
	check(1, pace.All)
	b.table.HandleUpstream(b.now, 3, fleet.Upstream{ID: "3", Service: "publish", Labels: []job.Label{"b"}, Total: job.Resources{CPU: 2000}})
	check(1.6, pace.Kind)
	b.paced(3, 2000, 1.7, 0)
	check(1.7, pace.Own)
	b.paced(3, 2000, 0, 0)
	b.table.HandleUnlinked(b.now, 7)
	b.table.HandleUnlinked(b.now, 6)
	check(1.6, pace.Kind)
	b.table.HandleUpstream(b.now, 1, fleet.Upstream{ID: "1", Service: "publish", Labels: []job.Label{"a"}, Total: job.Resources{CPU: 2000}})
	check(1.6, pace.All)
}
