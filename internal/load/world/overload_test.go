package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// TestOverload: where more is asked than fits, no kind of job and no availability zone starves, few jobs are late after having
// taken room, and entries that know each other's doings only by the room serve nearly as many as one dispatcher would that knows
// all at once. The bounds lie a few hundredths below what these seeds give.
func TestOverload(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  float64
		fault plan.Fault
		// served bounds the part of all jobs that is served in time, kind that of each kind, and zone that of each zone's callers,
		// from below; late bounds the part of all that is late, from above.
		served, kind, zone, late float64
	}{
		// The freight planners' heaviest hours: three of eleven upstreams gone for good, and 1.1 times the usual load.
		// Waiting for a quarter of the objective, kinds are served 0.82, 0.61 and 0.94, and 0.057 are late.
		{"upstreams lost for good", 1.1, plan.Fault{Kind: plan.UpstreamsLost, Count: 3, For: time.Hour}, 0.77, 0.74, 0.74, 0.035},
		// Twice as much as usual of the most frequent kind for as long as a shift takes to begin.
		{"burst of one kind", 1, plan.Fault{Kind: plan.Burst, Job: "narrow", Factor: 2, At: 6 * time.Second, For: 4 * time.Second}, 0.92, 0.92, 0.88, 0.015},
		// Twice the usual load without an end: a site that has not grown with its callers. Waiting for a quarter of the objective,
		// kinds are served 0.63, 0.44 and 0.74, and 0.060 are late.
		{"twice the load", 2, plan.Fault{Kind: plan.Burst, Factor: 1}, 0.61, 0.61, 0.57, 0.035},
		// The callers of the busiest zone turn to the others' entries when its own is lost, at 1.2 times the usual load.
		{"an entry lost under load", 1.2, plan.Fault{Kind: plan.EntriesLost, Zone: "b", Count: 1, At: 6 * time.Second, For: 4 * time.Second}, 0.92, 0.89, 0.90, 0.02},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := example(t)
			p.Load, p.Faults, p.Length, p.Warmup = test.load, []plan.Fault{test.fault}, 20*time.Second, 4*time.Second
			r := play(t, p)
			check(t, "all", r.All, test.served)
			for i := range p.Jobs {
				check(t, p.Jobs[i].Name, r.Kinds[i], test.kind)
			}
			for i := range p.Zones {
				check(t, p.Zones[i].Name, r.Zones[i], test.zone)
			}
			late := float64(r.All.Late) / float64(r.All.Sent)
			t.Logf("late %.3f", late)
			qt.Check(t, late <= test.late, qt.IsTrue, qt.Commentf("late %.3f", late))

			p.Central = true
			most := play(t, p).All.ServedShare()
			t.Logf("one dispatcher serves %.3f", most)
			qt.Check(t, r.All.ServedShare() >= minShareOfCentral*most, qt.IsTrue, qt.Commentf("%.3f, one dispatcher %.3f", r.All.ServedShare(), most))
		})
	}
}

// ofCeiling is the least part of what one dispatcher serves, who sees all room at once.
const minShareOfCentral = 0.95

func check(t *testing.T, name string, tally *world.Tally, least float64) {
	t.Helper()
	t.Logf("%s: %.3f", name, tally.ServedShare())
	qt.Check(t, tally.ServedShare() >= least, qt.IsTrue, qt.Commentf("%s: %.3f", name, tally.ServedShare()))
}

// TestRaces: twelve entries that press on as many upstreams as they can fill find room taken that they were told of, but not
// more often than they find it: told of the same room at once, each run that begins costs 1.2 orders in vain, in turn 0.8.
func TestNoRoomRefusals(t *testing.T) {
	const most = 1.0
	p := example(t)
	p.Load, p.Length, p.Warmup = 2*1.4, 8*time.Second, 2*time.Second
	for i := range p.Zones {
		p.Zones[i].Entries, p.Zones[i].Upstreams = 3, 2*p.Zones[i].Upstreams
	}
	r := play(t, p)
	inVain := float64(r.NoRoomRefusals) / float64(r.Runs)
	t.Logf("%.2f orders in vain for each run, served %.3f", inVain, r.All.ServedShare())
	qt.Assert(t, inVain <= most, qt.IsTrue, qt.Commentf("%.2f", inVain))
}
