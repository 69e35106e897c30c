package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/entry/retry"
)

// Progress handles an agent's word on runs on an upstream that has become slow. A task whose job would be served
// better by beginning anew elsewhere goes there.
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

// movingPays tells whether a task would end early enough elsewhere for its job to be worth more than where it is.
func (t *Table) shouldMove(now time.Time, k *task, left time.Duration) bool {
	anew := time.Duration(t.pace * float64(k.job.spec.Steps[k.id.Step].Estimate))
	return retry.ShouldMove(now.Sub(k.job.submitted), k.job.objective, left, anew) && t.hasRoomElsewhere(k)
}

// hasRoom tells whether a task that runs could be placed at another upstream now.
func (t *Table) hasRoomElsewhere(k *task) bool {
	step := &k.job.spec.Steps[k.id.Step]
	for _, a := range t.agentList {
		if a != k.agent && !a.IsSlow(t.pace) && t.eligible(a, k, step) {
			return true
		}
	}
	return false
}

// move stops a task's run; once that has ended, the task is placed elsewhere.
func (t *Table) move(k *task) {
	k.moving = true
	k.avoidUpstream(k.agent.Upstream.ID)
	t.agentsIO.Stop(k.agent.ID, k.orderedRun(), fleet.Moved)
	t.unreportedStops = append(t.unreportedStops, k.runAt())
	t.reportStops(k.job, StopMoved, nil)
}
