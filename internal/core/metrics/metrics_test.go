package metrics_test

import (
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/metrics"
)

// TestNodesShareSets guards against a crash at startup: nodes of one process that start concurrently use the same names, and publishing a
// name twice ends the process.
func TestNodesShareSets(t *testing.T) {
	const nodes = 50
	run := fmt.Sprint(time.Now().UnixNano()) // published sets can't be removed
	var group sync.WaitGroup
	begin := make(chan struct{})
	for range nodes {
		group.Go(func() {
			<-begin
			metrics.NewCounters("counters"+run).Add("events", 1)
			metrics.NewLatencies("latencies"+run).Record("key", time.Millisecond)
		})
	}
	close(begin)
	group.Wait()
	qt.Assert(t, expvar.Get("counters"+run).(*expvar.Map).Get("events").String(), qt.Equals, "50")
	qt.Assert(t, expvar.Get("latencies"+run).String(), qt.Contains, `"count":50`)
}

// TestReport checks that the newest report under a name is served.
func TestReport(t *testing.T) {
	for _, want := range []int{1, 2} {
		metrics.Report("a_report", func() any { return want })
		qt.Assert(t, expvar.Get("a_report").String(), qt.Equals, strconv.Itoa(want))
	}
}
