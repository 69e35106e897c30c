package embedded_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
)

// TestTaskThatCrashesUpstreams guards against a task that keeps crashing one upstream after another. Its job must fail, must not start
// again when it is resubmitted at any entry, and must not disturb the jobs that run beside it.
func TestTaskThatCrashesUpstreams(t *testing.T) {
	for _, keep := range []bool{false, true} {
		cluster := start(t, 2, 6)
		c := newClient(t, cluster)
		healthy := make(chan map[api.State]int)
		go func() { healthy <- submitAll(t, c, 30, job(60, `{"run_ms":60}`)) }()
		bad := api.Job{
			Service: "publish", Spec: `{"run_ms":60,"crash":true}`, ObjectiveMs: 20_000, Keep: keep,
			Steps: []api.Step{{Count: 1, CPUMillis: 1000, EstimateMs: 60}},
		}
		id := client.NewID()
		_, err := c.Submit(context.Background(), id, bad)
		qt.Assert(t, err, qt.IsNil)
		if keep {
			eventually(t, "the job to fail", func() bool {
				a, err := c.State(context.Background(), id)
				return err == nil && a.State == verdict.Failed
			})
		}
		started, _ := cluster.Ledger.Job(id)
		for range 4 {
			a, err := c.Submit(context.Background(), id, bad)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.State == verdict.Failed || keep, qt.IsTrue, qt.Commentf("%+v", a))
			if !keep {
				qt.Assert(t, a.Reason, qt.Equals, verdict.CrashesUpstreams)
			}
		}
		qt.Assert(t, <-healthy, qt.DeepEquals, map[api.State]int{verdict.Complete: 30})
		time.Sleep(100 * time.Millisecond)
		after, done := cluster.Ledger.Job(id)
		qt.Assert(t, after, qt.Equals, started)
		qt.Assert(t, done, qt.Equals, 0)
		qt.Assert(t, cluster.Ledger.Overdone(), qt.HasLen, 0)
		qt.Assert(t, cluster.Ledger.MayFail(id), qt.IsTrue)
		t.Logf("keep %v: the task was started %d times", keep, started)
	}
}
