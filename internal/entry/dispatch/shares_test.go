package dispatch_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/shares"
)

// limitQueue limits the team of the tests' route to half of the capacity.
func limitQueue(b *harness) {
	b.table.SetShares([]shares.Share{{Team: "news", Service: queue.Service, Routes: []route.Name{queue.Name}, Weight: 1, Limit: 0.5}})
	b.table.SetRoutes(map[route.Name]ident.Service{queue.Name: queue.Service})
}

// TestOverShare checks that jobs beyond a team's part are refused at once and leave nothing behind, that others' demand counts, and that
// callers that come again for a job which is held here join it.
func TestOverShare(t *testing.T) {
	b := newHarness(t, 2)
	limitQueue(b)
	b.submit(1, 1, 1, time.Second, time.Minute)
	b.pass(200 * time.Millisecond)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	b.table.HandleDemand(b.now, fleet.Demand{Entry: 7, Routes: []fleet.RouteDemand{{Route: queue.Name, Asked: 20}}})
	b.pass(200 * time.Millisecond)
	b.submit(2, 2, 4, time.Second, time.Minute) // within the tokens of the moment, and more than them
	b.submit(3, 3, 1, time.Second, time.Minute)
	refusal := b.answers[3]
	qt.Assert(t, refusal.State, qt.Equals, verdict.Refused)
	qt.Assert(t, refusal.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.OverShare)
	qt.Assert(t, refusal.RetryAfter >= time.Second, qt.IsTrue)
	qt.Assert(t, b.table.Held(3), qt.IsFalse)
	qt.Assert(t, b.table.Held(1), qt.IsTrue)
	b.submit(1, 4, 1, time.Second, time.Minute)
	_, answered := b.answers[4]
	qt.Assert(t, answered, qt.IsFalse)
	qt.Assert(t, b.cuts, qt.HasLen, 1)
	qt.Assert(t, b.cuts[0].Team, qt.Equals, shares.Team("news"))
	for _, s := range b.table.Shares() {
		if s.Team == "news" {
			qt.Assert(t, s.Refused[verdict.OverShare], qt.Equals, int64(1))
		}
	}
	b.table.SetShares(nil)
	b.submit(5, 5, 1, time.Second, time.Minute)
	qt.Assert(t, b.table.Held(5), qt.IsTrue)
}

// TestKeptJobsAreNotCut checks that a kept job, which is stored before it gets here, is never refused for its team's share.
func TestKeptJobsAreNotCut(t *testing.T) {
	b := newHarness(t, 1)
	b.table.SetKeeper(noKeeper{})
	limitQueue(b)
	b.table.HandleDemand(b.now, fleet.Demand{Entry: 7, Routes: []fleet.RouteDemand{{Route: queue.Name, Asked: 100}}})
	b.pass(200 * time.Millisecond)
	for id := job.ID(1); id <= 4; id++ {
		spec := &job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}}
		b.table.Submit(b.now, dispatch.Request{Job: id, Route: queue, Spec: spec, Kept: &dispatch.KeptState{Generation: 1}})
		qt.Assert(t, b.table.Held(id), qt.IsTrue)
		b.pass(100 * time.Millisecond)
	}
	b.submit(9, 9, 1, time.Second, time.Minute)
	qt.Assert(t, b.answers[9].Reason, qt.Equals, verdict.OverShare)
}

// TestDemandReports checks whom an entry tells of its demand, and how often.
func TestDemandReports(t *testing.T) {
	b := newHarness(t, 5)
	limitQueue(b)
	b.submit(1, 1, 1, time.Second, time.Minute)
	b.pass(time.Second)
	qt.Assert(t, len(b.demands) >= 3*3 && len(b.demands) <= 4*3, qt.IsTrue, qt.Commentf("%d", len(b.demands)))
	last := b.demands[len(b.demands)-1]
	qt.Assert(t, last.Routes, qt.HasLen, 1)
	qt.Assert(t, last.Routes[0].Route, qt.Equals, queue.Name)
	qt.Assert(t, last.Routes[0].Asked > 0.2 && last.Routes[0].Asked < 1, qt.IsTrue)
}

// TestWithoutShares checks that nothing is counted, sent or refused while no share is in force, whatever others tell.
func TestWithoutShares(t *testing.T) {
	b := newHarness(t, 2)
	b.table.HandleDemand(b.now, fleet.Demand{Entry: 7, Routes: []fleet.RouteDemand{{Route: queue.Name, Asked: 1000}}})
	for id := job.ID(1); id <= 8; id++ {
		b.submit(id, dispatch.CallerID(id), 1, time.Second, time.Minute)
	}
	b.pass(100 * time.Millisecond)
	qt.Assert(t, b.demands, qt.HasLen, 0)
	qt.Assert(t, b.answers, qt.HasLen, 0)
	qt.Assert(t, b.table.Shares(), qt.HasLen, 0)
	limitQueue(b)
	b.pass(100 * time.Millisecond)
	for _, s := range b.table.Shares() {
		qt.Assert(t, s.Demand, qt.Equals, 0.0)
	}
}

// TestAbsurdDemand checks that a report which can't be true is dropped and counted, and that later ones are heard.
func TestAbsurdDemand(t *testing.T) {
	b := newHarness(t, 2)
	limitQueue(b)
	for _, asked := range []float64{math.NaN(), -1, math.Inf(1)} {
		b.table.HandleDemand(b.now, fleet.Demand{Entry: 7, Routes: []fleet.RouteDemand{{Route: queue.Name, Asked: asked}}})
	}
	qt.Assert(t, b.dropped, qt.Equals, 3)
	b.pass(200 * time.Millisecond)
	qt.Assert(t, b.cuts, qt.HasLen, 0)
	b.table.HandleDemand(b.now, fleet.Demand{Entry: 7, Routes: []fleet.RouteDemand{{Route: queue.Name, Asked: 20}}})
	b.pass(200 * time.Millisecond)
	qt.Assert(t, b.cuts, qt.HasLen, 1)
}

// TestCapacityOfAllEntries checks that the capacity is extrapolated where each agent links to only some of the entries.
func TestCapacityOfAllEntries(t *testing.T) {
	for _, test := range []struct {
		links, entries int
		want           float64
	}{
		{0, 1, 4}, {12, 1, 4}, {12, 12, 4 / 12.}, {12, 24, 8 / 24.}, {0, 24, 4 / 24.},
	} {
		b := newHarness(t, 0)
		b.table = dispatch.New(dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 10, MaxTasks: 20, AgentLinks: test.links}, b, b, b, 1)
		b.table.Tick(b.now)
		for id := ident.Incarnation(1); id <= 3; id++ {
			b.link(id)
			b.room(id, fleet.Ready, 2000, 0)
		}
		b.room(3, fleet.Unreachable, 2000, 0)
		b.table.SetEntries(test.entries)
		limitQueue(b)
		b.pass(200 * time.Millisecond)
		got := b.table.Shares()[0].Capacity
		qt.Check(t, math.Abs(got-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%+v: %v", test, got))
	}
}
