package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Holding records which jobs one entry has held for long, and forwards that to all other entries; entries that link later get it then.
func (u *Controller) Holding(now time.Time, holder ident.Incarnation, jobs []job.ID) {
	u.owners.RecordHeld(now, holder, jobs)
	for _, s := range u.sessionOrder {
		if s.linked && s.entry != holder {
			u.entries.Holding(s.entry, holder, jobs)
		}
	}
}

// sendHoldings sends to an entry that has linked which jobs other entries hold.
func (u *Controller) sendHoldings(now time.Time, entry ident.Incarnation) {
	for _, h := range u.owners.HeldByOthers(now, entry) {
		u.entries.Holding(entry, h.Entry, h.Jobs)
	}
}

// Release handles an entry's request to take a job over. A linked holder is asked to give the job up. A holder that isn't linked may not
// order the job's tasks any more, and the requesting entry gets a Released message once nothing of the job is left here; until then it
// repeats the request.
func (u *Controller) Release(now time.Time, t fleet.Takeover) {
	u.owners.RecordTakeover(t)
	if s := u.sessions[t.Holder]; s != nil && s.linked {
		u.entries.Release(t)
		return
	}
	u.owners.Refuse(now, t)
	if u.runsKnown && !u.hasRunOfJob(t.Job, t.Holder) {
		u.entries.Released(fleet.Released{Takeover: t})
	}
}

// Released forwards that the holder of a job has given it up.
func (u *Controller) Released(r fleet.Released) { u.entries.Released(r) }

// hasRunOfJob reports whether a run of a job is, or may be, here for an entry, or is here without a known owner.
func (u *Controller) hasRunOfJob(id job.ID, entry ident.Incarnation) bool {
	for _, r := range u.runs {
		if r.task.Job == id && r.owner == entry {
			return true
		}
	}
	for key := range u.strays {
		if key.Task.Job == id {
			return true
		}
	}
	return false
}
