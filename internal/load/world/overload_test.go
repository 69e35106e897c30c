package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// TestOverload guards against three failures while callers ask for more room than there is:
//   - jobs of one kind, or callers of one availability zone, starve,
//   - many jobs use room but complete late,
//   - entries, which learn of each other's orders only by the room that upstreams report, serve far fewer jobs than one dispatcher
//     that knows all orders at once.
//
// The bounds are a few hundredths below the results for these seeds.
func TestOverload(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  float64
		fault plan.Fault
		// minServed is the least share served in time of all jobs, minKind of each kind, and minZone of each zone's callers.
		// maxLate is the largest share of all jobs that may be late.
		minServed, minKind, minZone, maxLate float64
	}{
		// The freight planners' busiest hours: three of eleven upstreams are lost permanently, at 1.1 times the usual load.
		// If jobs waited for at most a quarter of the objective, the kinds would be served 0.82, 0.61 and 0.94, and 0.057 be late.
		{"upstreams lost for good", 1.1, plan.Fault{Kind: plan.UpstreamsLost, Count: 3, For: time.Hour}, 0.77, 0.74, 0.74, 0.035},
		// Twice the usual rate of the most frequent kind, for as long as the start of a shift takes.
		{"burst of one kind", 1, plan.Fault{Kind: plan.Burst, Job: "narrow", Factor: 2, At: 6 * time.Second, For: 4 * time.Second}, 0.92, 0.92, 0.88, 0.015},
		// Twice the usual load permanently: a site that has not grown with its callers. If jobs waited for at most a quarter of
		// the objective, the kinds would be served 0.63, 0.44 and 0.74, and 0.060 be late.
		{"twice the load", 2, plan.Fault{Kind: plan.Burst, Factor: 1}, 0.61, 0.61, 0.57, 0.035},
		// The busiest zone loses its entry at 1.2 times the usual load, and its callers use the entries of other zones.
		{"an entry lost under load", 1.2, plan.Fault{Kind: plan.EntriesLost, Zone: "b", Count: 1, At: 6 * time.Second, For: 4 * time.Second}, 0.92, 0.89, 0.90, 0.02},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := example(t)
			p.Load, p.Faults, p.Length, p.Warmup = test.load, []plan.Fault{test.fault}, 20*time.Second, 4*time.Second
			r := play(t, p)
			check(t, "all", r.All, test.minServed)
			for i := range p.Jobs {
				check(t, p.Jobs[i].Name, r.Kinds[i], test.minKind)
			}
			for i := range p.Zones {
				check(t, p.Zones[i].Name, r.Zones[i], test.minZone)
			}
			late := float64(r.All.Late) / float64(r.All.Sent)
			t.Logf("late %.3f", late)
			qt.Check(t, late <= test.maxLate, qt.IsTrue, qt.Commentf("late %.3f", late))

			p.Central = true
			central := play(t, p).All.ServedShare()
			t.Logf("one dispatcher serves %.3f", central)
			qt.Check(t, r.All.ServedShare() >= minShareOfCentral*central, qt.IsTrue, qt.Commentf("%.3f, one dispatcher %.3f", r.All.ServedShare(), central))
		})
	}
}

// minShareOfCentral is the least share that entries must serve, relative to one dispatcher that knows all room at once.
const minShareOfCentral = 0.95

// check checks that the share of jobs that were served in time is at least minServed.
func check(t *testing.T, name string, tally *world.Tally, minServed float64) {
	t.Helper()
	t.Logf("%s: %.3f", name, tally.ServedShare())
	qt.Check(t, tally.ServedShare() >= minServed, qt.IsTrue, qt.Commentf("%s: %.3f", name, tally.ServedShare()))
}

// TestNoRoomRefusals guards against entries that send most orders to upstreams whose room another entry has taken meanwhile. Twelve
// entries have enough jobs to fill all upstreams. If an agent reports free room to all entries at once, 1.2 orders
// per run are refused for lack of room; if it reports to them in turn, 0.8.
func TestNoRoomRefusals(t *testing.T) {
	const maxRefusals = 1.0
	p := example(t)
	p.Load, p.Length, p.Warmup = 2*1.4, 8*time.Second, 2*time.Second
	for i := range p.Zones {
		p.Zones[i].Entries, p.Zones[i].Upstreams = 3, 2*p.Zones[i].Upstreams
	}
	r := play(t, p)
	refusals := float64(r.NoRoomRefusals) / float64(r.Runs)
	t.Logf("%.2f orders refused for lack of room per run, served %.3f", refusals, r.All.ServedShare())
	qt.Assert(t, refusals <= maxRefusals, qt.IsTrue, qt.Commentf("%.2f", refusals))
}
