package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
)

// TestWaitsAreReported checks that a task that waits while nothing of its job runs is reported once a second, with what keeps it from each
// upstream.
func TestWaitsAreReported(t *testing.T) {
	step := job.Step{Count: 2, Each: job.Resources{CPU: 1000, GPU: 1}, Requires: "r-1"}
	for _, test := range []struct {
		name string
		// change changes the upstreams of which none could take the task before.
		change func(b *harness)
		want   map[dispatch.WaitCause]int
	}{
		{"no label", func(*harness) {}, map[dispatch.WaitCause]int{dispatch.NoLabel: 2}},
		{"no accelerator", func(b *harness) { b.describe(1, job.Resources{CPU: 2000}, "r-1") }, map[dispatch.WaitCause]int{dispatch.NoLabel: 1, dispatch.TooSmall: 1}},
		{"not ready", func(b *harness) { b.room(1, fleet.Suspect, 2000, 0) }, map[dispatch.WaitCause]int{dispatch.NoLabel: 1, dispatch.NotReady: 1}},
		{"full", func(b *harness) { b.describe(2, job.Resources{CPU: 2000, GPU: 1}, "r-1") }, map[dispatch.WaitCause]int{dispatch.NoLabel: 1, dispatch.NoRoom: 1}},
		{"cordoned", func(b *harness) { b.table.SetCordoned(b.now, []ident.Zone{"z"}) }, map[dispatch.WaitCause]int{dispatch.CordonedOff: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 2)
			test.change(b)
			b.submitKept(1, step, queue)
			b.pass(2500 * time.Millisecond)
			qt.Assert(t, b.waits, qt.HasLen, 2)
			qt.Check(t, b.waits[1].Task, qt.Equals, job.TaskID{Job: 1})
			qt.Check(t, b.waits[1].Waited >= 2*time.Second, qt.IsTrue, qt.Commentf("%v", b.waits[1].Waited))
			qt.Check(t, b.waits[1].Causes, qt.DeepEquals, test.want)
		})
	}
}

// TestRunningJobsAreNotReported checks that a job with a run is not reported, though another task of it waits.
func TestRunningJobsAreNotReported(t *testing.T) {
	b := newHarness(t, 1)
	b.submitKept(1, job.Step{Count: 2, Each: job.Resources{CPU: 2000}}, queue)
	b.pass(3 * time.Second)
	qt.Assert(t, b.waits, qt.HasLen, 0)
}

// submitKept submits a kept job of one step.
func (b *harness) submitKept(id job.ID, step job.Step, r route.Route) {
	b.table.SetKeeper(noKeeper{})
	b.table.Submit(b.now, dispatch.Request{
		Job: id, Route: r, Kept: &dispatch.KeptState{Generation: 1}, Spec: &job.Spec{Text: "x", Steps: []job.Step{step}},
	})
}

// describe describes an agent's upstream again, which is empty.
func (b *harness) describe(id ident.Incarnation, total job.Resources, labels ...job.Label) {
	b.table.HandleUpstream(b.now, id, fleet.Upstream{ID: ident.UpstreamID(id.String()), Service: "publish", Total: total, Labels: labels})
}
