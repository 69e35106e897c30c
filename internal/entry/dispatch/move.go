package dispatch

import (
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

// shouldMove reports whether a task would finish enough earlier elsewhere that its job's result gains value.
func (t *Table) shouldMove(now time.Time, k *task, left time.Duration) bool {
	restarted := time.Duration(t.pace * float64(k.job.spec.Steps[k.id.Step].Estimate))
	return retry.ShouldMove(now.Sub(k.job.submitted), k.job.objective, left, restarted) && t.hasRoomElsewhere(k)
}

// hasRoomElsewhere reports whether a running task could be placed at another upstream now.
func (t *Table) hasRoomElsewhere(k *task) bool {
	step := &k.job.spec.Steps[k.id.Step]
	for _, a := range t.agentList {
		if a != k.agent && !a.IsSlow(t.pace) && t.eligible(a, k, step) {
			return true
		}
	}
	return false
}

// move stops a task's run. The task is placed elsewhere once the run has ended.
func (t *Table) move(k *task) {
	k.moving = true
	k.avoidUpstream(k.agent.Upstream.ID)
	t.agentsIO.Stop(k.agent.ID, k.orderedRun(), fleet.Moved)
	t.unreportedStops = append(t.unreportedStops, k.runAt())
	t.reportStops(k.job, StopMoved, nil)
}
