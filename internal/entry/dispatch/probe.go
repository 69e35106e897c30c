package dispatch

import "time"

// probeTurn is how long after a probe a job leaves further probes to other jobs that wait for one.
const probeTurn = time.Second

// leavesProbe reports whether a job leaves the probe that an upstream accepts to another job of its service, which has not probed for
// longer. A job whose tasks are long, or fail wherever they run, would otherwise take all probes if it comes first in the queue.
func (t *Table) leavesProbe(now time.Time, a *agentState, j *jobState) bool {
	if !a.Probing() || j.probedAt.IsZero() || now.Sub(j.probedAt) >= probeTurn {
		return false
	}
	for _, other := range t.queue(j.route.Service).All() {
		if other != j && other.probedAt.Before(j.probedAt) && t.couldProbe(a, other) {
			return true
		}
	}
	return false
}

// couldProbe reports whether an upstream could take a waiting task of a job as a probe.
func (t *Table) couldProbe(a *agentState, j *jobState) bool {
	for i := range j.steps {
		if len(j.steps[i].waiting) > 0 && a.CanTake(j.route.Service, &j.spec.Steps[i]) && t.permits(a, j.route.Service) {
			return true
		}
	}
	return false
}
