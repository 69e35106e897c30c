package book

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
)

const (
	// recentFor is how long an ended job is remembered; callers ask for it soon after its end, and then the store is
	// asked. Ends of its runs may come late for as long as agents withhold them.
	recentFor = 60 * time.Second
	// maxRecent bounds them: 300 bytes each.
	maxRecent = 20_000
)

// recent remembers jobs whose end this entry has stored.
type recent struct {
	jobs map[job.ID]*endedJob
	// order lists them from the oldest on.
	order []*endedJob
}

// endedJob is a job that has ended.
type endedJob struct {
	at    time.Time
	state verdict.State
	job   *keptJob
}

func newRecent() recent { return recent{jobs: make(map[job.ID]*endedJob)} }

// add remembers a job, and forgets old ones.
func (r *recent) add(now time.Time, k *keptJob, s verdict.State) {
	e := &endedJob{now, s, &keptJob{id: k.id, open: k.open}}
	r.jobs[k.id] = e
	r.order = append(r.order, e)
	for len(r.order) > maxRecent || now.Sub(r.order[0].at) > recentFor {
		oldest := r.order[0]
		if r.jobs[oldest.job.id] == oldest {
			delete(r.jobs, oldest.job.id)
		}
		r.order = r.order[1:]
	}
}

// has tells whether a job is remembered.
func (r *recent) has(id job.ID) bool { return r.jobs[id] != nil }

// state returns a job's state, and whether it is remembered.
func (r *recent) state(id job.ID) (verdict.State, bool) {
	e := r.jobs[id]
	if e == nil {
		return "", false
	}
	return e.state, true
}

// counted tells whether the end of a run was counted in its job's progress.
func (r *recent) counted(run fleet.RunRef) bool {
	e := r.jobs[run.Task.Job]
	return e != nil && e.job.counted(run)
}
