package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// TestClaims plays four entries that have more to place than there is room for, since upstreams are lost. Orders that find the room taken are
// to be rare, no zone's callers are to be refused much more often than all, and claims are not to cost callers anything.
func TestClaims(t *testing.T) {
	const (
		// maxRefusals is the target for orders that are refused for want of room, per run; maxUnfair that for the worst zone's share of
		// refused jobs, as a multiple of the whole.
		maxRefusals, maxUnfair = 0.3, 1.5
		// maxLoss is by how much the share of jobs that are served in time may be lower than without claims: the difference between seeds.
		maxLoss = 0.01
	)
	playWith := func(t *testing.T, claimFrom int) *world.Result {
		p, err := plan.Read("../../../deploy/load.ini")
		qt.Assert(t, err, qt.IsNil)
		p.Length, p.Warmup, p.Load, p.ClaimFrom = 10*time.Second, 2*time.Second, 1.1, claimFrom
		p.Faults = []plan.Fault{{Kind: plan.UpstreamsLost, At: 2 * time.Second, For: time.Hour, Count: 2}}
		return play(t, p)
	}
	without, with := playWith(t, 0), playWith(t, 2)
	refusals := float64(with.NoRoomRefusals) / float64(with.Runs)
	t.Logf("served %.3f, without claims %.3f; refusals per run %.2f", with.All.ServedShare(), without.All.ServedShare(), refusals)
	qt.Check(t, without.Messages.Claims, qt.Equals, 0)
	qt.Check(t, refusals <= maxRefusals, qt.IsTrue)
	qt.Check(t, with.All.ServedShare() >= without.All.ServedShare()-maxLoss, qt.IsTrue)
	refused := func(all *world.Tally) float64 { return float64(all.Refused) / float64(all.Sent) }
	for _, z := range with.Zones {
		qt.Check(t, refused(z) <= maxUnfair*refused(with.All), qt.IsTrue, qt.Commentf("%.3f of %.3f", refused(z), refused(with.All)))
	}
}
