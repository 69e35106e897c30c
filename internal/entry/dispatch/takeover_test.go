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

// otherEntry and thirdEntry are other entries, known to the Table only from messages that agents forward.
const otherEntry, thirdEntry ident.Incarnation = 91, 92

// takeovers records a Table's messages about jobs that other entries hold or take over.
type takeovers struct {
	held     [][]job.ID
	asked    []ident.Incarnation
	released []fleet.Released
	steps    []dispatch.TakeoverEvent
}

func (x *takeovers) AnnounceHeld(_ ident.Incarnation, jobs []job.ID) { x.held = append(x.held, jobs) }
func (x *takeovers) RequestRelease(agent ident.Incarnation, _ job.ID, _ ident.Incarnation) {
	x.asked = append(x.asked, agent)
}
func (x *takeovers) SendReleased(_ ident.Incarnation, r fleet.Released) {
	x.released = append(x.released, r)
}
func (x *takeovers) TakeoverChanged(_ job.ID, _ ident.Incarnation, _ time.Duration, e dispatch.TakeoverEvent) {
	x.steps = append(x.steps, e)
}

// TestHeldElsewhere guards against tasks that two entries run at once. A job that another entry has announced begins only
// once that entry has released it, or once nothing of it can remain.
func TestHeldElsewhere(t *testing.T) {
	byHolder := fleet.Released{Takeover: fleet.Takeover{Job: 7, Holder: otherEntry}, ByHolder: true}
	byAgent := fleet.Released{Takeover: fleet.Takeover{Job: 7, Holder: otherEntry}}
	for _, test := range []struct {
		name    string
		happens func(b *harness)
		placed  bool
		last    dispatch.TakeoverEvent
	}{
		{"no reply yet", func(b *harness) { b.hearing(900*time.Millisecond, 1, 2) }, false, dispatch.TakeoverAsked},
		{"no reply for so long that nothing can remain", func(b *harness) { b.hearing(1200*time.Millisecond, 1, 2) }, true, dispatch.TakeoverLapsed},
		{"its holder has released it", func(b *harness) { b.table.HandleReleased(b.now, 1, byHolder) }, true, dispatch.TakeoverConfirmed},
		{"one of two holders has released it", func(b *harness) {
			b.table.HandleHeld(b.now, thirdEntry, []job.ID{7})
			b.table.HandleReleased(b.now, 1, byHolder)
		}, false, dispatch.TakeoverAsked},
		{"both holders have released it", func(b *harness) {
			b.table.HandleHeld(b.now, thirdEntry, []job.ID{7})
			b.table.HandleReleased(b.now, 1, byHolder)
			b.table.HandleReleased(b.now, 1, fleet.Released{Takeover: fleet.Takeover{Job: 7, Holder: thirdEntry}, ByHolder: true})
		}, true, dispatch.TakeoverConfirmed},
		{"one agent reports that its holder is not linked", func(b *harness) { b.table.HandleReleased(b.now, 1, byAgent) }, false, dispatch.TakeoverAsked},
		{"all agents report that its holder is not linked", func(b *harness) {
			b.table.HandleReleased(b.now, 1, byAgent)
			b.table.HandleReleased(b.now, 2, byAgent)
		}, true, dispatch.TakeoverSettled},
		{"an agent links meanwhile", func(b *harness) {
			b.table.HandleReleased(b.now, 1, byAgent)
			b.link(3)
			b.room(3, fleet.Ready, 2000, 0)
			b.table.HandleReleased(b.now, 2, byAgent)
		}, false, dispatch.TakeoverAsked},
		{"an earlier holder has released it", func(b *harness) {
			b.table.HandleReleased(b.now, 1, fleet.Released{Takeover: fleet.Takeover{Job: 7, Holder: thirdEntry}, ByHolder: true})
		}, false, dispatch.TakeoverAsked},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 2)
			b.hearing(100*time.Millisecond, 1, 2)
			b.table.HandleHeld(b.now, otherEntry, []job.ID{7})
			b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
			b.hearing(60*time.Millisecond, 1, 2)
			qt.Assert(t, b.asked, qt.DeepEquals, []ident.Incarnation{1, 2})
			qt.Assert(t, b.orders, qt.HasLen, 0)
			test.happens(b)
			qt.Assert(t, len(b.orders) > 0, qt.Equals, test.placed)
			qt.Assert(t, b.steps[len(b.steps)-1], qt.Equals, test.last)
		})
	}
}

// TestCallerOfHeldJobGoes: a request for a job that another entry holds is dropped when its caller disconnects, and the
// other entry keeps the job.
func TestCallerOfHeldJobGoes(t *testing.T) {
	b := newHarness(t, 2)
	b.hearing(100*time.Millisecond, 1, 2)
	b.table.HandleHeld(b.now, otherEntry, []job.ID{7})
	b.submit(7, 1, 1, 200*time.Millisecond, 5*time.Second)
	b.table.Abandon(b.now.Add(3*time.Millisecond), 7, 1)
	b.hearing(2*time.Second, 1, 2)
	qt.Assert(t, b.asked, qt.HasLen, 0)
	qt.Assert(t, b.orders, qt.HasLen, 0)
}

// TestHeldElsewhereTooLong: a caller whose deadline passes before the other entry has released the job is told that the job
// may have run.
func TestHeldElsewhereTooLong(t *testing.T) {
	b := newHarness(t, 2)
	b.hearing(100*time.Millisecond, 1, 2)
	b.table.HandleHeld(b.now, otherEntry, []job.ID{7})
	b.submit(7, 1, 1, 200*time.Millisecond, 500*time.Millisecond)
	b.hearing(600*time.Millisecond, 1, 2)
	qt.Assert(t, b.answers[1], qt.Equals, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Deadline})
	qt.Assert(t, b.orders, qt.HasLen, 0)
}

// TestGiveUp: a job that another entry takes over is stopped, its caller is answered, and the other entry is told once
// nothing of the job remains.
func TestGiveUp(t *testing.T) {
	b := newHarness(t, 2)
	b.hearing(100*time.Millisecond, 1, 2)
	b.submit(7, 1, 1, 2*time.Second, 5*time.Second)
	to := fleet.Takeover{Job: 7, Holder: 1, NewHolder: otherEntry}
	b.table.HandleTakeover(b.now, 2, to)
	qt.Assert(t, b.answers[1], qt.Equals, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Superseded})
	qt.Assert(t, b.stops, qt.HasLen, 1)
	qt.Assert(t, b.released, qt.HasLen, 0)
	b.end(b.orders[0], 0, job.Stopped, fleet.OnRequest)
	qt.Assert(t, b.released, qt.DeepEquals, []fleet.Released{{Takeover: to, ByHolder: true}})
	b.table.HandleTakeover(b.now, 1, to)
	qt.Assert(t, b.released, qt.HasLen, 2, qt.Commentf("a job that is not held is released at once"))

	b.submit(7, 2, 1, 2*time.Second, 5*time.Second)
	b.hearing(60*time.Millisecond, 1, 2)
	qt.Assert(t, b.orders, qt.HasLen, 1, qt.Commentf("a late request does not begin while the other entry has runs"))
	qt.Assert(t, b.asked, qt.DeepEquals, []ident.Incarnation{1, 2})
}

// TestLongHeldJobsAreAnnounced: a job is announced to other entries shortly before its caller might turn to them, and
// periodically for as long as it is held. A job that was taken over is announced at once. A job that is held for a shorter
// time is not announced.
func TestLongHeldJobsAreAnnounced(t *testing.T) {
	b := newHarness(t, 1)
	b.hearing(100*time.Millisecond, 1)
	b.submit(7, 1, 1, 10*time.Second, 20*time.Second)
	b.hearing(760*time.Millisecond, 1)
	qt.Assert(t, b.held, qt.HasLen, 0)
	b.hearing(60*time.Millisecond, 1)
	qt.Assert(t, b.held, qt.DeepEquals, [][]job.ID{{7}})
	b.hearing(2*time.Second, 1)
	qt.Assert(t, b.held, qt.HasLen, 2)
	b.end(b.orders[0], 0, job.Done, "")
	b.hearing(3*time.Second, 1)
	qt.Assert(t, b.held, qt.HasLen, 2)

	b.table.HandleHeld(b.now, otherEntry, []job.ID{8})
	b.submit(8, 2, 1, 10*time.Second, 20*time.Second)
	b.hearing(40*time.Millisecond, 1)
	b.table.HandleReleased(b.now, 1, fleet.Released{Takeover: fleet.Takeover{Job: 8, Holder: otherEntry}, ByHolder: true})
	b.hearing(20*time.Millisecond, 1)
	qt.Assert(t, b.held[2:], qt.DeepEquals, [][]job.ID{{8}})
}
