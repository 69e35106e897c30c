package dispatch

import (
	"time"

	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/admission"
)

// notePressure takes in a job's answer. Those that say nothing of room are left out, and kept jobs, which wait longer.
func (t *Table) recordPressure(now time.Time, j *jobState, a Answer) {
	overloaded := a.Reason == verdict.Overloaded
	if j.kept || a.State != verdict.Complete && !overloaded {
		return
	}
	t.pressure.Record(now, overloaded)
}

// takeTurn notes until when a new job waits, and when it goes; chain is the estimated time of its longest chain of steps.
func (t *Table) setWaitLimits(now time.Time, j *jobState, chain time.Duration) {
	s := admission.State{Pace: t.pace, Ready: t.anyReady(j.route.Service, nil)}
	if s.Ready {
		s.Pressure = t.pressure.Level(now)
	}
	w := admission.Decide(admission.Job{
		Objective: j.objective, CriticalPath: chain, CallerWait: j.deadline.Sub(now), Tasks: j.spec.TaskCount(), Kept: j.kept, Resent: j.resent(),
	}, s)
	j.waitUntil, j.placeBy = now.Add(w.MaxWait), now.Add(w.PlaceWithin)
}
