package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/entry/retry"
)

// HandleProgress handles an agent's progress report for runs on an upstream that has become slow. A task is moved if its
// job benefits from starting it anew elsewhere.
func (t *Table) HandleProgress(now time.Time, id ident.Incarnation, runs []fleet.Progress) {
	a := t.agents[id]
	if a == nil {
		return
	}
	for _, r := range runs {
		k := a.runs[r.Task]
		if k == nil || k.orderedRun() != r.OrderedRun || k.phase != placed || k.stopping || k.moving || k.job.ending {
			continue
		}
		if t.shouldMove(now, k, r.Left) {
			t.move(k)
		}
	}
}

// shouldMove reports whether a running task could be placed at another upstream now and would finish enough earlier there that its
// job's result gains value. How much of the work a checkpoint spares is not known, so all of it counts.
func (t *Table) shouldMove(now time.Time, k *task, left time.Duration) bool {
	took := now.Sub(k.job.submitted)
	step := &k.job.spec.Steps[k.id.Step]
	if step.Estimate == 0 {
		return false // how long it would take elsewhere is not known
	}
	prefer := t.preferenceOf(now, k)
	var restore time.Duration
	if step.Checkpoints || k.checkpoint != "" {
		restore = t.opts.RestoreTime
	}
	return slices.ContainsFunc(t.agentList, func(a *agentState) bool {
		return a != k.agent && retry.ShouldMove(took, k.job.objective, left, restore+t.runTime(a, step, t.pace)) &&
			!fleet.Slow(t.paceFor(a, step), t.pace) && t.eligible(a, k, prefer)
	})
}

// move stops a task's run. The task is placed elsewhere once the run has ended.
func (t *Table) move(k *task) {
	k.moving = true
	k.avoidUpstream(k.agent.Upstream.ID)
	t.agentsIO.Stop(k.agent.ID, k.orderedRun(), fleet.Moved)
	t.unreportedStops = append(t.unreportedStops, k.runAt())
	t.reportStops(k.job, StopMoved, nil)
}
