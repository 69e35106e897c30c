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

// TestLostAgentIsWaitedFor guards against a task that runs twice at once. The tasks of a lost agent are placed elsewhere
// only after the time in which their old runs must have ended, or sooner if the agent or its successor at the same upstream
// reports that nothing of them remains.
func TestLostAgentIsWaitedFor(t *testing.T) {
	for _, test := range []struct {
		name  string
		then  func(b *harness, lost ident.Incarnation)
		again time.Duration
	}{
		{"silent", func(*harness, ident.Incarnation) {}, timing.SettleAfter()},
		{"linked again, and no run remains", func(b *harness, lost ident.Incarnation) { b.link(lost); b.table.HandleSettled(b.now, lost) }, 0},
		{"linked again, with remaining runs", func(b *harness, lost ident.Incarnation) { b.link(lost) }, time.Hour},
		{"replaced at the same upstream", func(b *harness, lost ident.Incarnation) {
			b.table.HandleLinked(b.now, 9, "vm", "z")
			b.table.HandleUpstream(b.now, 9, fleet.Upstream{ID: ident.UpstreamID(lost.String()), Service: "publish", Total: job.Resources{CPU: 2000}})
			b.room(9, fleet.Clearing, 2000, 0)
			qt.Assert(b.t, b.emptyOrders, qt.HasLen, 0)
			b.room(9, fleet.Ready, 2000, 0)
			qt.Assert(b.t, b.orders, qt.HasLen, 1)
			qt.Assert(b.t, b.emptyOrders, qt.HasLen, 1)
			b.room(9, fleet.Ready, 2000, b.emptyOrders[0].Seq)
		}, 0},
		{"a connection of an earlier agent is delayed", func(b *harness, lost ident.Incarnation) {
			b.table.HandleLinked(b.now, 9, "vm", "z")
			b.table.HandleUpstream(b.now, 9, fleet.Upstream{ID: ident.UpstreamID(lost.String()), Service: "publish", Total: job.Resources{CPU: 2000}})
			b.room(9, fleet.Ready, 2000, 0)
			b.room(9, fleet.Ready, 1000, 0)
			b.table.HandleUnlinked(b.now, 9)
			qt.Assert(b.t, b.emptyOrders, qt.HasLen, 1)
		}, timing.SettleAfter()},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 2)
			b.submit(7, 1, 1, 5*time.Second, time.Minute)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			lost := b.orders[0].agent
			b.table.HandleUnlinked(b.now, lost)
			test.then(b, lost)
			if test.again > 0 {
				b.pass(min(test.again, 5*time.Second) - 40*time.Millisecond)
				qt.Assert(t, b.orders, qt.HasLen, 1)
				if test.again > 5*time.Second {
					return
				}
				b.pass(80 * time.Millisecond)
			}
			qt.Assert(t, b.orders, qt.HasLen, 2)
			qt.Assert(t, b.orders[1].Tasks[0].Run, qt.Equals, job.Run(2))
		})
	}
}

// TestLinkThatIsResetCostsNoRun guards against runs that are lost or duplicated when a link is reset. Runs that the agent
// still has continue. A run that the agent does not list is placed again once the agent reports that nothing else remains.
// A run that was given up in the meantime is stopped.
func TestLinkThatIsResetCostsNoRun(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(7, 1, 2, time.Second, time.Minute)
	b.room(1, fleet.Ready, 2000, 1)
	o := b.orders[0]
	qt.Assert(t, o.Tasks, qt.HasLen, 2)
	b.table.HandleUnlinked(b.now, 1)
	b.link(1)
	b.table.HandleResumed(1, []fleet.OrderedRun{o.run(0)})
	b.room(1, fleet.Ready, 1000, 0)
	b.table.HandleSettled(b.now, 1)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	qt.Assert(t, b.orders[1].Task(0), qt.Equals, o.Task(1))
	b.end(o, 0, job.Done, "")
	b.table.HandleUnlinked(b.now, 1)
	b.table.Abandon(b.now, 7, 1)
	qt.Assert(t, b.stops, qt.HasLen, 0) // no agent is linked that could receive a stop
	b.link(1)
	again := b.orders[1].run(0)
	qt.Assert(t, again.RunRef, qt.Equals, fleet.RunRef{Task: o.Task(1), Run: 2})
	unknown := fleet.OrderedRun{RunRef: fleet.RunRef{Task: job.TaskID{Job: 9}, Run: 4}, ID: 9}
	b.table.HandleResumed(1, []fleet.OrderedRun{again, unknown})
	qt.Assert(t, b.stops, qt.HasLen, 2)
	qt.Assert(t, b.stops[0], qt.Equals, stop{1, again, fleet.OnRequest})
	qt.Assert(t, b.stops[1], qt.Equals, stop{1, unknown, fleet.OnRequest})
}

// TestSessionIsReplaced: an agent remains usable, with or without runs, when a new session replaces one whose end was not
// reported.
func TestSessionIsReplaced(t *testing.T) {
	b := newHarness(t, 1)
	b.link(1)
	b.room(1, fleet.Ready, 2000, 0)
	b.submit(7, 1, 1, time.Second, time.Minute)
	qt.Assert(t, b.orders, qt.HasLen, 1)
}

// TestCloseAll: an entry that shuts down answers every caller. Jobs that have not begun are refused with a promise that
// they have not run. Jobs that have begun are reported as possibly run, and are stopped. Later submissions are refused.
func TestCloseAll(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(1, 1, 1, time.Second, time.Minute)
	b.submit(2, 2, 2, time.Second, time.Minute) // there is capacity for one of its two tasks
	b.submit(3, 3, 1, time.Second, time.Minute)
	b.table.Abandon(b.now, 1, 1)
	b.submit(1, 4, 1, time.Second, time.Minute) // waits for the end of the previous run
	qt.Assert(t, b.orders, qt.HasLen, 2)
	stops := len(b.stops)
	b.table.CloseAll(b.now)
	b.submit(5, 5, 1, time.Second, time.Minute)
	for _, want := range []struct {
		caller dispatch.CallerID
		state  verdict.State
		is     verdict.Verdict
	}{
		{2, verdict.Unresolved, verdict.MayHaveRun},
		{3, verdict.Refused, verdict.NotRun},
		{4, verdict.Unresolved, verdict.MayHaveRun},
		{5, verdict.Refused, verdict.NotRun},
	} {
		got := b.answers[want.caller]
		qt.Assert(t, got.State, qt.Equals, want.state, qt.Commentf("caller %d", want.caller))
		qt.Assert(t, got.Verdict, qt.Equals, want.is)
		qt.Assert(t, got.Reason, qt.Equals, verdict.Leaving)
		qt.Assert(t, got.RetryAfter > 0, qt.Equals, want.state == verdict.Refused)
	}
	qt.Assert(t, b.stops[stops:], qt.HasLen, 1)
	qt.Assert(t, b.table.Unanswered(), qt.Equals, 0)
}
