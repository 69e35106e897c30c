package dispatch

import (
	"time"

	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/admission"
)

// notePressure takes in a job's answer. Those that say nothing of room are left out, and kept jobs, which wait longer.
func (t *Table) notePressure(now time.Time, j *jobState, a Answer) {
	overloaded := a.Reason == verdict.Overloaded
	if j.kept || a.State != verdict.Complete && !overloaded {
		return
	}
	t.pressure.Note(now, overloaded)
}

// takeTurn notes until when a new job waits, and when it goes; chain is the estimated time of its longest chain of steps.
func (t *Table) takeTurn(now time.Time, j *jobState, chain time.Duration) {
	s := admission.State{Pace: t.pace, Ready: t.anyReady(j.route.Service, nil)}
	if s.Ready {
		s.Pressure = t.pressure.Level(now)
	}
	w := admission.Decide(admission.Wish{
		Objective: j.objective, Chain: chain, Left: j.deadline.Sub(now), Tasks: j.spec.Tasks(), Kept: j.kept, SentBefore: j.sentBefore(),
	}, s)
	j.startBy, j.goesBy = now.Add(w.Start), now.Add(w.Go)
}
