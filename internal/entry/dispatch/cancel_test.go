package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// ordersOf returns the orders for tasks of a job.
func (b *harness) ordersOf(id job.ID) (out []order) {
	for _, o := range b.orders {
		if o.Job == id {
			out = append(out, o)
		}
	}
	return out
}

// TestCancel guards against a cancellation whose result claims more than this entry knows: only the end of a job that no other entry can
// hold is the end of the job.
func TestCancel(t *testing.T) {
	for _, test := range []struct {
		name string
		// happens brings job 7 into its state. Agent 1 has room for one task.
		happens func(b *harness)
		want    dispatch.CancelResult
		// stops is the number of runs that the cancellation stops.
		stops int
	}{
		{"not here", func(*harness) {}, dispatch.CancelledNothing, 0},
		{"runs", func(b *harness) { b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second) }, dispatch.CancelledJob, 1},
		{"waits for room", func(b *harness) {
			b.submit(8, 1, 2, 200*time.Millisecond, 5*time.Second)
			b.submit(7, 2, 2, 200*time.Millisecond, 5*time.Second)
		}, dispatch.CancelledJob, 0},
		{"has ended", func(b *harness) {
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.end(b.orders[0], 0, job.Done, "")
		}, dispatch.CancelledNothing, 0},
		{"was cancelled, its run is being stopped", func(b *harness) {
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.table.Cancel(b.now, 7)
			b.stops = nil
		}, dispatch.CancelledNothing, 0},
		{"is held back, since another entry has announced it", func(b *harness) {
			b.table.HandleHeld(b.now, otherEntry, []job.ID{7})
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.hearing(60*time.Millisecond, 1)
		}, dispatch.CancelledPart, 0},
		{"runs, and another entry has announced it since", func(b *harness) {
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.table.HandleHeld(b.now, otherEntry, []job.ID{7})
		}, dispatch.CancelledPart, 1},
		{"runs, after another entry has released it", func(b *harness) {
			b.table.HandleHeld(b.now, otherEntry, []job.ID{7})
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.hearing(60*time.Millisecond, 1)
			b.table.HandleReleased(b.now, 1, fleet.Released{Takeover: fleet.Takeover{Job: 7, Holder: otherEntry}, ByHolder: true})
		}, dispatch.CancelledJob, 1},
		{"was cancelled, and was sent again while its run is being stopped", func(b *harness) {
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.table.Cancel(b.now, 7)
			b.submit(7, 2, 1, 200*time.Millisecond, 5*time.Second)
			b.stops = nil
		}, dispatch.CancelledPart, 0},
		{"was given up, and was sent again while its run is being stopped", func(b *harness) {
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.table.Abandon(b.now, 7, 1)
			b.submit(7, 2, 1, 200*time.Millisecond, 5*time.Second)
			b.stops = nil
		}, dispatch.CancelledPart, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.hearing(100*time.Millisecond, 1)
			test.happens(b)
			orders := b.ordersOf(7)
			clear(b.answers)
			qt.Check(t, b.table.Cancel(b.now, 7), qt.Equals, test.want)
			qt.Check(t, b.stops, qt.HasLen, test.stops)
			for caller, a := range b.answers {
				qt.Check(t, a.State == verdict.Cancelled, qt.Equals, test.want == dispatch.CancelledJob, qt.Commentf("caller %d: %v", caller, a))
				qt.Check(t, a.Reason, qt.Equals, verdict.ByCaller)
			}
			qt.Check(t, len(b.answers) > 0, qt.Equals, test.want != dispatch.CancelledNothing)
			for _, o := range orders {
				b.end(o, 0, job.Stopped, fleet.OnRequest) // the runs that are being stopped end
			}
			b.hearing(200*time.Millisecond, 1)
			qt.Check(t, b.ordersOf(7), qt.HasLen, len(orders))
			qt.Check(t, b.table.Held(7), qt.IsFalse)
		})
	}
}
