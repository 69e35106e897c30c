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
const Remember = 10 * time.Second

// claim is an entry's on a job.
type claim struct {
	job   job.ID
	entry ident.Incarnation
}

// Account is what is known of the owners of jobs.
type Account struct {
	// held is until when an entry counts as one that holds a job, lost until when its orders of the job are refused.
	held, lost map[claim]time.Time
}

// New returns an Account that knows of none.
func New() *Account { return &Account{make(map[claim]time.Time), make(map[claim]time.Time)} }

// Holds notes that an entry holds jobs.
func (a *Account) Holds(now time.Time, entry ident.Incarnation, jobs []job.ID) {
	for _, id := range jobs {
		a.held[claim{id, entry}] = now.Add(Remember)
	}
}

// Asked notes that an entry takes a job over: it may order its tasks, and the former holder holds it no more.
func (a *Account) Asked(t fleet.Takeover) {
	delete(a.held, claim{t.Job, t.Holder})
	delete(a.lost, claim{t.Job, t.By})
}

// Refuse notes that orders of a job by its former holder are refused from now on.
func (a *Account) Refuse(now time.Time, t fleet.Takeover) {
	a.lost[claim{t.Job, t.Holder}] = now.Add(Remember)
}

// Refuses tells whether an entry's orders of a job are refused.
func (a *Account) Refuses(now time.Time, id job.ID, entry ident.Incarnation) bool {
	return now.Before(a.lost[claim{id, entry}])
}

// Held are the jobs that an entry holds.
type Held struct {
	Entry ident.Incarnation
	Jobs  []job.ID
}

// Others lists what entries but one hold, in an order that repeats.
func (a *Account) Others(now time.Time, but ident.Incarnation) []Held {
	by := make(map[ident.Incarnation][]job.ID)
	for c, until := range a.held {
		if c.entry != but && now.Before(until) {
			by[c.entry] = append(by[c.entry], c.job)
		}
	}
	out := make([]Held, 0, len(by))
	for entry, jobs := range by {
		slices.Sort(jobs)
		out = append(out, Held{entry, jobs})
	}
	slices.SortFunc(out, func(a, b Held) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

// Forget forgets what is over.
func (a *Account) Forget(now time.Time) {
	over := func(_ claim, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(a.held, over)
	maps.DeleteFunc(a.lost, over)
}
