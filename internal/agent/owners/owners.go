// Package owners answers which entry holds a job that need not be kept, and which one may order its tasks: after a takeover only the one that has
// taken it over. It must not be asked about kept jobs, whose owners the store tells.
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

// owner is an entry that has told that it holds a job, or has taken it over.
type owner struct {
	entry ident.Incarnation
	// alone: it has taken the job over, and nobody else may order its tasks.
	alone bool
	until time.Time
}

// Account is what is known of the owners of jobs.
type Account struct{ by map[job.ID]owner }

// New returns an Account that knows of none.
func New() *Account { return &Account{make(map[job.ID]owner)} }

// Holds notes that an entry holds jobs; that one has taken a job over weighs more.
func (a *Account) Holds(now time.Time, entry ident.Incarnation, jobs []job.ID) {
	for _, id := range jobs {
		if o := a.by[id]; !o.alone || o.entry == entry || !now.Before(o.until) {
			a.by[id] = owner{entry, o.alone && o.entry == entry, now.Add(Remember)}
		}
	}
}

// TakenOver notes a takeover, in place of an earlier one of the job.
func (a *Account) TakenOver(now time.Time, t fleet.Takeover) {
	a.by[t.Job] = owner{t.By, true, now.Add(Remember)}
}

// Refuses tells whether an entry may not order a job's tasks, since another has taken it over.
func (a *Account) Refuses(now time.Time, id job.ID, entry ident.Incarnation) bool {
	o := a.by[id]
	return o.alone && o.entry != entry && now.Before(o.until)
}

// Held are the jobs that an entry holds.
type Held struct {
	Entry ident.Incarnation
	Jobs  []job.ID
}

// Others lists what entries but one hold, in an order that repeats.
func (a *Account) Others(now time.Time, but ident.Incarnation) []Held {
	by := make(map[ident.Incarnation][]job.ID)
	for id, o := range a.by {
		if o.entry != but && now.Before(o.until) {
			by[o.entry] = append(by[o.entry], id)
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
	maps.DeleteFunc(a.by, func(_ job.ID, o owner) bool { return !now.Before(o.until) })
}
