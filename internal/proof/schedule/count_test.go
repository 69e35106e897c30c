package schedule

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

var countFrom = flag.Uint64("count-from", 0, "count the schedules that fail, from this seed on")

// TestCount runs schedules of any kind, goes on where one fails, and lists all that do: how frequent a fault is, which searches that end with
// the first failure don't say.
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

// countFailed runs schedules on all processors, logs those that fail and returns how many did.
func countFailed(t *testing.T, first uint64, n int) int64 {
	var next, failed atomic.Int64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				s := first + uint64(i)
				if w := schedule(s, nil, someFaults(s)); w.broken != "" {
					failed.Add(1)
					t.Logf("seed %d: %s", s, w.broken)
				}
			}
		})
	}
	group.Wait()
	return failed.Load()
}
