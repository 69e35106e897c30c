package job

import (
	"time"

	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
	"hillreel/internal/policy/estimate"
)

const (
	// slowLimit is from where an upstream counts as slow: tasks vary, a mean of this much does not by chance.
	slowLimit = 1.6
	// slowWeight is the share of the newest task in an upstream's slowness.
	slowWeight = 0.05
	// slowMost bounds what one task says: a few tasks are very long everywhere.
	slowMost = 4
	// overdue: a task that has taken so many times what was expected shows that its upstream is slow.
	overdue = 3
	// overdueLeast keeps short tasks from being overdue by a round trip.
	overdueLeast = 150 * time.Millisecond
	// blameLimit is the share of failures of a kind of task from which the tasks are at fault, not the upstream.
	blameLimit = 0.5
	// failWeight is the share of the newest task in a kind's failures.
	failWeight = 0.05
	// speedEvery is how often overdue tasks are looked for.
	speedEvery = 100 * time.Millisecond
)

// learn takes what a result says of run times, of the upstream's speed, and of its health.
func (t *Table) learn(j *job, index uint32, r *wire.Result) {
	a := t.agents[j.tasks[index].agent]
	if a == nil || j.spec == nil {
		return
	}
	now := t.opt.Now()
	kind := t.kindOf(j, index)
	v := verdict.Verdict(r.GetVerdict())
	switch {
	case v == verdict.Ran && r.GetOk():
		took := time.Duration(r.GetRunMs()) * time.Millisecond
		t.workDone += took
		a.sawRun(took, a.tasks[taskRef{j.key, index}].expected)
		if a.slow < slowLimit {
			t.opt.Estimate.Saw(kind, took)
		}
		t.failures[kind] -= failWeight * t.failures[kind]
		a.breaker.Succeeded()
	case v == verdict.Ran || v == verdict.MayHaveRun:
		t.failures[kind] += failWeight * (1 - t.failures[kind])
		a.breaker.Failed(j.key, t.failures[kind] < blameLimit, now)
	case r.GetReason() == string(verdict.ConnectFailed):
		a.breaker.Failed(j.key, true, now)
	}
}

// sawRun moves an upstream's slowness towards the newest task's.
func (a *agent) sawRun(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	a.slow += slowWeight * (min(float64(took)/float64(expected), slowMost) - a.slow)
}

// watchSpeeds finds upstreams that are slow now: their results, which would tell, are late.
func (t *Table) watchSpeeds() {
	now := t.opt.Now()
	if !t.opt.Guard || now.Sub(t.speedSeen) < speedEvery {
		return
	}
	t.speedSeen = now
	for _, a := range t.agentList {
		late := 0
		for _, p := range a.tasks {
			if age := now.Sub(p.at); age > overdueLeast && age > overdue*p.expected {
				late++
			}
		}
		// One may be a long task; a third of what it holds is not.
		if late > 1 && 3*late >= len(a.tasks) {
			a.slow = max(a.slow, overdue)
		}
	}
}

// failureRates holds the share of failures by kind of task.
type failureRates map[estimate.Kind]float64
