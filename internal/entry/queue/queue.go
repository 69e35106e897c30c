// Package queue orders the jobs that wait for capacity.
//
// The order depends on when each job should be placed, whether it has started, and whether it can still be in time. The
// queue never drops a job and does not decide whether a job fits anywhere.
package queue

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Rank is the sort key of a waiting job.
type Rank struct {
	// Begun is set if runs of the job were started; giving the job up would waste their work.
	Begun bool
	// Late is set if the job can no longer be in time.
	Late bool
	// PlaceBy is the time by which the job should be placed. WaitUntil is the time until which it waits for capacity; it is
	// not earlier.
	PlaceBy, WaitUntil time.Time
	// Priority is the priority of the job's route; zero is placed first.
	Priority int
	Job      job.ID
}

// Compare orders ranks: jobs that have begun first, late jobs last, then by PlaceBy, Priority and job id. A late job that
// has begun precedes all jobs that have not.
func Compare(a, b Rank) int {
	return cmp.Or(
		falseFirst(b.Begun, a.Begun), falseFirst(a.Late, b.Late), a.PlaceBy.Compare(b.PlaceBy), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Job, b.Job),
	)
}

// falseFirst orders false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Job is the constraint for the elements of a Queue.
type Job interface {
	comparable
	// Rank returns the job's current rank, which may change while the job waits.
	Rank() Rank
}

// Queue holds the jobs of one service that have tasks to place, in order of rank.
type Queue[J Job] struct {
	Service ident.Service
	// Sizes counts the waiting tasks of the jobs by size.
	Sizes Sizes
	jobs  []J
}

// New returns an empty Queue.
func New[J Job](s ident.Service) *Queue[J] { return &Queue[J]{Service: s} }

// Add inserts a job at the position of its rank. A job whose rank changes while it waits keeps its position: it may begin
// while other tasks of it still wait, or turn out not to have begun after all. The list is sorted except for such jobs, and
// a job that is added next to them may be inserted before or after them.
func (q *Queue[J]) Add(j J) {
	i, _ := slices.BinarySearchFunc(q.jobs, j.Rank(), func(have J, rank Rank) int { return Compare(have.Rank(), rank) })
	q.jobs = slices.Insert(q.jobs, i, j)
}

// Remove removes a job.
func (q *Queue[J]) Remove(j J) {
	// The rank may have changed since the job was added, so a binary search could miss it.
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

// Len returns the number of waiting jobs.
func (q *Queue[J]) Len() int { return len(q.jobs) }

// HasInTime reports whether a job waits that can still be in time.
func (q *Queue[J]) HasInTime() bool {
	for _, j := range q.jobs {
		switch rank := j.Rank(); {
		case !rank.Late:
			return true
		case !rank.Begun:
			return false // late jobs that have not begun are last
		}
	}
	return false
}

// All returns the jobs in queue order.
func (q *Queue[J]) All() []J { return slices.Clone(q.jobs) }

// Holds reports whether a job that waits for capacity may not be passed any more: later jobs leave it the capacity that
// comes free. A job holds capacity from the time by which it should be placed until its wait ends, and never once it can't
// be in time.
func (r Rank) Holds(now time.Time) bool {
	return !r.Late && !now.Before(r.PlaceBy) && now.Before(r.WaitUntil)
}

// Offer offers capacity to the jobs in queue order. It calls place for each job. place places as many of the job's tasks as
// fit, may remove the job from the queue, and reports whether later jobs may use the capacity that is left.
func (q *Queue[J]) Offer(place func(J) (goOn bool)) {
	for i := 0; i < len(q.jobs); {
		j := q.jobs[i]
		if !place(j) {
			return
		}
		if i < len(q.jobs) && q.jobs[i] == j {
			i++
		}
	}
}
