package queue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
	"hillreel/internal/entry/queue"
)

// waiter is a waiting job.
type waiter struct{ rank queue.Rank }

func (w *waiter) Rank() queue.Rank { return w.rank }

var start = time.Unix(1000, 0)

// ids lists the jobs of a queue.
func ids(q *queue.Queue[*waiter]) []job.ID {
	var out []job.ID
	for _, w := range q.All() {
		out = append(out, w.rank.Job)
	}
	return out
}

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		ranks []queue.Rank
		want  []job.ID
	}{
		{"by the time they should be placed", []queue.Rank{{PlaceBy: start.Add(time.Second), Job: 1}, {PlaceBy: start, Job: 2}}, []job.ID{2, 1}},
		{"begun first", []queue.Rank{{PlaceBy: start, Job: 1}, {PlaceBy: start.Add(time.Second), Begun: true, Job: 2}}, []job.ID{2, 1}},
		{"late last", []queue.Rank{{PlaceBy: start, Late: true, Job: 1}, {PlaceBy: start.Add(time.Second), Job: 2}}, []job.ID{2, 1}},
		{"begun before late", []queue.Rank{{Late: true, Begun: true, Job: 1}, {Job: 2}}, []job.ID{1, 2}},
		{"priority, then id", []queue.Rank{{Priority: 1, Job: 1}, {Job: 3}, {Job: 2}}, []job.ID{2, 3, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := queue.New[*waiter]("s")
			for _, rank := range c.ranks {
				q.Add(&waiter{rank})
			}
			qt.Assert(t, ids(q), qt.DeepEquals, c.want)
		})
	}
}

// TestChangedRank: a job is found although its rank has changed since it was added.
func TestChangedRank(t *testing.T) {
	q := queue.New[*waiter]("s")
	first := &waiter{queue.Rank{Job: 1}}
	q.Add(first)
	q.Add(&waiter{queue.Rank{Job: 2}})
	first.rank.Late = true
	q.Remove(first)
	qt.Assert(t, ids(q), qt.DeepEquals, []job.ID{2})
}

// TestOffer: up to four jobs that do not fit are skipped. Jobs that leave the queue, and jobs that other jobs' capacity
// can't help, do not count towards the limit.
func TestOffer(t *testing.T) {
	for _, c := range []struct {
		name  string
		fits  func(job.ID) bool
		waits func(job.ID) bool
		want  int
	}{
		{"nothing fits", func(job.ID) bool { return false }, func(job.ID) bool { return true }, 4},
		{"every second fits", func(id job.ID) bool { return id%2 == 0 }, func(job.ID) bool { return true }, 7},
		{"all fit", func(job.ID) bool { return true }, func(job.ID) bool { return true }, 10},
		{"six gain nothing from freed capacity", func(job.ID) bool { return false }, func(id job.ID) bool { return id > 6 }, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := queue.New[*waiter]("s")
			for id := range job.ID(10) {
				q.Add(&waiter{queue.Rank{Job: id + 1}})
			}
			offered := 0
			q.Offer(func(w *waiter) bool {
				offered++
				if c.fits(w.rank.Job) {
					q.Remove(w)
				}
				return c.waits(w.rank.Job)
			})
			qt.Assert(t, offered, qt.Equals, c.want)
		})
	}
}
