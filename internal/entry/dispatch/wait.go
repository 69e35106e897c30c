package dispatch

import (
	"time"

	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/admission"
)

// recordPressure records a job's answer in the demand estimate. It ignores answers that say nothing about capacity, and
// kept jobs, which wait longer.
func (t *Table) recordPressure(now time.Time, j *jobState, a Answer) {
	overloaded := a.Reason == verdict.Overloaded
	if j.kept || a.State != verdict.Complete && !overloaded {
		return
	}
	t.pressure.Record(now, overloaded)
}

// setWaitLimits sets how long a new job waits and its place among waiting jobs. criticalPath is the estimated time of the
// job's longest chain of steps.
func (t *Table) setWaitLimits(now time.Time, j *jobState, criticalPath time.Duration) {
	s := admission.State{Pace: t.pace, Ready: t.anyReady(j.route.Service)}
	if s.Ready {
		s.Pressure = t.pressure.Level(now)
	}
	w := admission.Decide(admission.Job{
		Objective: j.objective, CriticalPath: criticalPath, CallerWait: j.deadline.Sub(now), Tasks: j.spec.TaskCount(),
		Kept: j.kept, Resent: j.resent(),
	}, s)
	j.waitUntil, j.placeBy = now.Add(w.MaxWait), now.Add(w.PlaceWithin)
}
