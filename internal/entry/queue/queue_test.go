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

// TestOffer: capacity is offered to each job in order, however many do not take it, until it may not be passed on. A job
// that leaves the queue meanwhile does not keep the next one from its turn.
func TestOffer(t *testing.T) {
	for _, c := range []struct {
		name string
		fits func(job.ID) bool
		last job.ID
		want int
	}{
		{"nothing fits", func(job.ID) bool { return false }, 0, 10},
		{"every second fits", func(id job.ID) bool { return id%2 == 0 }, 0, 10},
		{"all fit", func(job.ID) bool { return true }, 0, 10},
		{"the first may not be passed", func(job.ID) bool { return false }, 1, 1},
		{"the seventh may not be passed", func(id job.ID) bool { return id < 6 }, 7, 7},
		{"nothing is left after the third", func(id job.ID) bool { return true }, 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := queue.New[*waiter]("s")
			for id := range job.ID(10) {
				q.Add(&waiter{queue.Rank{Job: id + 1}})
			}
			var offered []job.ID
			q.Offer(func(w *waiter) bool {
				offered = append(offered, w.rank.Job)
				if c.fits(w.rank.Job) {
					q.Remove(w)
				}
				return w.rank.Job != c.last
			})
			for i, id := range offered {
				qt.Assert(t, id, qt.Equals, job.ID(i+1))
			}
			qt.Assert(t, offered, qt.HasLen, c.want)
		})
	}
}

// TestHolds: a job holds capacity from the time by which it should be placed until its wait ends, if it can be in time.
func TestHolds(t *testing.T) {
	for _, c := range []struct {
		name string
		late bool
		at   time.Duration
		want bool
	}{
		{"before", false, 29 * time.Millisecond, false},
		{"when it should be placed", false, 30 * time.Millisecond, true},
		{"at the end of its wait", false, 99 * time.Millisecond, true},
		{"after its wait", false, 100 * time.Millisecond, false},
		{"late", true, 50 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := queue.Rank{PlaceBy: start.Add(30 * time.Millisecond), WaitUntil: start.Add(100 * time.Millisecond), Late: c.late}
			qt.Assert(t, r.Holds(start.Add(c.at)), qt.Equals, c.want)
		})
	}
}

// TestHasInTime: a job that can be in time is found behind late ones that have begun, and late ones alone do not count.
func TestHasInTime(t *testing.T) {
	q := queue.New[*waiter]("s")
	q.Add(&waiter{queue.Rank{Job: 1, Late: true}})
	q.Add(&waiter{queue.Rank{Job: 2, Late: true, Begun: true}})
	qt.Assert(t, q.HasInTime(), qt.IsFalse)
	q.Add(&waiter{queue.Rank{Job: 3}})
	qt.Assert(t, q.HasInTime(), qt.IsTrue)
}

// TestSizes: the smallest waiting task is known after each change.
func TestSizes(t *testing.T) {
	var s queue.Sizes
	for _, c := range []struct {
		add, remove, want int64
	}{
		{add: 500, want: 500}, {add: 200, want: 200}, {add: 200, want: 200}, {add: 900, want: 200}, {remove: 200, want: 200},
		{remove: 200, want: 500}, {remove: 500, want: 900}, {remove: 900, want: 0},
	} {
		if c.add > 0 {
			s.Add(c.add)
		}
		if c.remove > 0 {
			s.Remove(c.remove)
		}
		got, any := s.Smallest()
		qt.Assert(t, got, qt.Equals, c.want)
		qt.Assert(t, any, qt.Equals, c.want > 0)
	}
}
