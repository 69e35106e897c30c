package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// stopTime is what a run takes to end when it is to make way: the platform's stop_ms of 50 ms at the most, and as much
// again for the way there and back and for the next start.
const stopTime = 100 * time.Millisecond

// lateFactor times the objective is when a job's end is worth nothing any more; between the two it is worth little.
const lateFactor = 3

// Progress handles an agent's word on runs on an upstream that has become slow. A task whose job would be served
// better by beginning anew elsewhere goes there.
func (t *Table) Progress(now time.Time, id ident.Incarnation, runs []fleet.Progress) {
	a := t.agents[id]
	if a == nil {
		return
	}
	for _, r := range runs {
		k := a.runs[r.Task]
		if k == nil || k.ordered() != r.OrderedRun || k.phase != placed || k.stopping || k.moving || k.job.ending {
			continue
		}
		if t.movingPays(now, k, r.Left) {
			t.move(k)
		}
	}
}

// movingPays tells whether a task would end early enough elsewhere for its job to be worth more than where it is.
func (t *Table) movingPays(now time.Time, k *task, left time.Duration) bool {
	estimate := k.job.spec.Steps[k.id.Step].Estimate
	anew := stopTime + time.Duration(t.pace*float64(estimate))
	return k.job.worthAt(now.Add(anew)) > k.job.worthAt(now.Add(left)) && t.hasRoom(k)
}

// worth rates a job's end.
type worth int

// The ratings, from the lowest on.
const (
	ofNoUse worth = iota
	late
	inTime
)

// worthAt rates the job's end at a moment.
func (j *jobState) worthAt(end time.Time) worth {
	switch took := end.Sub(j.submitted); {
	case took <= j.objective:
		return inTime
	case took <= lateFactor*j.objective:
		return late
	}
	return ofNoUse
}

// hasRoom tells whether a task that runs could be placed at another upstream now.
func (t *Table) hasRoom(k *task) bool {
	step := &k.job.spec.Steps[k.id.Step]
	for _, a := range t.order {
		if a != k.agent && !a.Slow(t.pace) && t.eligible(a, k, step) {
			return true
		}
	}
	return false
}

// move stops a task's run; once that has ended, the task is placed elsewhere.
func (t *Table) move(k *task) {
	k.moving = true
	k.shun(k.agent.Up.ID)
	t.agentsIO.Stop(k.agent.ID, k.ordered(), fleet.Moved)
}
