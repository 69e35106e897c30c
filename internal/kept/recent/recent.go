// Package recent remembers jobs whose end this entry has stored, for a while after it.
package recent

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/record"
)

const (
	// keepFor is how long an ended job is remembered; callers ask for it soon after its end, and then the store is
	// asked. Ends of its runs may come late for as long as agents withhold them.
	retention = 60 * time.Second
	// maxJobs bounds them: 300 bytes each.
	maxJobs = 20_000
)

// Jobs are the jobs that are remembered.
type Jobs struct {
	byID map[job.ID]*endedJob
	// order lists them from the oldest on.
	oldestFirst []*endedJob
}

// endedJob is a job that has ended.
type endedJob struct {
	id      job.ID
	endedAt time.Time
	state   verdict.State
	// ends are those that were counted in its progress.
	ends record.Ends
}

// New returns Jobs without any.
func New() *Jobs { return &Jobs{byID: make(map[job.ID]*endedJob)} }

// Add remembers a job with the ends that were counted, and forgets old ones.
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

// Has tells whether a job is remembered.
func (r *Jobs) Has(id job.ID) bool { return r.byID[id] != nil }

// State returns a job's state, and whether it is remembered.
func (r *Jobs) State(id job.ID) (verdict.State, bool) {
	e := r.byID[id]
	if e == nil {
		return "", false
	}
	return e.state, true
}

// Counted tells whether the end of a run was counted in its job's progress.
func (r *Jobs) Counted(run fleet.RunRef) bool {
	e := r.byID[run.Task.Job]
	return e != nil && e.ends.Contains(run.Task.Step, run.Task.Index, run.Run)
}
