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

// restoreTime is the longest time that the upstreams of these tests need to restore a checkpoint.
const restoreTime = 600 * time.Millisecond

// newRestoring is like newVMs, for upstreams that need restoreTime.
func newRestoring(t *testing.T, n int) *harness {
	b := newVMs(t, 0)
	b.table = dispatch.New(dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 10, MaxTasks: 20, RestoreTime: restoreTime}, b, b, b, 1)
	b.table.Tick(b.now)
	for i := 1; i <= n; i++ {
		id := ident.Incarnation(i)
		b.linkVM(id, ident.UpstreamName(id.String()), ident.UpstreamID(id.String()))
	}
	return b
}

// submitSteady submits a job of one task of a second, which must end within 1.7 s.
func (b *harness) submitSteady(checkpoints bool) {
	b.table.Submit(b.now, dispatch.Request{
		Job: 1, Route: queue, Caller: 1, Deadline: b.now.Add(time.Minute),
		Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{
			Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Checkpoints: checkpoints,
		}}},
	})
}

// stopFirst ends the first run as stopped, with a checkpoint.
func (b *harness) stopFirst(checkpoint string) {
	o := b.orders[0]
	b.table.HandleEnd(b.now, o.agent, fleet.End{
		Task: o.Task(0), Run: 1, ID: o.Tasks[0].ID, Outcome: job.Stopped, Reason: fleet.Moved, Checkpoint: checkpoint,
	})
}

// TestMovesCountRestoring guards against moves by which a job ends later: the task must restore its checkpoint where it is started anew.
func TestMovesCountRestoring(t *testing.T) {
	for _, test := range []struct {
		name string
		// checkpoints is set if the tasks save checkpoints, resumed if the run was started with one.
		checkpoints, resumed bool
		moves                bool
	}{
		{"no checkpoint", false, false, true},
		{"it will save one when it is stopped", true, false, false},
		{"it has been resumed from one", false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRestoring(t, 2)
			b.paced(1, 2000, 1, 0)
			b.paced(2, 2000, 1, 0)
			b.submitSteady(test.checkpoints)
			if test.resumed {
				b.stopFirst("saved")
				b.paced(b.orders[0].agent, 2000, 1, b.orders[0].Seq)
			}
			o := b.orders[len(b.orders)-1]
			b.pass(100 * time.Millisecond)
			b.paced(3-o.agent, 2000, 1, 100)
			b.table.HandleProgress(b.now, o.agent, []fleet.Progress{{OrderedRun: o.run(0), Left: 4 * time.Second}})
			qt.Assert(t, len(b.stops) > 0, qt.Equals, test.moves)
		})
	}
}

// TestOffersCountRestoring guards against tasks that are placed where they end too late because they restore a checkpoint first.
func TestOffersCountRestoring(t *testing.T) {
	for _, test := range []struct {
		name, checkpoint string
		placed           bool
	}{
		{"no checkpoint", "", true},
		{"late on a slow upstream because of the checkpoint", "saved", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRestoring(t, 4)
			for id := ident.Incarnation(1); id <= 4; id++ {
				b.paced(id, 0, 1, 0)
			}
			b.paced(1, 2000, 1, 0)
			b.submitSteady(true)
			o := b.orders[0]
			b.paced(1, 0, 1, o.Seq)
			b.stopFirst(test.checkpoint)
			b.paced(2, 2000, 1.2, 0)
			qt.Assert(t, len(b.orders) == 2, qt.Equals, test.placed)
		})
	}
}

// TestSuspectsRestoreAlone guards against a suspected task that crashes its upstream beside others, because it comes to the point later
// than before: it restores a checkpoint first.
func TestSuspectsRestoreAlone(t *testing.T) {
	alone := func(checkpoint string) time.Duration {
		b := newRestoring(t, 3)
		for id := ident.Incarnation(1); id <= 3; id++ {
			b.paced(id, 2000, 1, 0)
		}
		b.submitSteady(true)
		b.stopFirst(checkpoint)
		b.loseUpstream(b.orders[1], 5*time.Millisecond)
		qt.Assert(t, b.orders, qt.HasLen, 3)
		return b.orders[2].Tasks[0].AloneFor
	}
	qt.Assert(t, alone("saved")-alone(""), qt.Equals, restoreTime)
}
