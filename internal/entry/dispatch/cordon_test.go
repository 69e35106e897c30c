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

// newZoned returns a harness with agents that alternate between zones a and b, starting with a.
func newZoned(t *testing.T, agents int) *harness {
	b := newHarness(t, 0)
	b.pass(time.Second) // an entry that has just started waits for more agents
	for i := 1; i <= agents; i++ {
		id := ident.Incarnation(i)
		b.table.HandleLinked(b.now, id, "vm", []ident.Zone{"b", "a"}[i%2])
		b.table.HandleUpstream(b.now, id, fleet.Upstream{ID: ident.UpstreamID(id.String()), Service: "publish", Total: job.Resources{CPU: 2000}})
		b.room(id, fleet.Ready, 2000, 0)
	}
	return b
}

// TestNothingIsPlacedInCordonedZones: no task is placed in a zone while it is cordoned, and tasks are placed there again
// afterwards.
func TestNothingIsPlacedInCordonedZones(t *testing.T) {
	b := newZoned(t, 2)
	b.table.SetCordoned(b.now, []ident.Zone{"a", "a zone that nobody has"})
	b.submit(1, 1, 4, time.Second, time.Minute)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.orders[0].agent, qt.Equals, ident.Incarnation(2))
	qt.Assert(t, b.orders[0].Tasks, qt.HasLen, 2)
	b.table.SetCordoned(b.now, nil)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	qt.Assert(t, b.orders[1].agent, qt.Equals, ident.Incarnation(1))
}

// TestRefusedOrderGoesElsewhere: an order that an agent refuses because its zone is cordoned does not count against the
// job. The tasks are placed elsewhere at once, and the agent receives no other order before it reports that the cordon is
// lifted.
func TestRefusedOrderGoesElsewhere(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(1, 1, 2, time.Second, time.Minute)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	b.link(2)
	b.room(2, fleet.Ready, 2000, 0)
	for i := range 2 {
		b.end(b.orders[0], i, job.NotStarted, fleet.ZoneCordoned)
	}
	qt.Assert(t, b.orders, qt.HasLen, 3)
	for i, o := range b.orders[1:] {
		qt.Assert(t, o.agent, qt.Equals, ident.Incarnation(2))
		b.end(o, 0, job.Done, "")
		qt.Assert(t, o.Tasks[0].Failures, qt.Equals, uint32(0), qt.Commentf("task %d", i))
	}
	qt.Assert(t, b.answers[1].State, qt.Equals, verdict.Complete)
	b.room(2, fleet.Ready, 2000, 9)
	b.submit(2, 2, 2, time.Second, time.Minute)
	qt.Assert(t, b.orders[3].agent, qt.Equals, ident.Incarnation(2))
	zones := b.table.Zones()
	qt.Assert(t, zones, qt.HasLen, 1)
	qt.Assert(t, zones[0].CordonRefusals, qt.Equals, int64(2))
}

// TestAllUpstreamsCordoned guards against callers that wait for capacity that a cordon withholds. If all upstreams that
// could serve a job are cordoned, the job is refused at once, with a correct verdict and a time after which to try again.
func TestAllUpstreamsCordoned(t *testing.T) {
	both := []ident.Zone{"a", "b"}
	for _, test := range []struct {
		name string
		do   func(b *harness)
		want dispatch.Answer
	}{
		{"a new job", func(b *harness) {
			b.table.SetCordoned(b.now, both)
			b.submit(1, 1, 2, time.Second, time.Minute)
		}, dispatch.Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Cordoned, RetryAfter: 5 * time.Second}},
		{"a waiting job", func(b *harness) {
			b.room(1, fleet.Ready, 0, 0)
			b.room(2, fleet.Ready, 0, 0)
			b.submit(1, 1, 2, time.Second, time.Minute)
			b.table.SetCordoned(b.now, both)
		}, dispatch.Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Cordoned, RetryAfter: 5 * time.Second}},
		{"a job that has partly begun", func(b *harness) {
			b.submit(1, 1, 5, time.Second, time.Minute)
			b.table.SetCordoned(b.now, both)
		}, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Cordoned}},
		{"a running job", func(b *harness) {
			b.submit(1, 1, 2, time.Second, time.Minute)
			b.table.SetCordoned(b.now, both)
		}, dispatch.Answer{}},
		{"agents report the cordon themselves", func(b *harness) {
			b.room(1, fleet.Cordoned, 2000, 0)
			b.room(2, fleet.Cordoned, 2000, 0)
			b.submit(1, 1, 2, time.Second, time.Minute)
		}, dispatch.Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Cordoned, RetryAfter: 5 * time.Second}},
		{"an outage of the zone that is not cordoned", func(b *harness) {
			b.table.SetCordoned(b.now, []ident.Zone{"a"})
			b.room(2, fleet.Unreachable, 2000, 0)
			b.submit(1, 1, 2, time.Second, time.Minute)
		}, dispatch.Answer{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newZoned(t, 2)
			test.do(b)
			qt.Assert(t, b.answers[1], qt.Equals, test.want)
		})
	}
}

// TestOutageOfOpenZone: while no upstream outside the cordoned zones is ready, jobs wait as in an outage, even if upstreams
// in cordoned zones are ready.
func TestOutageOfOpenZone(t *testing.T) {
	b := newZoned(t, 2)
	b.table.SetCordoned(b.now, []ident.Zone{"a"})
	b.room(2, fleet.Unreachable, 2000, 0)
	b.submit(1, 1, 2, 100*time.Millisecond, time.Minute)
	b.pass(100 * time.Millisecond) // longer than the wait for capacity, which is one fourth of 260 ms
	qt.Assert(t, b.answers, qt.HasLen, 0)
	b.room(2, fleet.Ready, 2000, 0)
	qt.Assert(t, b.orders, qt.HasLen, 1)
}

// TestCordonedAgentsLinkFirst guards against refusals while an entry starts, when agents of cordoned zones may link before
// the others.
func TestCordonedAgentsLinkFirst(t *testing.T) {
	b := newHarness(t, 1)
	b.room(1, fleet.Cordoned, 2000, 0)
	b.submit(1, 1, 2, time.Second, time.Minute)
	qt.Assert(t, b.answers, qt.HasLen, 0)
	b.link(2)
	b.room(2, fleet.Ready, 2000, 0)
	qt.Assert(t, b.orders, qt.HasLen, 1)
}

// TestZones covers what an operator checks before and during the draining of a zone.
func TestZones(t *testing.T) {
	b := newZoned(t, 3)
	b.table.SetCordoned(b.now, []ident.Zone{"b"})
	b.submit(1, 1, 3, time.Second, time.Minute)
	want := []dispatch.ZoneStatus{
		{Zone: "a", Upstreams: 2, Ready: 2, Runs: 3, FreeCPU: 1000, TotalCPU: 4000},
		{Zone: "b", Cordoned: true, Upstreams: 1, FreeCPU: 2000, TotalCPU: 2000},
	}
	qt.Assert(t, b.table.Zones(), qt.DeepEquals, want)
}
