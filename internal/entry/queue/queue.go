// Package queue decides in which order jobs that wait for room go.
//
// It takes of each job when it has to go, and whether it has begun or can't be in time any more. It never drops a job, nor decides whether
// one fits anywhere.
package queue

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Turn is what a job's place in the order rests on.
type Rank struct {
	// Begun: runs of the job were started; giving it up would waste their work.
	Begun bool
	// Late: it can't be in time any more.
	Late bool
	// GoesBy is when it should go at the latest.
	PlaceBy time.Time
	// Priority is its route's; zero goes first.
	Priority int
	Job      job.ID
}

// Compare orders turns: jobs that have begun first, those that can't be in time last, then by when they should go.
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

// Job is what waits.
type Job interface {
	comparable
	// Turn is the job's present one; it may change while the job waits.
	Rank() Rank
}

// Queue holds the jobs of one service that have tasks to place, the most urgent first.
type Queue[J Job] struct {
	Service ident.Service
	jobs    []J
}

// New returns an empty Queue.
func New[J Job](s ident.Service) *Queue[J] { return &Queue[J]{Service: s} }

// Add puts a job into its place. A job that begins while others of its tasks wait keeps the place it had, and so does one
// of which nothing has begun after all: the list is in order but for those, and one that is added beside them may come
// out before or behind them.
func (q *Queue[J]) Add(j J) {
	i, _ := slices.BinarySearchFunc(q.jobs, j.Rank(), func(have J, turn Rank) int { return Compare(have.Rank(), turn) })
	q.jobs = slices.Insert(q.jobs, i, j)
}

// Remove takes a job out.
func (q *Queue[J]) Remove(j J) {
	// The order may have changed since the job was added, so it is sought one by one.
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

// Len returns how many jobs wait.
func (q *Queue[J]) Len() int { return len(q.jobs) }

// All returns the jobs in their order.
func (q *Queue[J]) All() []J { return slices.Clone(q.jobs) }

// lookahead is how many jobs that do not fit are passed over for ones behind them that do. Passing over more
// would let small tasks hold up large ones.
const maxSkipped = 4

// Offer offers room to the jobs in their order. place places what fits of a job, which may leave the queue by it, and tells whether room
// that another job leaves could help it; jobs that no such room helps are passed over without limit.
func (q *Queue[J]) Offer(place func(J) (waitsForRoom bool)) {
	missed := 0
	for i := 0; i < len(q.jobs) && missed < maxSkipped; {
		j := q.jobs[i]
		waits := place(j)
		if i >= len(q.jobs) || q.jobs[i] != j {
			continue
		}
		i++
		if waits {
			missed++
		}
	}
}
