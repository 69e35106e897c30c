// Package recent remembers the jobs whose end this entry has stored, for a limited time after the end.
package recent

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/record"
)

const (
	// retention is how long an ended job is remembered. Callers ask for a job soon after its end; later queries go to the
	// store. Ends of its runs may still arrive for as long as agents withhold them.
	retention = 60 * time.Second
	// maxJobs bounds the remembered jobs, of 300 bytes each.
	maxJobs = 20_000
)

// Jobs holds the remembered jobs.
type Jobs struct {
	byID map[job.ID]*endedJob
	// oldestFirst lists the jobs in the order in which they ended.
	oldestFirst []*endedJob
}

// endedJob is a job that has ended.
type endedJob struct {
	id      job.ID
	endedAt time.Time
	state   verdict.State
	// ends are the ends that were counted in the job's progress.
	ends record.Ends
}

// New returns an empty Jobs.
func New() *Jobs { return &Jobs{byID: make(map[job.ID]*endedJob)} }

// Add remembers a job with its counted ends, and removes the jobs that are too old or exceed maxJobs.
func (r *Jobs) Add(now time.Time, id job.ID, s verdict.State, ends record.Ends) {
	e := &endedJob{id: id, endedAt: now, state: s, ends: ends}
	r.byID[id] = e
	r.oldestFirst = append(r.oldestFirst, e)
	for len(r.oldestFirst) > maxJobs || now.Sub(r.oldestFirst[0].endedAt) > retention {
		oldest := r.oldestFirst[0]
		if r.byID[oldest.id] == oldest {
			delete(r.byID, oldest.id)
		}
		r.oldestFirst = r.oldestFirst[1:]
	}
}

// Has reports whether a job is remembered.
func (r *Jobs) Has(id job.ID) bool { return r.byID[id] != nil }

// State returns a job's state, and whether it is remembered.
func (r *Jobs) State(id job.ID) (verdict.State, bool) {
	e := r.byID[id]
	if e == nil {
		return "", false
	}
	return e.state, true
}

// Counted reports whether the end of a run was counted in its job's progress. It is false if the job is not remembered.
func (r *Jobs) Counted(run fleet.RunRef) bool {
	e := r.byID[run.Task.Job]
	return e != nil && e.ends.Contains(run.Task.Step, run.Task.Index, run.Run)
}
