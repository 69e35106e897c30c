// Package owners answers which entries hold jobs that need not be kept, and which may not order their tasks any more, since another entry has taken the
// job over. It must not be asked about kept jobs, whose owners the store tells.
package owners

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Remember is for how long a takeover is known: an entry that has not heard of it within that time has given its callers up. What entries hold is
// known as long: they tell it again sooner.
const Retention = 10 * time.Second

// claim is an entry's on a job.
type claim struct {
	job   job.ID
	entry ident.Incarnation
}

// Account is what is known of the owners of jobs.
type Registry struct {
	// held is until when an entry counts as one that holds a job, lost until when its orders of the job are refused.
	held, refused map[claim]time.Time
}

// New returns an Account that knows of none.
func New() *Registry { return &Registry{make(map[claim]time.Time), make(map[claim]time.Time)} }

// Holds notes that an entry holds jobs.
func (a *Registry) RecordHeld(now time.Time, entry ident.Incarnation, jobs []job.ID) {
	for _, id := range jobs {
		a.held[claim{id, entry}] = now.Add(Retention)
	}
}

// Asked notes that an entry takes a job over: it may order its tasks, and the former holder holds it no more.
func (a *Registry) RecordTakeover(t fleet.Takeover) {
	delete(a.held, claim{t.Job, t.Holder})
	delete(a.refused, claim{t.Job, t.NewHolder})
}

// Refuse notes that orders of a job by its former holder are refused from now on.
func (a *Registry) Refuse(now time.Time, t fleet.Takeover) {
	a.refused[claim{t.Job, t.Holder}] = now.Add(Retention)
}

// Refuses tells whether an entry's orders of a job are refused.
func (a *Registry) IsRefused(now time.Time, id job.ID, entry ident.Incarnation) bool {
	return now.Before(a.refused[claim{id, entry}])
}

// Held are the jobs that an entry holds.
type Holding struct {
	Entry ident.Incarnation
	Jobs  []job.ID
}

// Others lists what entries but one hold, in an order that repeats.
func (a *Registry) HeldByOthers(now time.Time, but ident.Incarnation) []Holding {
	by := make(map[ident.Incarnation][]job.ID)
	for c, until := range a.held {
		if c.entry != but && now.Before(until) {
			by[c.entry] = append(by[c.entry], c.job)
		}
	}
	out := make([]Holding, 0, len(by))
	for entry, jobs := range by {
		slices.Sort(jobs)
		out = append(out, Holding{entry, jobs})
	}
	slices.SortFunc(out, func(a, b Holding) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

// Forget forgets what is over.
func (a *Registry) Expire(now time.Time) {
	over := func(_ claim, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(a.held, over)
	maps.DeleteFunc(a.refused, over)
}
