package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// usualPatience is how long callers in these tests usually wait.
const usualPatience = 3 * time.Second

// short is the estimate of most jobs in these tests; their objective is 420 ms.
const short = 200 * time.Millisecond

// newWithCallers returns a Table with one upstream of two cores that has already completed one job for each of the given
// number of callers.
func newWithCallers(t *testing.T, callers int) *harness {
	b := newHarness(t, 1)
	for i := 1; i <= callers; i++ {
		b.submit(job.ID(1000+i), dispatch.CallerID(1000+i), 1, short, usualPatience)
		o := b.orders[len(b.orders)-1]
		b.room(1, fleet.Ready, 1000, o.Seq)
		b.end(o, 0, job.Done, "")
		b.room(1, fleet.Ready, 2000, o.Seq)
	}
	b.orders = nil
	return b
}

// TestSentBefore: while an upstream has other work, a job whose caller waits for much less time than others leaves half of
// the upstream's capacity free and waits behind jobs that are submitted later. A job that may be new, or that can still be
// in time, is treated like any other.
func TestSentBefore(t *testing.T) {
	for _, test := range []struct {
		name     string
		callers  int
		estimate time.Duration
		patience time.Duration
		waits    bool
	}{
		{"as long as usual", 8, short, usualPatience, false},
		{"a little less", 8, short, 2400 * time.Millisecond, false},
		{"sent before", 8, short, 700 * time.Millisecond, true},
		{"too few jobs seen", 6, short, 700 * time.Millisecond, false},
		{"its objective is longer than callers' pause", 8, time.Second, 700 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newWithCallers(t, test.callers)
			b.submit(1, 1, 1, short, usualPatience)
			seq := b.orders[0].Seq
			b.room(1, fleet.Ready, 1000, seq)
			b.submit(2, 2, 1, test.estimate, test.patience)
			b.submit(3, 3, 1, short, usualPatience)
			qt.Assert(t, b.orders, qt.HasLen, 2)
			want := job.ID(2)
			if test.waits {
				want = 3
			}
			qt.Assert(t, b.orders[1].Job, qt.Equals, want)
		})
	}
}

// TestLongJobsAreNotSentBefore: in a queue of long jobs the callers' waiting times differ as much as the jobs do, so a
// caller that waits for less time than others has a shorter job and has not resubmitted one.
func TestLongJobsAreNotSentBefore(t *testing.T) {
	b := newHarness(t, 1)
	for i := range 8 {
		b.submit(job.ID(1000+i), dispatch.CallerID(1000+i), 1, time.Second, 5*time.Second)
		o := b.orders[len(b.orders)-1]
		b.end(o, 0, job.Done, "")
		b.room(1, fleet.Ready, 2000, o.Seq)
	}
	b.room(1, fleet.Ready, 1000, 100)
	b.submit(1, 1, 1, short, usualPatience)
	qt.Assert(t, b.orders, qt.HasLen, 9)
}

// TestSentBeforeIsServed: a resubmitted job is placed at once at an upstream without other work, and takes any free
// capacity at the end of its wait. If there is none within a second, it is refused with the correct verdict that it has not
// run.
func TestSentBeforeIsServed(t *testing.T) {
	const patience = 1400 * time.Millisecond
	for _, test := range []struct {
		name string
		free int64
		// after is when the job is placed or, without capacity, refused; zero means at once.
		after time.Duration
	}{
		{"no other work there", 2000, 0},
		{"half of the capacity", 1000, time.Second - 20*time.Millisecond},
		{"no capacity", 0, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newWithCallers(t, 8)
			b.room(1, fleet.Ready, test.free, 100)
			began := b.now
			b.submit(1, 1, 1, short, patience)
			for len(b.orders) == 0 && len(b.answers) == 8 && b.now.Sub(began) < patience {
				b.pass(20 * time.Millisecond)
				b.table.HandleRoom(b.now, ident.Incarnation(1), fleet.Room{Free: job.Resources{CPU: test.free}, State: fleet.Ready, Seq: 100})
			}
			took := b.now.Sub(began)
			qt.Assert(t, took >= test.after && took <= test.after+40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
			if test.free == 0 {
				qt.Assert(t, b.answers[1].Verdict, qt.Equals, verdict.NotRun)
				return
			}
			qt.Assert(t, b.orders, qt.HasLen, 1)
		})
	}
}
