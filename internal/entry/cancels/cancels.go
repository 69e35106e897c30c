// Package cancels remembers for a while which jobs were cancelled. A request for such a job may still be under way in the network, or may
// reach an entry just after that entry has told another one that it does not have the job. It must not start the job.
package cancels

import (
	"time"

	"hillreel/internal/core/job"
)

const (
	// retention is how long a cancelled job is remembered. By then, callers have given up a request that was sent before the cancellation.
	retention = 10 * time.Second
	// maxJobs bounds the remembered jobs, of 60 bytes each.
	maxJobs = 50_000
)

// Jobs holds the remembered jobs.
type Jobs struct {
	until map[job.ID]time.Time
	// oldestFirst lists the cancellations in the order in which they came. A job that was cancelled again is listed twice.
	oldestFirst []cancellation
}

// cancellation is one cancellation of a job, remembered until a time.
type cancellation struct {
	id    job.ID
	until time.Time
}

// New returns an empty Jobs.
func New() *Jobs { return &Jobs{until: make(map[job.ID]time.Time)} }

// Add remembers a job that was cancelled, and removes the jobs that are too old or exceed maxJobs.
func (j *Jobs) Add(now time.Time, id job.ID) {
	c := cancellation{id, now.Add(retention)}
	j.until[id] = c.until
	j.oldestFirst = append(j.oldestFirst, c)
	for len(j.oldestFirst) > maxJobs || !now.Before(j.oldestFirst[0].until) {
		oldest := j.oldestFirst[0]
		if j.until[oldest.id].Equal(oldest.until) {
			delete(j.until, oldest.id)
		}
		j.oldestFirst = j.oldestFirst[1:]
	}
}

// Has reports whether a job was cancelled a short time ago.
func (j *Jobs) Has(now time.Time, id job.ID) bool { return now.Before(j.until[id]) }
