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

// lackRoom submits a job of another route that can be in time and finds too little capacity at any upstream.
func (b *harness) lackRoom(id job.ID) {
	other := queue
	other.Name = "other"
	b.table.Submit(b.now, dispatch.Request{
		Job: id, Route: other, Caller: dispatch.CallerID(id), Deadline: b.now.Add(usualPatience),
		Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 2001}, Estimate: short}}},
	})
}

// TestSentBefore: while an upstream has other work and others have lacked capacity lately, a job whose caller waits for much
// less time than others leaves half of the upstream's capacity free and waits behind jobs that are submitted later. A job
// that may be new, or that can still be in time, is treated like any other.
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
			b.lackRoom(900)
			b.pass(140 * time.Millisecond)
			qt.Assert(t, b.answers[900].Reason, qt.Equals, verdict.Overloaded)
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

// TestSentBeforeIsServed: a resubmitted job is placed at once at an upstream without other work, and at any upstream if no
// other job has lacked capacity lately. Otherwise it takes any free capacity at the end of its wait. If there is none within
// a second, it is refused with the correct verdict that it has not run.
func TestSentBeforeIsServed(t *testing.T) {
	const patience = 1400 * time.Millisecond
	for _, test := range []struct {
		name string
		free int64
		// short is how long before the job another was submitted that lacked capacity for 105 ms; zero means never.
		short time.Duration
		// after is when the job is placed or, without capacity, refused; zero means at once.
		after time.Duration
	}{
		{"no other work there", 2000, tick, 0},
		{"half of the capacity", 1000, tick, time.Second - tick},
		{"half of the capacity, others lacked it half a second ago", 1000, time.Second / 2, 600 * time.Millisecond},
		{"half of the capacity, others lacked it long ago", 1000, 2 * time.Second, 0},
		{"half of the capacity, others never lacked it", 1000, 0, 0},
		{"no capacity", 0, tick, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newWithCallers(t, 8)
			if test.short > 0 {
				b.lackRoom(900)
				b.pass(test.short)
			}
			b.room(1, fleet.Ready, test.free, 100)
			began := b.now
			b.submit(1, 1, 1, short, patience)
			for len(b.orders) == 0 && b.answers[1].State == "" && b.now.Sub(began) < patience {
				b.pass(tick)
				if len(b.orders) == 0 {
					b.table.HandleRoom(b.now, ident.Incarnation(1), fleet.Room{Free: job.Resources{CPU: test.free}, State: fleet.Ready, Seq: 100})
				}
			}
			took := b.now.Sub(began)
			qt.Assert(t, took >= test.after && took <= test.after+2*tick, qt.IsTrue, qt.Commentf("%v", took))
			if test.free == 0 {
				qt.Assert(t, b.answers[1].Verdict, qt.Equals, verdict.NotRun)
				return
			}
			qt.Assert(t, b.orders, qt.HasLen, 1)
		})
	}
}

// TestNotRefusedBesideRoom: a job that leaves capacity to others is placed rather than refused, wherever the end of its
// wait falls between two ticks.
func TestNotRefusedBesideRoom(t *testing.T) {
	const lateTick = 30 * time.Millisecond
	for before := time.Duration(0); before < lateTick; before += lateTick / 6 {
		t.Run(before.String(), func(t *testing.T) {
			b := newWithCallers(t, 8)
			b.lackRoom(900)
			b.room(1, fleet.Ready, 1000, 100)
			b.submit(1, 1, 1, short, 1400*time.Millisecond)
			qt.Assert(t, b.orders, qt.HasLen, 0)
			b.now = b.now.Add(before)
			for i := range int(time.Second/lateTick) + 2 {
				b.table.Tick(b.now)
				if len(b.orders) == 0 {
					b.lackRoom(901 + job.ID(i))
				}
				b.now = b.now.Add(lateTick)
			}
			qt.Assert(t, b.answers[1].State, qt.Equals, verdict.State(""))
			qt.Assert(t, b.orders, qt.HasLen, 1)
		})
	}
}

// tick is the interval between two ticks.
const tick = 20 * time.Millisecond
