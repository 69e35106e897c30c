package schedule

import (
	"flag"
	"sync/atomic"
	"testing"
)

var countFrom = flag.Uint64("count-from", 0, "count the schedules that fail, from this seed on")

// TestCount measures how frequent a fault is: it runs schedules of any kind, continues after a failure, and lists all that
// fail. The other searches stop at the first failure.
func TestCount(t *testing.T) {
	if *countFrom == 0 {
		t.Skip("nothing to count: -count-from names the first seed")
	}
	failed := countFailed(t, *countFrom, *schedules)
	t.Logf("%d of %d schedules from seed %d failed", failed, *schedules, *countFrom)
	if failed > 0 {
		t.Fail()
	}
}

// countFailed runs schedules on all processors, logs those that fail, and returns their number.
func countFailed(t *testing.T, first uint64, n int) int64 {
	var failed atomic.Int64
	onAllProcessors(n, func(i uint64) (more bool) {
		s := first + i
		if w := runSchedule(s, nil, faultCount(s)); w.violation != "" {
			failed.Add(1)
			t.Logf("seed %d: %s", s, w.violation)
		}
		return true
	})
	return failed.Load()
}
