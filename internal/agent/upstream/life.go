package upstream

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/ends"
	"hillreel/internal/agent/health"
	"hillreel/internal/agent/lease"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Beat is a heartbeat of the upstream.
type Beat struct {
	fleet.Upstream
	// Sequence rises with each heartbeat of one life.
	Sequence uint64
	// Clock is a reading of the upstream's clock; zero is none.
	Clock call.Clock
	// Draining: it takes no more work and ends soon.
	Draining bool
}

// Beat handles a heartbeat.
func (k *Keeper) Beat(now time.Time, b Beat) {
	if k.past[b.ID] {
		return
	}
	if !k.known || b.ID != k.up.ID {
		k.begin(now, b)
	}
	if b.Sequence < k.sequence {
		return
	}
	k.sequence = b.Sequence
	if b.Draining {
		k.draining = true
	}
	k.up.Labels, k.up.Total = b.Labels, b.Total
	k.touchAll()
}

// begin takes up a new life of the upstream: whatever ran in the one before is gone.
func (k *Keeper) begin(now time.Time, b Beat) {
	if k.known {
		k.end(now)
	}
	k.known, k.up = true, b.Upstream
	k.sequence, k.listed, k.ends = 0, 0, ends.Account{}
	clear(k.given)
	k.lease = lease.New(k.timing.Lease, now, b.Clock)
	k.looked, k.failures, k.draining = false, 0, false
	k.health = health.Health{}
	for _, s := range k.order {
		if s.linked {
			k.entries.Upstream(s.entry, k.up)
		}
	}
	k.hold(now)
}

// Recall takes up an upstream that an earlier agent has known, before its first heartbeat. If it lives no more, the
// first call says so. Its clock and the tokens that it has seen are learned by that call.
func (k *Keeper) Recall(now time.Time, u fleet.Upstream) {
	if k.known || k.past[u.ID] {
		return
	}
	k.begin(now, Beat{Upstream: u})
}

// end forgets the present life.
func (k *Keeper) end(now time.Time) {
	k.past[k.up.ID] = true
	k.known, k.looked = false, false
	clear(k.strays)
	k.loseAll(now, fleet.UpstreamGone)
}

// loseAll ends every run as lost.
func (k *Keeper) loseAll(now time.Time, why fleet.Reason) {
	for _, r := range k.sorted() {
		k.finish(now, r, job.Lost, why, "")
	}
}

// Left handles an upstream that says it has ended.
func (k *Keeper) Left(now time.Time, id ident.UpstreamID) {
	if k.known && k.up.ID == id {
		k.end(now)
	}
	k.past[id] = true
	k.touchAll()
}
