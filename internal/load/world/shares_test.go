package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// greedy returns the example with callers of two teams: those of narrow jobs, most of which are in zone a, ask for far more than their
// part, and those of wide jobs, most of which are in zone b, for less than theirs.
func greedy(t *testing.T, all ...plan.Share) *plan.Plan {
	p := example(t)
	p.Length = 20 * time.Second
	p.Shares = all
	for i := range p.Zones {
		p.Zones[i].Share = 1
	}
	p.Faults = []plan.Fault{
		{Name: "all narrow", Kind: plan.Burst, For: time.Hour, Job: "narrow", Factor: 1.6},
		{Name: "narrow in a", Kind: plan.Burst, For: time.Hour, Zone: "a", Job: "narrow", Factor: 3},
		{Name: "wide in b", Kind: plan.Burst, For: time.Hour, Zone: "b", Job: "wide", Factor: 2},
	}
	return p
}

// refusedPart returns the refused part of jobs.
func refusedPart(t *world.Tally) float64 { return float64(t.Refused) / float64(t.Sent) }

// TestSharesCutAlike checks that one team's demand does not cost another team its service, and that the jobs of a team are refused equally
// often in zones with different callers.
func TestSharesCutAlike(t *testing.T) {
	before := play(t, greedy(t))
	r := play(t, greedy(t, plan.Share{Team: "n", Routes: []string{"narrow"}, Weight: 1}, plan.Share{Team: "w", Routes: []string{"wide", "long"}, Weight: 1}))
	least, most := 1.0, 0.0
	for i := range r.ZoneKinds {
		part := refusedPart(r.ZoneKinds[i][0])
		t.Logf("zone %d: narrow refused %.3f (without shares %.3f), wide %.3f (%.3f), long %.3f (%.3f)", i, part, refusedPart(before.ZoneKinds[i][0]),
			refusedPart(r.ZoneKinds[i][1]), refusedPart(before.ZoneKinds[i][1]), refusedPart(r.ZoneKinds[i][2]), refusedPart(before.ZoneKinds[i][2]))
		least, most = min(least, part), max(most, part)
	}
	for k, kind := range r.Kinds {
		t.Logf("kind %d: refused %.3f (without shares %.3f), served %.3f (%.3f)", k, refusedPart(kind), refusedPart(before.Kinds[k]),
			kind.ServedShare(), before.Kinds[k].ServedShare())
	}
	t.Logf("all: served %.3f (without shares %.3f), %d messages of demand", r.All.ServedShare(), before.All.ServedShare(), r.Messages.Demands)
	qt.Check(t, most <= 1.5*least, qt.IsTrue)
	for k := 1; k < len(r.Kinds); k++ {
		qt.Check(t, refusedPart(r.Kinds[k]) < refusedPart(before.Kinds[k]), qt.IsTrue, qt.Commentf("kind %d", k))
	}
	qt.Check(t, before.Messages.Demands, qt.Equals, 0)
}
