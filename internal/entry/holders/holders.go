// Package holders answers which other entry holds a job that need not be kept, from what entries tell each other of the jobs that they have
// held for long. It knows nothing of this entry's own jobs, and must not be taken for complete: what was told may be lost.
package holders

import (
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

const (
	// TellAfter is after how long a held job is told of: callers come to another entry 1.3 s after they have left this one at the earliest, and the
	// message may take as long as a slow link's.
	AnnounceAfter = 800 * time.Millisecond
	// TellEvery is after how long it is told of again, for entries that have not heard or were not there.
	AnnounceInterval = 2 * time.Second
	// remember is for how long it counts as held without being told of again: one message may be lost.
	timeToLive = 2*AnnounceInterval + time.Second
)

// holder is an entry that holds a job.
type holder struct {
	entry ident.Incarnation
	until time.Time
}

// Account is what other entries have told.
type Registry struct {
	// by has several entries for a job whose caller has gone from one to the next.
	jobs map[job.ID][]holder
	// swept is when what is over was forgotten last.
	swept time.Time
}

// New returns an Account that knows of no job.
func New() *Registry { return &Registry{jobs: make(map[job.ID][]holder)} }

// Told notes that an entry holds jobs.
func (a *Registry) Record(now time.Time, entry ident.Incarnation, jobs ...job.ID) {
	for _, id := range jobs {
		a.Forget(id, entry)
		a.jobs[id] = append(a.jobs[id], holder{entry, now.Add(timeToLive)})
	}
	if now.Sub(a.swept) > timeToLive {
		a.swept = now
		maps.DeleteFunc(a.jobs, func(_ job.ID, all []holder) bool {
			return !slices.ContainsFunc(all, func(h holder) bool { return now.Before(h.until) })
		})
	}
}

// Of returns an entry that holds a job, as far as it is known.
func (a *Registry) Find(now time.Time, id job.ID) (entry ident.Incarnation, known bool) {
	for _, h := range a.jobs[id] {
		if now.Before(h.until) {
			return h.entry, true
		}
	}
	return 0, false
}

// Forget forgets that an entry holds a job.
func (a *Registry) Forget(id job.ID, entry ident.Incarnation) {
	left := slices.DeleteFunc(a.jobs[id], func(h holder) bool { return h.entry == entry })
	if len(left) == 0 {
		delete(a.jobs, id)
		return
	}
	a.jobs[id] = left
}
