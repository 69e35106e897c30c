package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestEntriesRace: eleven entries place on 65 upstreams that are asked for 0.63 of their room. Entries that all rate every upstream find the same
// ones the cheapest: 0.52 orders found the room taken for each run begun. While each rates three of those that have room it is 0.28, and
// with a zone cordoned, where 0.95 of the room is asked for, 0.48 instead of 0.60, with 0.980 instead of 0.976 of the jobs in time.
func TestManyEntriesCompeteForRoom(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault plan.Fault
		// served is the least part in time, races the most orders that find the room taken for each run begun.
		served, races float64
	}{
		{"usual", plan.Fault{Kind: plan.Burst, Factor: 1}, 0.998, 0.40},
		{"a zone cordoned", plan.Fault{Kind: plan.ZoneCordoned, Zone: "b", At: 3 * time.Second, For: 3 * time.Second}, 0.97, 0.55},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p, err := plan.Read("../../../deploy/plans/three_zones.ini")
			qt.Assert(t, err, qt.IsNil)
			p.Length, p.Warmup, p.Faults = 8*time.Second, 2*time.Second, []plan.Fault{test.fault}
			r := play(t, p)
			races := float64(r.NoRoomRefusals) / float64(r.Runs)
			t.Logf("served %.3f, races %.2f", r.All.ServedShare(), races)
			qt.Check(t, r.All.ServedShare() >= test.served, qt.IsTrue)
			qt.Check(t, races <= test.races, qt.IsTrue)
		})
	}
}
