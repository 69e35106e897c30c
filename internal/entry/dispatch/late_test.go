package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// TestNoUpstreamAloneMakesAJobLate: a task goes to no upstream that makes its job late while others have room, or may have before the job
// is refused. Upstream 1 has room, and upstream 2 if so said; all others are full and of pace 1. The job's objective is 100 ms plus 1.6
// times its estimate.
func TestNoUpstreamAloneMakesAJobLate(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name string
		// pace and rack are those of upstream 1, pace2 and room2 those of upstream 2, which is in rack r-2.
		pace  float64
		rack  job.Label
		pace2 float64
		room2 int64
		// factor is how many times as long a task takes away from rack r-1, where the job's data is.
		factor   float64
		estimate time.Duration
		// full is how long upstream 1 is full at first.
		full time.Duration
		// waits is how long the job then waits for an upstream, and goesTo the upstream.
		waits  time.Duration
		goesTo ident.Incarnation
	}{
		{"in time at once", 1.6, "r-1", 1, 0, 1, second, 0, 0, 1},
		{"late after a wait, though not slow", 1.6, "r-1", 1, 0, 1, second, 120 * time.Millisecond, 300 * time.Millisecond, 1},
		{"late after a wait, room elsewhere", 1.6, "r-1", 1, 2000, 1, second, 120 * time.Millisecond, 0, 2},
		{"short, in time after a wait", 1.6, "r-1", 1, 0, 1, 100 * time.Millisecond, 40 * time.Millisecond, 0, 1},
		{"late away from its data", 1, "r-2", 1, 0, 3, second, 0, 420 * time.Millisecond, 1},
		{"in time away from its data, after a wait for room near it", 1, "r-2", 1, 0, 1.5, second, 0, 180 * time.Millisecond, 1},
		{"late anywhere", 1.7, "r-1", 1, 0, 1, 0, 0, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRacks(t, test.factor, []float64{test.pace, test.pace2, 1, 1, 1}, []job.Label{test.rack, "r-2", "r-1", "r-1", "r-1"})
			for id := ident.Incarnation(2); id <= 5; id++ {
				b.paced(id, 0, 1, 0)
			}
			b.paced(1, map[bool]int64{true: 2000}[test.full == 0], test.pace, 0)
			b.submitNear(7, "r-1", test.estimate)
			if test.full > 0 {
				b.pass(test.full)
				qt.Assert(t, b.orders, qt.HasLen, 0)
				b.paced(1, 2000, test.pace, 0)
				b.paced(2, test.room2, test.pace2, 0)
			}
			if test.waits > 0 {
				b.pass(test.waits - 40*time.Millisecond)
				qt.Assert(t, b.orders, qt.HasLen, 0)
				b.pass(60 * time.Millisecond)
			}
			qt.Assert(t, b.answers, qt.HasLen, 0)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			qt.Assert(t, b.orders[0].agent, qt.Equals, test.goesTo)
		})
	}
}

// TestInTimeGoesFirst: an upstream at which the job can be in time is preferred to a cheaper one at which it is late. Upstream 1 is empty and
// away from the task's data, upstream 2 is half full and near it.
func TestInTimeGoesFirst(t *testing.T) {
	for _, test := range []struct {
		name   string
		factor float64
		want   ident.Incarnation
	}{
		{"in time at both", 1.5, 1},
		{"late away from the data", 1.75, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRacks(t, test.factor, []float64{1, 1.65, 1, 1, 1}, []job.Label{"r-2", "r-1", "r-2", "r-2", "r-2"})
			for id := ident.Incarnation(3); id <= 5; id++ {
				b.paced(id, 0, 1, 0)
			}
			b.paced(2, 1000, 1.65, 0)
			b.submitNear(7, "r-1", time.Second)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			qt.Assert(t, b.orders[0].agent, qt.Equals, test.want)
		})
	}
}
