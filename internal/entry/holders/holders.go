// Package holders tracks which other entry holds a job that is not kept, from the announcements that entries make of jobs
// they have held for a long time. A Registry has none of this entry's own jobs, and is incomplete, because announcements
// may be lost.
package holders

import (
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

const (
	// AnnounceAfter is the time after which a held job is announced. Callers turn to another entry at least 1.3 s after
	// they have left this one, and the announcement may take as long as a message on a slow link.
	AnnounceAfter = 800 * time.Millisecond
	// AnnounceInterval is the time between announcements. They are repeated for entries that missed one or were not
	// running.
	AnnounceInterval = 2 * time.Second
	// timeToLive is how long a job counts as held after its latest announcement. It allows for one lost announcement.
	timeToLive = 2*AnnounceInterval + time.Second
)

// holder is an entry that holds a job.
type holder struct {
	entry ident.Incarnation
	until time.Time
}

// Registry holds the announcements of other entries.
type Registry struct {
	// jobs lists the holders of each job. A job has several if its caller has moved from one entry to the next.
	jobs map[job.ID][]holder
	// swept is when expired announcements were last removed.
	swept time.Time
}

// New returns an empty Registry.
func New() *Registry { return &Registry{jobs: make(map[job.ID][]holder)} }

// Record records that an entry holds jobs.
func (r *Registry) Record(now time.Time, entry ident.Incarnation, jobs ...job.ID) {
	for _, id := range jobs {
		r.Forget(id, entry)
		r.jobs[id] = append(r.jobs[id], holder{entry, now.Add(timeToLive)})
	}
	if now.Sub(r.swept) > timeToLive {
		r.swept = now
		maps.DeleteFunc(r.jobs, func(_ job.ID, all []holder) bool {
			return !slices.ContainsFunc(all, func(h holder) bool { return now.Before(h.until) })
		})
	}
}

// Find returns an entry that holds a job, if one is known.
func (r *Registry) Find(now time.Time, id job.ID) (entry ident.Incarnation, known bool) {
	for _, h := range r.jobs[id] {
		if now.Before(h.until) {
			return h.entry, true
		}
	}
	return 0, false
}

// Forget removes the record that an entry holds a job.
func (r *Registry) Forget(id job.ID, entry ident.Incarnation) {
	left := slices.DeleteFunc(r.jobs[id], func(h holder) bool { return h.entry == entry })
	if len(left) == 0 {
		delete(r.jobs, id)
		return
	}
	r.jobs[id] = left
}
