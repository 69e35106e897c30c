package shares_test

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/shares"
)

const service = ident.Service("s")

// The routes of the tests: those of teams a and b, and those that no share lists.
var (
	routeA    = &route.Route{Name: "ra", Service: service}
	routeB    = &route.Route{Name: "rb", Service: service}
	routeRest = &route.Route{Name: "other", Service: service}
	routeAPI  = &route.Route{Name: route.Name(service), Service: service}
)

// teams returns shares of equal weight for a and b.
func teams() []shares.Share {
	return []shares.Share{
		{Team: "a", Service: service, Routes: []route.Name{"ra"}, Weight: 1}, {Team: "b", Service: service, Routes: []route.Name{"rb"}, Weight: 1},
	}
}

// load is a stream of equal jobs at an entry.
type load struct {
	route *route.Route
	// cores is the mean demand, work that of one job in core seconds.
	cores, work float64
	// owed is the demand that has not become a job yet.
	owed           float64
	asked, refused int
}

// refusedPart is the part of the jobs that was refused.
func (l *load) refusedPart() float64 { return float64(l.refused) / float64(max(l.asked, 1)) }

// simEntry is a simulated entry.
type simEntry struct {
	id    ident.Incarnation
	cut   *shares.Cut
	loads []*load
	gone  bool
	// deaf entries get no reports of others.
	deaf bool
	// changes lists the reported changes of cuts.
	changes []shares.Status
}

// sim lets entries share a service.
type sim struct {
	now      time.Time
	capacity float64
	entries  []*simEntry
}

func newSim(capacity float64, all []shares.Share, loads ...[]*load) *sim {
	s := &sim{now: time.Unix(1000, 0), capacity: capacity}
	for i, l := range loads {
		e := &simEntry{id: ident.Incarnation(i + 1), cut: shares.New(), loads: l}
		e.cut.SetShares(all)
		e.cut.SetRoutes(map[route.Name]ident.Service{"ra": service, "rb": service, "other": service})
		s.entries = append(s.entries, e)
	}
	return s
}

const step = 5 * time.Millisecond

// run advances the simulation.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for _, e := range s.entries {
			if !e.gone {
				s.stepEntry(e)
			}
		}
	}
}

func (s *sim) stepEntry(e *simEntry) {
	e.changes = append(e.changes, e.cut.Decide(s.now, shares.Site{Entries: len(s.entries), Capacity: func(ident.Service) float64 { return s.capacity }})...)
	if d, due := e.cut.Report(s.now); due {
		d.Entry = e.id
		for _, other := range s.entries {
			if other != e && !other.deaf {
				other.cut.Receive(s.now, d)
			}
		}
	}
	for _, l := range e.loads {
		l.owed += l.cores * step.Seconds()
		for ; l.owed >= l.work; l.owed -= l.work {
			l.asked++
			e.cut.Ask(s.now, l.route.Name, l.work)
			if _, ok := e.cut.Admit(s.now, l.route, l.work); !ok {
				l.refused++
				e.cut.Refuse(s.now, l.route, l.work, verdict.OverShare)
			}
		}
	}
}

// reset forgets what was counted.
func (s *sim) reset() {
	for _, e := range s.entries {
		for _, l := range e.loads {
			l.asked, l.refused = 0, 0
		}
	}
}

// settling is the time after which averages have settled.
const settling = 6 * time.Second

// TestCut checks what is refused of each stream of jobs, at entries with unequal callers.
func TestCut(t *testing.T) {
	limited := teams()
	limited[0].Limit = 0.3
	floor := teams()
	floor[0].Floor, floor[0].Weight = 0.8, 0.001
	for _, test := range []struct {
		name   string
		shares []shares.Share
		loads  [][]*load
		// want holds the refused part of each load, by entry.
		want [][]float64
	}{
		{"no shortage", teams(), [][]*load{{{route: routeA, cores: 60, work: 0.1}, {route: routeB, cores: 20, work: 0.1}}}, [][]float64{{0, 0}}},
		{"one asks for three times its part", teams(), [][]*load{
			{{route: routeA, cores: 120, work: 0.1}, {route: routeB, cores: 10, work: 0.1}},
			{{route: routeA, cores: 25, work: 0.3}, {route: routeB, cores: 30, work: 0.1}},
			{{route: routeA, cores: 5, work: 0.05}, {route: routeB, cores: 10, work: 0.1}},
		}, [][]float64{{2. / 3, 0}, {2. / 3, 0}, {2. / 3, 0}}},
		{"an entry without b", teams(), [][]*load{{{route: routeA, cores: 75, work: 0.1}}, {{route: routeB, cores: 75, work: 0.1}}}, [][]float64{{1. / 3}, {1. / 3}}},
		{"routes that nobody lists", teams(), [][]*load{
			{{route: routeRest, cores: 80, work: 0.1}, {route: routeA, cores: 20, work: 0.1}}, {{route: routeRest, cores: 80, work: 0.1}},
		}, [][]float64{{0.5, 0}, {0.5}}},
		{"the route of the callers' own API", teams(), [][]*load{
			{{route: routeAPI, cores: 80, work: 0.1}, {route: routeA, cores: 20, work: 0.1}}, {{route: routeAPI, cores: 80, work: 0.1}},
		}, [][]float64{{0.5, 0}, {0.5}}},
		{"a limit without shortage", limited, [][]*load{{{route: routeA, cores: 60, work: 0.1}, {route: routeB, cores: 20, work: 0.1}}}, [][]float64{{0.5, 0}}},
		{"a floor", floor, [][]*load{{{route: routeA, cores: 80, work: 0.1}, {route: routeB, cores: 40, work: 0.1}}}, [][]float64{{0, 0.5}}},
		{"jobs larger than the burst", teams(), [][]*load{
			{{route: routeA, cores: 100, work: 40}, {route: routeB, cores: 50, work: 0.1}},
		}, [][]float64{{0.5, 0}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(100, test.shares, test.loads...)
			s.run(settling)
			s.reset()
			s.run(40 * time.Second)
			for i, e := range s.entries {
				for k, l := range e.loads {
					qt.Check(t, math.Abs(l.refusedPart()-test.want[i][k]) < 0.04, qt.IsTrue,
						qt.Commentf("entry %d load %d: %.3f refused of %d, want %.3f", i, k, l.refusedPart(), l.asked, test.want[i][k]))
				}
			}
		})
	}
}

// TestWithoutNews checks that an entry which hears nothing of the others divides its own part of the capacity.
func TestWithoutNews(t *testing.T) {
	s := newSim(100, teams(), []*load{{route: routeA, cores: 80, work: 0.1}, {route: routeB, cores: 10, work: 0.1}}, []*load{{route: routeA, cores: 1, work: 0.1}})
	s.entries[0].deaf = true
	s.run(settling)
	s.reset()
	s.run(20 * time.Second)
	deaf := s.entries[0].loads
	qt.Check(t, math.Abs(deaf[0].refusedPart()-0.5) < 0.03, qt.IsTrue, qt.Commentf("%.3f", deaf[0].refusedPart()))
	qt.Check(t, deaf[1].refused, qt.Equals, 0)
}

// TestEntryGone checks that the demand of an entry that has ended expires, so that the others' parts grow.
func TestEntryGone(t *testing.T) {
	s := newSim(100, teams(), []*load{{route: routeA, cores: 60, work: 0.1}}, []*load{{route: routeA, cores: 60, work: 0.1}, {route: routeB, cores: 80, work: 0.1}})
	s.run(settling)
	s.reset()
	s.run(5 * time.Second)
	qt.Assert(t, s.entries[0].loads[0].refusedPart() > 0.5, qt.IsTrue)
	s.entries[1].gone = true
	s.entries = s.entries[:1]
	s.run(4 * time.Second)
	s.reset()
	s.run(5 * time.Second)
	qt.Assert(t, s.entries[0].loads[0].refused, qt.Equals, 0)
	cuts := slices.DeleteFunc(s.entries[0].changes, func(c shares.Status) bool { return c.Team != "a" })
	qt.Assert(t, cuts, qt.HasLen, 2)
	qt.Assert(t, cuts[0].Cut && cuts[0].Demand > cuts[0].Part, qt.IsTrue, qt.Commentf("%+v", cuts))
	qt.Assert(t, cuts[1].Cut, qt.IsFalse)
}

// TestTakenBack checks that nothing is counted, sent or refused without shares, also after some were taken back.
func TestTakenBack(t *testing.T) {
	s := newSim(10, teams(), []*load{{route: routeA, cores: 60, work: 0.1}})
	s.run(2 * time.Second)
	e := s.entries[0]
	qt.Assert(t, e.loads[0].refused > 0, qt.IsTrue)
	e.cut.Receive(s.now, fleet.Demand{Entry: 8, Routes: []fleet.RouteDemand{{Route: "ra", Asked: 1000}}})
	e.cut.SetShares(nil)
	s.reset()
	s.run(time.Second)
	qt.Assert(t, e.loads[0].refused, qt.Equals, 0)
	qt.Assert(t, e.cut.Statuses(), qt.HasLen, 0)
	_, due := e.cut.Report(s.now)
	qt.Assert(t, due, qt.IsFalse)
	e.cut.Receive(s.now, fleet.Demand{Entry: 9, Routes: []fleet.RouteDemand{{Route: "ra", Asked: 1000}}})
	e.cut.SetShares(teams())
	s.run(100 * time.Millisecond)
	qt.Assert(t, e.cut.Statuses()[1].Demand < 100, qt.IsTrue, qt.Commentf("%+v", e.cut.Statuses()))
}

// TestCharge checks that kept jobs use up their team's part, and that what they owe is bounded.
func TestCharge(t *testing.T) {
	s := newSim(100, teams(), []*load{{route: routeA, cores: 100, work: 0.1}, {route: routeB, cores: 50, work: 0.1}})
	s.run(settling)
	e := s.entries[0]
	e.cut.Charge(s.now, routeA, 1e6)
	wait, ok := e.cut.Admit(s.now, routeA, 0.1)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, wait > 900*time.Millisecond && wait <= 1100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
	_, ok = e.cut.Admit(s.now, routeB, 0.1)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestCheckDemand covers reports that can't be true.
func TestCheckDemand(t *testing.T) {
	many := make([]fleet.RouteDemand, 1001)
	for i := range many {
		many[i].Route = "r"
	}
	for _, test := range []struct {
		name   string
		demand fleet.Demand
		ok     bool
	}{
		{"empty", fleet.Demand{Entry: 1}, true},
		{"ordinary", fleet.Demand{Entry: 1, Routes: []fleet.RouteDemand{{Route: "r", Asked: 3, Refused: 1}}}, true},
		{"no entry", fleet.Demand{}, false},
		{"no route", fleet.Demand{Entry: 1, Routes: []fleet.RouteDemand{{Asked: 3}}}, false},
		{"not a number", fleet.Demand{Entry: 1, Routes: []fleet.RouteDemand{{Route: "r", Asked: math.NaN()}}}, false},
		{"refused is not a number", fleet.Demand{Entry: 1, Routes: []fleet.RouteDemand{{Route: "r", Refused: math.NaN()}}}, false},
		{"negative", fleet.Demand{Entry: 1, Routes: []fleet.RouteDemand{{Route: "r", Asked: -1}}}, false},
		{"infinite", fleet.Demand{Entry: 1, Routes: []fleet.RouteDemand{{Route: "r", Asked: math.Inf(1)}}}, false},
		{"too many routes", fleet.Demand{Entry: 1, Routes: many}, false},
		{"as many routes as allowed", fleet.Demand{Entry: 1, Routes: many[:1000]}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, shares.CheckDemand(test.demand) == nil, qt.Equals, test.ok)
		})
	}
}

// TestPreview checks what a dry run tells, before the first share is in force and later, and that it changes nothing.
func TestPreview(t *testing.T) {
	next := []shares.Share{
		{Team: "a", Service: service, Routes: []route.Name{"ra"}, Weight: 3}, {Team: "b", Service: service, Routes: []route.Name{"rb"}, Weight: 1},
	}
	for _, test := range []struct {
		name    string
		present []shares.Share
		// parts and assured are those of the teams a and b.
		parts, assured [2]float64
	}{
		{"no share yet", nil, [2]float64{0, 0}, [2]float64{75, 25}},
		{"other shares", teams(), [2]float64{75, 25}, [2]float64{75, 25}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(100, test.present, []*load{{route: routeA, cores: 80, work: 0.1}}, []*load{{route: routeB, cores: 80, work: 0.1}})
			if test.present != nil {
				s.run(settling)
			}
			cut := s.entries[0].cut
			before := cut.Statuses()
			got := cut.Preview(s.now, next, shares.Site{Entries: 2, Capacity: func(ident.Service) float64 { return 100 }})
			qt.Assert(t, got, qt.HasLen, 3)
			for i, team := range got[1:] {
				qt.Check(t, math.Abs(team.Part-test.parts[i]) < 0.01, qt.IsTrue, qt.Commentf("%+v", team))
				qt.Check(t, math.Abs(team.Assured-test.assured[i]) < 0.01, qt.IsTrue, qt.Commentf("%+v", team))
			}
			qt.Assert(t, cut.Statuses(), qt.DeepEquals, before)
		})
	}
}
