package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// hearing advances time while some agents report their free capacity.
func (b *harness) hearing(d time.Duration, from ...ident.Incarnation) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(20 * time.Millisecond)
		for _, id := range from {
			b.table.RecordContact(b.now)
			b.room(id, fleet.Ready, 2000, uint64(len(b.orders)))
		}
		b.table.Tick(b.now)
	}
}

// cutOff advances time without any messages; links are given up after 250 ms.
func (b *harness) cutOff(d time.Duration, agents ...ident.Incarnation) {
	end := b.now.Add(d)
	b.hearing(min(d, 250*time.Millisecond))
	for _, id := range agents {
		b.table.HandleUnlinked(b.now, id)
	}
	b.hearing(max(0, end.Sub(b.now)))
}

// pauseProcess advances time while the process is paused.
func (b *harness) pauseProcess(d time.Duration) {
	b.now = b.now.Add(d)
	b.table.Tick(b.now)
}

// relink links agents again that have no runs left.
func (b *harness) relink(agents ...ident.Incarnation) {
	for _, id := range agents {
		b.table.RecordContact(b.now)
		b.link(id)
		b.table.HandleSettled(b.now, id)
		b.room(id, fleet.Ready, 2000, 0)
	}
}

// TestUnreachableCallersAreGivenUp guards against tasks that two entries run at once. The caller of a job may have
// disconnected unnoticed because the entry was paused or cut off. Such a job is not placed again. A job of which only the
// agent was lost is.
func TestUnreachableCallersAreGivenUp(t *testing.T) {
	all := []ident.Incarnation{1, 2}
	for _, test := range []struct {
		name    string
		happens func(b *harness)
		// placed is how often the job is placed in total.
		placed int
	}{
		{"all agents are silent", func(b *harness) { b.cutOff(2*time.Second, all...); b.relink(all...) }, 1},
		{"all agents are silent for less time than they keep runs", func(b *harness) {
			b.cutOff(300*time.Millisecond, all...)
			b.relink(all...)
		}, 2},
		{"the process is paused, and its caller leaves meanwhile", func(b *harness) {
			b.now = b.now.Add(2 * time.Second)
			b.table.Tick(b.now)
			b.relink(all...)
			b.table.Abandon(b.now.Add(50*time.Millisecond), 7, 1)
		}, 1},
		{"the process is paused, and its caller waits", func(b *harness) {
			b.now = b.now.Add(2 * time.Second)
			b.table.Tick(b.now)
			b.relink(all...)
		}, 2},
		{"its agent is silent, others are heard", func(b *harness) {
			lost := b.orders[0].agent
			other := all[0] + all[1] - lost
			b.hearing(250*time.Millisecond, other)
			b.table.HandleUnlinked(b.now, lost)
			b.hearing(2*time.Second, other)
		}, 2},
		{"all agents disconnect", func(b *harness) {
			for _, id := range all {
				b.table.HandleUnlinked(b.now, id)
			}
			b.hearing(time.Second)
			b.relink(all...)
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, len(all))
			b.hearing(100*time.Millisecond, all...)
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			test.happens(b)
			b.hearing(200*time.Millisecond, all...)
			qt.Assert(t, b.orders, qt.HasLen, test.placed)
			if b.answers[1].Reason != "" {
				qt.Assert(t, b.answers[1], qt.Equals, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.OutOfTouch})
			}
		})
	}
}

// TestBelatedRequests guards against tasks that two entries run at once. A request that was delayed while its entry was out
// of touch begins only if the end of its connection does not follow directly.
func TestBelatedRequests(t *testing.T) {
	all := []ident.Incarnation{1, 2}
	for _, test := range []struct {
		name string
		// away is how long no messages arrived. after is the time from then until the request arrives.
		away, after time.Duration
		// gone is set if the caller has disconnected, which is noticed directly after the request.
		gone bool
		// atOnce is set if the request is placed on arrival, placed if it is placed eventually.
		atOnce, placed bool
	}{
		{"its caller has gone", time.Second, 100 * time.Millisecond, true, false, false},
		{"its caller waits", time.Second, 100 * time.Millisecond, false, false, true},
		{"it was retransmitted late", time.Second, 900 * time.Millisecond, true, false, false},
		{"it was sent again after 200, 600 and 1,400 ms", 620 * time.Millisecond, 780 * time.Millisecond, true, false, false},
		{"retransmission would have ended", time.Second, 1300 * time.Millisecond, false, true, true},
		{"the entry was not cut off", 100 * time.Millisecond, 0, false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, len(all))
			b.hearing(100*time.Millisecond, all...)
			b.cutOff(test.away, all...)
			b.relink(all...)
			b.hearing(test.after, all...)
			b.table.RecordContact(b.now)
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			qt.Assert(t, len(b.orders) > 0, qt.Equals, test.atOnce)
			if test.gone {
				b.now = b.now.Add(2 * time.Millisecond)
				b.table.Abandon(b.now, 7, 1)
			}
			b.hearing(100*time.Millisecond, all...)
			qt.Assert(t, len(b.orders) > 0, qt.Equals, test.placed)
		})
	}
}

// TestCallersCutOffAlone guards against tasks that two entries run at once. A delayed request begins only if the end of its
// connection does not follow, also if only callers were cut off while agents were heard.
func TestCallersCutOffAlone(t *testing.T) {
	for _, test := range []struct {
		name string
		// away is how long no message from a caller arrived. after is the time from the first one afterwards until the
		// request arrives.
		away, after time.Duration
		// gone is set if the caller has disconnected, which is noticed directly after the request.
		gone bool
		// atOnce is set if the request is placed on arrival, placed if it is placed eventually.
		atOnce, placed bool
	}{
		{"its caller has gone", time.Second, 0, true, false, false},
		{"its caller waits", time.Second, 0, false, false, true},
		{"it was retransmitted late", time.Second, 900 * time.Millisecond, true, false, false},
		{"retransmission would have ended", time.Second, 1300 * time.Millisecond, false, true, true},
		{"callers were heard", 400 * time.Millisecond, 0, false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 2)
			b.hearing(100*time.Millisecond, 1, 2)
			b.table.RecordCallerContact(b.now)
			b.hearing(test.away, 1, 2)
			for first := b.now; b.now.Before(first.Add(test.after)); {
				b.table.RecordCallerContact(b.now)
				b.hearing(100*time.Millisecond, 1, 2)
			}
			b.table.RecordCallerContact(b.now)
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			qt.Assert(t, len(b.orders) > 0, qt.Equals, test.atOnce)
			if test.gone {
				b.now = b.now.Add(2 * time.Millisecond)
				b.table.Abandon(b.now, 7, 1)
			}
			b.hearing(100*time.Millisecond, 1, 2)
			qt.Assert(t, len(b.orders) > 0, qt.Equals, test.placed)
		})
	}
}

// TestShortStandstills guards against tasks that two entries run at once. While the process listens for the ends of
// connections it is paused again, for less time than agents keep its runs. That second pause must not count as time spent
// listening.
func TestShortStandstills(t *testing.T) {
	all := []ident.Incarnation{1, 2}
	for _, test := range []struct {
		name string
		// happens ends at the tick after a short pause. The end of the caller's connection is read after that.
		happens func(b *harness)
		placed  int
	}{
		{"after a long pause", func(b *harness) {
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.pauseProcess(2 * time.Second)
			b.relink(all...)
			b.pauseProcess(350 * time.Millisecond)
		}, 1},
		{"while a request is held back", func(b *harness) {
			b.cutOff(time.Second, all...)
			b.relink(all...)
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.pauseProcess(350 * time.Millisecond)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, len(all))
			b.hearing(100*time.Millisecond, all...)
			test.happens(b)
			b.table.Abandon(b.now, 7, 1)
			b.hearing(200*time.Millisecond, all...)
			qt.Assert(t, b.orders, qt.HasLen, test.placed)
		})
	}
}

// TestRequestsAfterSilence guards against tasks that two entries run at once. A request is held back also after intervals
// of silence in which no caller was given up.
func TestRequestsAfterSilence(t *testing.T) {
	all := []ident.Incarnation{1, 2}
	for _, test := range []struct {
		name    string
		happens func(b *harness)
	}{
		{"short and close together", func(b *harness) {
			for range 4 {
				b.cutOff(380*time.Millisecond, all...)
				b.relink(all...)
				b.hearing(20*time.Millisecond, all...)
			}
		}},
		{"before any agent was heard", func(b *harness) {
			b.table = dispatch.New(dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 10, MaxTasks: 20}, b, b, b, 1)
			b.hearing(20 * time.Millisecond)
			b.table.RecordContact(b.now)
			b.hearing(2 * time.Second)
			b.relink(all...)
		}},
		{"after all agents have disconnected", func(b *harness) {
			for _, id := range all {
				b.table.HandleUnlinked(b.now, id)
			}
			b.hearing(2 * time.Second)
			b.relink(all...)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, len(all))
			b.hearing(100*time.Millisecond, all...)
			test.happens(b)
			b.table.RecordContact(b.now)
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.table.Abandon(b.now, 7, 1)
			b.hearing(100*time.Millisecond, all...)
			qt.Assert(t, b.orders, qt.HasLen, 0)
		})
	}
}

// TestCancelledBelatedRequests guards against jobs that run after they were cancelled. A job whose request is held back
// counts as held and can be cancelled.
func TestCancelledBelatedRequests(t *testing.T) {
	b := newHarness(t, 1)
	b.hearing(100*time.Millisecond, 1)
	b.cutOff(time.Second, 1)
	b.relink(1)
	b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
	qt.Assert(t, b.table.Held(7), qt.IsTrue)
	qt.Assert(t, b.table.Cancel(b.now, 7), qt.Equals, dispatch.CancelledPart)
	b.hearing(100*time.Millisecond, 1)
	qt.Assert(t, b.orders, qt.HasLen, 0)
	qt.Assert(t, b.answers[1], qt.Equals, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.NotRun, Reason: verdict.ByCaller})
	qt.Assert(t, b.table.Cancel(b.now, 7), qt.Equals, dispatch.CancelledNothing)
}

// TestBelatedRequestsOfALeavingEntry: a request that is held back is answered when its entry shuts down.
func TestBelatedRequestsOfALeavingEntry(t *testing.T) {
	b := newHarness(t, 1)
	b.hearing(100*time.Millisecond, 1)
	b.cutOff(time.Second, 1)
	b.relink(1)
	b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
	qt.Assert(t, b.table.Unanswered(), qt.Equals, 1)
	b.table.CloseAll(b.now)
	qt.Assert(t, b.answers[1].Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, b.table.Unanswered(), qt.Equals, 0)
	b.submit(8, 2, 1, 200*time.Millisecond, 5*time.Second)
	qt.Assert(t, b.answers[2].Verdict, qt.Equals, verdict.NotRun, qt.Commentf("a later request is answered at once"))
	qt.Assert(t, b.orders, qt.HasLen, 0)
}

// TestWaitEndedInPause guards against tasks that two entries run at once. A job that has found no room waits while its entry's process is
// paused for longer than the job may wait. Its caller may have submitted it elsewhere since, and the end of the connection may be lost: the
// job is refused, and not placed once the process has listened.
func TestWaitEndedInPause(t *testing.T) {
	b := newHarness(t, 1)
	b.hearing(100*time.Millisecond, 1)
	b.room(1, fleet.Ready, 0, 0)
	b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
	b.pauseProcess(2 * time.Second)
	b.hearing(400*time.Millisecond, 1)
	qt.Assert(t, b.orders, qt.HasLen, 0)
	qt.Assert(t, b.answers[1].Verdict, qt.Equals, verdict.NotRun)
}
