package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Holding passes on to all other entries which jobs one has held for long, later also to those that link.
func (k *Controller) Holding(now time.Time, holder ident.Incarnation, jobs []job.ID) {
	k.owners.RecordHeld(now, holder, jobs)
	for _, s := range k.sessionOrder {
		if s.linked && s.entry != holder {
			k.entries.Holding(s.entry, holder, jobs)
		}
	}
}

// greetHolding tells an entry that has linked which jobs others hold.
func (k *Controller) sendHoldings(now time.Time, entry ident.Incarnation) {
	for _, h := range k.owners.HeldByOthers(now, entry) {
		k.entries.Holding(entry, h.Entry, h.Jobs)
	}
}

// Release handles an entry's wish to take a job over. Its holder is asked to give it up. One that isn't linked may not order its tasks any more,
// and the entry is told once nothing of the job is left here; until then it asks again.
func (k *Controller) Release(now time.Time, t fleet.Takeover) {
	k.owners.RecordTakeover(t)
	if s := k.sessions[t.Holder]; s != nil && s.linked {
		k.entries.Release(t)
		return
	}
	k.owners.Refuse(now, t)
	if k.runsKnown && !k.hasRunOfJob(t.Job, t.Holder) {
		k.entries.Released(fleet.Released{Takeover: t})
	}
}

// Released passes on that the holder of a job has given it up.
func (k *Controller) Released(r fleet.Released) { k.entries.Released(r) }

// has tells whether a run of a job is, or may be, here for an entry, or for nobody that is known.
func (k *Controller) hasRunOfJob(id job.ID, entry ident.Incarnation) bool {
	for _, r := range k.runs {
		if r.task.Job == id && r.owner == entry {
			return true
		}
	}
	for key := range k.strays {
		if key.Task.Job == id {
			return true
		}
	}
	return false
}
