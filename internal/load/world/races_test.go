package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestManyEntriesCompeteForRoom guards against entries that send their orders to the same upstreams at the same time, where many of
// the orders find the room taken. Eleven entries place jobs on 65 upstreams; the jobs need 0.63 of their room.
//
// If each entry rates all upstreams, all entries find the same ones cheapest, and 0.52 orders per run are refused for lack of room.
// If each entry rates a sample of three upstreams that have room, 0.28 are refused. With a cordoned zone, where the jobs need 0.95
// of the room, 0.48 instead of 0.60 are refused, and 0.980 instead of 0.976 of the jobs are served in time.
func TestManyEntriesCompeteForRoom(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault plan.Fault
		// minServed bounds the share of jobs that are served in time, maxRefusals the orders per run that are refused for lack of room.
		minServed, maxRefusals float64
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
			refusals := float64(r.NoRoomRefusals) / float64(r.Runs)
			t.Logf("served %.3f, refusals per run %.2f", r.All.ServedShare(), refusals)
			qt.Check(t, r.All.ServedShare() >= test.minServed, qt.IsTrue)
			qt.Check(t, refusals <= test.maxRefusals, qt.IsTrue)
		})
	}
}
