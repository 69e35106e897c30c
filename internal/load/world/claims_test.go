package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// TestClaims plays entries that have more to place than there is room for, since upstreams are lost. Orders that find the room taken are to
// be rare, no zone's callers are to be refused much more often than all, and claims are not to cost callers anything.
func TestClaims(t *testing.T) {
	const (
		// maxRefusals is the target for orders that are refused for want of room, per run; maxUnfair that for the worst zone's share of
		// refused jobs, as a multiple of the whole.
		maxRefusals, maxUnfair = 0.3, 1.5
		// maxLoss is by how much the share of jobs that are served in time may be lower than without claims: the difference between seeds.
		maxLoss = 0.01
	)
	for _, test := range []struct {
		name, file string
		lost       int
		// seeds is how many plays are added up: a zone of four has too few jobs in one.
		seeds uint64
	}{
		{"four entries", "../../../deploy/load.ini", 2, 4},
		{"eleven entries", "../../../deploy/plans/three_zones.ini", 22, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			with, without := newClaimTotals(), newClaimTotals()
			for seed := range test.seeds {
				p, err := plan.Read(test.file)
				qt.Assert(t, err, qt.IsNil)
				p.Seed, p.Length, p.Warmup, p.Load = seed+1, 8*time.Second, 2*time.Second, 1.1
				p.Faults = []plan.Fault{{Kind: plan.UpstreamsLost, At: 2 * time.Second, For: time.Hour, Count: test.lost}}
				without.add(p, play(t, p))
				p.ClaimFrom = 2
				with.add(p, play(t, p))
			}
			t.Logf("with claims: %+v; without: %+v", *with, *without)
			qt.Check(t, without.claims, qt.Equals, 0)
			qt.Check(t, with.refusals() <= maxRefusals, qt.IsTrue)
			qt.Check(t, with.inTime >= without.inTime-maxLoss*without.sent, qt.IsTrue)
			for zone, refused := range with.refusedAt {
				share := refused / with.sentAt[zone]
				qt.Check(t, share <= maxUnfair*with.refused/with.sent, qt.IsTrue, qt.Commentf("%s: %.3f", zone, share))
			}
		})
	}
}

// claimTotals adds up the results of some plays.
type claimTotals struct {
	sent, inTime, refused, runs, noRoom float64
	claims                              int
	// sentAt and refusedAt are sent and refused by zone.
	sentAt, refusedAt map[string]float64
}

func newClaimTotals() *claimTotals {
	return &claimTotals{sentAt: make(map[string]float64), refusedAt: make(map[string]float64)}
}

// refusals returns the orders that were refused for want of room, per run.
func (c *claimTotals) refusals() float64 { return c.noRoom / c.runs }

func (c *claimTotals) add(p *plan.Plan, r *world.Result) {
	c.sent += float64(r.All.Sent)
	c.inTime += r.All.ServedShare() * float64(r.All.Sent)
	c.refused += float64(r.All.Refused)
	c.runs += float64(r.Runs)
	c.noRoom += float64(r.NoRoomRefusals)
	c.claims += r.Messages.Claims
	for i := range p.Zones {
		c.sentAt[p.Zones[i].Name] += float64(r.Zones[i].Sent)
		c.refusedAt[p.Zones[i].Name] += float64(r.Zones[i].Refused)
	}
}
