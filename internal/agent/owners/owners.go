// Package owners tracks which entries hold jobs that are not kept, and which entries may no longer order tasks of such a job because another
// entry has taken it over. It must not be used for kept jobs: the store records their owners.
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

// Retention is how long a takeover is recorded: an entry that has not heard of the takeover within that time has given up its callers. The
// jobs that an entry holds are recorded for the same time, and the entry reports them again before it is over.
const Retention = 10 * time.Second

// claim is the claim of an entry to a job.
type claim struct {
	job   job.ID
	entry ident.Incarnation
}

// Registry records the claims to jobs that one agent knows of.
type Registry struct {
	// held is until when an entry counts as a holder of a job; refused is until when an entry's orders for a job are refused.
	held, refused map[claim]time.Time
}

// New returns an empty Registry.
func New() *Registry { return &Registry{make(map[claim]time.Time), make(map[claim]time.Time)} }

// RecordHeld records that an entry holds jobs.
func (r *Registry) RecordHeld(now time.Time, entry ident.Incarnation, jobs []job.ID) {
	for _, id := range jobs {
		r.held[claim{id, entry}] = now.Add(Retention)
	}
}

// RecordTakeover records that an entry takes over a job: the entry may order the job's tasks, and the former holder no longer holds it.
func (r *Registry) RecordTakeover(t fleet.Takeover) {
	delete(r.held, claim{t.Job, t.Holder})
	delete(r.refused, claim{t.Job, t.NewHolder})
}

// Refuse records that orders for a job by its former holder are refused from now on.
func (r *Registry) Refuse(now time.Time, t fleet.Takeover) {
	r.refused[claim{t.Job, t.Holder}] = now.Add(Retention)
}

// IsRefused reports whether orders for a job by an entry are refused.
func (r *Registry) IsRefused(now time.Time, id job.ID, entry ident.Incarnation) bool {
	return now.Before(r.refused[claim{id, entry}])
}

// Holding lists the jobs that an entry holds.
type Holding struct {
	Entry ident.Incarnation
	Jobs  []job.ID
}

// HeldByOthers returns the jobs held by each entry other than except, in a deterministic order.
func (r *Registry) HeldByOthers(now time.Time, except ident.Incarnation) []Holding {
	jobsOf := make(map[ident.Incarnation][]job.ID)
	for c, until := range r.held {
		if c.entry != except && now.Before(until) {
			jobsOf[c.entry] = append(jobsOf[c.entry], c.job)
		}
	}
	out := make([]Holding, 0, len(jobsOf))
	for entry, jobs := range jobsOf {
		slices.Sort(jobs)
		out = append(out, Holding{entry, jobs})
	}
	slices.SortFunc(out, func(a, b Holding) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

// Expire removes the records that are no longer valid.
func (r *Registry) Expire(now time.Time) {
	expired := func(_ claim, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(r.held, expired)
	maps.DeleteFunc(r.refused, expired)
}
