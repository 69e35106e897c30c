package agent_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/agent"
)

// newRecord returns an empty upstream in rack r-1 of zone z.
func newRecord() *agent.Record {
	a := &agent.Record{Upstream: fleet.Upstream{ID: "u-1", Labels: []job.Label{"a", "r-1"}, Total: job.Resources{CPU: 1000}}}
	a.Link("vm-1", "z")
	a.UpdateRoom(time.Unix(1000, 0), fleet.Room{Free: job.Resources{CPU: 1000}, State: fleet.Ready})
	return a
}

// TestCostOfRemoteness: a task goes where it ends soonest, whether what slows it is the upstream or the way to its data.
func TestCostOfRemoteness(t *testing.T) {
	for _, c := range []struct {
		name string
		// factor is by how much remoteness slows a run. near and remote are the paces of the upstreams near the data and away from it.
		factor, near, remote float64
		wantNear             bool
	}{
		{"equal paces", 1.5, 1, 1, true},
		{"the near one is slower by less than the factor", 1.5, 1.25, 1, true},
		{"the near one is slower by more than the factor", 1.5, 1.9, 1, false},
		{"large factor, the near one is slower by less", 3, 2, 1, true},
		{"large factor, the near one is slower by more", 3, 3.7, 1, false},
		{"the remote one is slow too", 1.5, 2, 1.6, true},
		{"large factor, the remote one is fast", 3, 1.4, 0.6, true},
		{"no factor", 1, 1.25, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, remote := newRecord(), newRecord()
			step := &job.Step{Prefers: "r-1"}
			remote.Upstream.Labels = []job.Label{"a", "r-2"}
			for seed := range uint64(20) {
				rng := rand.New(rand.NewPCG(seed, 0))
				nearCost := near.Cost(c.near, near.RemoteFactor(step, c.factor), "z", rng)
				remoteCost := remote.Cost(c.remote, remote.RemoteFactor(step, c.factor), "z", rng)
				qt.Assert(t, nearCost < remoteCost, qt.Equals, c.wantNear, qt.Commentf("near %v, remote %v", nearCost, remoteCost))
			}
		})
	}
}
