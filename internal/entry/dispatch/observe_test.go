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

// TestStopsAreTold: whoever watches hears once, for each job, which runs are to be stopped, where they are and why, and which are out of
// reach.
func TestStopsAreTold(t *testing.T) {
	runs := func(indices ...uint32) []dispatch.RunAt {
		var out []dispatch.RunAt
		for _, i := range indices {
			out = append(out, dispatch.RunAt{RunRef: fleet.RunRef{Task: job.TaskID{Job: 7, Index: i}, Run: 1}, Agent: "vm"})
		}
		return out
	}
	for _, test := range []struct {
		name string
		do   func(b *bench)
		want []dispatch.Stops
	}{
		{"nothing ran", func(b *bench) { b.submit(8, 8, 1, time.Second, time.Minute); b.table.Abandon(b.now, 8, 8) }, nil},
		{"its caller has gone", func(b *bench) { b.table.Abandon(b.now, 7, 1) }, []dispatch.Stops{
			{Job: 7, Why: "caller_gone", Asked: runs(0, 1)},
		}},
		{"its caller has gone, and an agent is out of hearing", func(b *bench) {
			b.table.Unlinked(b.now, b.orders[0].agent)
			b.table.Abandon(b.now, 7, 1)
		}, []dispatch.Stops{{Job: 7, Why: "caller_gone", Unheard: runs(0, 1)}}},
		{"the wish may have been lost", func(b *bench) {
			a := b.orders[0].agent
			b.table.Abandon(b.now, 7, 1)
			b.table.Unlinked(b.now, a)
			b.link(a)
			b.table.Resumed(a, []fleet.OrderedRun{b.orders[0].run(0)})
		}, []dispatch.Stops{
			{Job: 7, Why: "caller_gone", Asked: runs(0, 1)}, {Job: 7, Why: dispatch.AskedBefore, Asked: runs(0)},
		}},
		{"a run that is not known here", func(b *bench) {
			stray := fleet.OrderedRun{RunRef: fleet.RunRef{Task: job.TaskID{Job: 7, Index: 1}, Run: 1}, ID: 100}
			b.table.Resumed(b.orders[0].agent, []fleet.OrderedRun{stray})
		}, []dispatch.Stops{{Job: 7, Why: dispatch.NotKnown, Asked: runs(1)}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, 1)
			b.submit(7, 1, 2, time.Second, time.Minute)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			test.do(b)
			qt.Assert(t, b.told, qt.DeepEquals, test.want)
		})
	}
}

// TestMoveIsTold: a run that makes way for another is told as one that is stopped.
func TestMoveIsTold(t *testing.T) {
	b := newBench(t, 2)
	b.submit(7, 1, 1, time.Second, time.Minute)
	o := b.orders[0]
	b.room(ident.Incarnation(3)-o.agent, fleet.Ready, 2000, 0)
	b.pass(200 * time.Millisecond)
	b.table.Progress(b.now, o.agent, []fleet.Progress{{OrderedRun: o.run(0), Left: 5 * time.Second}})
	qt.Assert(t, b.told, qt.HasLen, 1)
	qt.Assert(t, b.told[0].Why, qt.Equals, dispatch.Moving)
	qt.Assert(t, b.told[0].Asked, qt.HasLen, 1)
}

// TestCallerThatComesAgainIsTold: with what its job still has at agents.
func TestCallerThatComesAgainIsTold(t *testing.T) {
	b := newBench(t, 1)
	b.submit(7, 1, 2, time.Second, time.Minute)
	b.now = b.now.Add(40 * time.Millisecond)
	b.submit(7, 2, 2, time.Second, time.Minute)
	b.table.Abandon(b.now, 7, 1)
	b.table.Abandon(b.now, 7, 2)
	b.submit(7, 3, 2, time.Second, time.Minute)
	qt.Assert(t, b.again, qt.DeepEquals, []dispatch.Holding{
		{Since: 40 * time.Millisecond, Callers: 1, Runs: 2}, {Since: 40 * time.Millisecond, Runs: 2, Ending: true},
	})
}
