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

// TestStopsAreReported: for each job the observer is told once which runs are to be stopped, where they are and why, and
// which of them are unreachable.
func TestStopsAreReported(t *testing.T) {
	runs := func(indices ...uint32) []dispatch.RunAt {
		var out []dispatch.RunAt
		for _, i := range indices {
			out = append(out, dispatch.RunAt{RunRef: fleet.RunRef{Task: job.TaskID{Job: 7, Index: i}, Run: 1}, Agent: "vm"})
		}
		return out
	}
	for _, test := range []struct {
		name string
		do   func(b *harness)
		want []dispatch.Stops
	}{
		{"nothing ran", func(b *harness) { b.submit(8, 8, 1, time.Second, time.Minute); b.table.Abandon(b.now, 8, 8) }, nil},
		{"its caller has gone", func(b *harness) { b.table.Abandon(b.now, 7, 1) }, []dispatch.Stops{
			{Job: 7, Cause: "caller_gone", Requested: runs(0, 1)},
		}},
		{"its caller has gone, and an agent is unreachable", func(b *harness) {
			b.table.HandleUnlinked(b.now, b.orders[0].agent)
			b.table.Abandon(b.now, 7, 1)
		}, []dispatch.Stops{{Job: 7, Cause: "caller_gone", Unreachable: runs(0, 1)}}},
		{"the request to stop may have been lost", func(b *harness) {
			a := b.orders[0].agent
			b.table.Abandon(b.now, 7, 1)
			b.table.HandleUnlinked(b.now, a)
			b.link(a)
			b.table.HandleResumed(a, []fleet.OrderedRun{b.orders[0].run(0)})
		}, []dispatch.Stops{
			{Job: 7, Cause: "caller_gone", Requested: runs(0, 1)}, {Job: 7, Cause: dispatch.StopRepeated, Requested: runs(0)},
		}},
		{"a run that this entry does not know", func(b *harness) {
			stray := fleet.OrderedRun{RunRef: fleet.RunRef{Task: job.TaskID{Job: 7, Index: 1}, Run: 1}, ID: 100}
			b.table.HandleResumed(b.orders[0].agent, []fleet.OrderedRun{stray})
		}, []dispatch.Stops{{Job: 7, Cause: dispatch.StopUnknownRun, Requested: runs(1)}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.submit(7, 1, 2, time.Second, time.Minute)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			test.do(b)
			qt.Assert(t, b.stopReports, qt.DeepEquals, test.want)
		})
	}
}

// TestMoveIsReported: a run that is stopped so that its task can run elsewhere is reported like other stops.
func TestMoveIsReported(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(7, 1, 1, time.Second, time.Minute)
	o := b.orders[0]
	b.room(ident.Incarnation(3)-o.agent, fleet.Ready, 2000, 0)
	b.pass(200 * time.Millisecond)
	b.table.HandleProgress(b.now, o.agent, []fleet.Progress{{OrderedRun: o.run(0), Left: 5 * time.Second}})
	qt.Assert(t, b.stopReports, qt.HasLen, 1)
	qt.Assert(t, b.stopReports[0].Cause, qt.Equals, dispatch.StopMoved)
	qt.Assert(t, b.stopReports[0].Requested, qt.HasLen, 1)
}

// TestResubmissionIsReported: the report states how many runs of the job are still at agents.
func TestResubmissionIsReported(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(7, 1, 2, time.Second, time.Minute)
	b.now = b.now.Add(40 * time.Millisecond)
	b.submit(7, 2, 2, time.Second, time.Minute)
	b.table.Abandon(b.now, 7, 1)
	b.table.Abandon(b.now, 7, 2)
	b.submit(7, 3, 2, time.Second, time.Minute)
	qt.Assert(t, b.resubmissions, qt.DeepEquals, []dispatch.HeldJob{
		{Since: 40 * time.Millisecond, Callers: 1, Runs: 2}, {Since: 40 * time.Millisecond, Runs: 2, Ending: true},
	})
}
