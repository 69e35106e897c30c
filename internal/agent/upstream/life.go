package upstream

import (
	"maps"
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/ends"
	"hillreel/internal/agent/health"
	"hillreel/internal/agent/lease"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
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
	if k.known && b.ID != k.up.ID && !k.without.Off(rule.ConfirmLife) {
		k.claimed(now, b)
		return
	}
	if !k.known || b.ID != k.up.ID {
		k.begin(now, b)
	}
	if b.Sequence < k.sequence {
		k.observer.Dropped(b, k.sequence)
		return
	}
	k.sequence = b.Sequence
	if b.Draining {
		k.draining = true
	}
	k.up.Labels, k.up.Total = b.Labels, b.Total
	k.touchAll()
}

// claim is the heartbeat of a life other than the known one. It is a later life, or an earlier one whose heartbeat was held
// up on the way: only the upstream can tell. To believe the heartbeat would cost, in the second case, all runs that are
// told as lost while they go on, and the upstream itself, whose heartbeats would count as those of a past life.
type claim struct {
	beat Beat
	// token is what the question carries.
	token call.Token
	// asking is true while the question is under way, asked when it was put.
	asking bool
	asked  time.Time
}

// claimed takes in a heartbeat of a life other than the known one.
func (k *Keeper) claimed(now time.Time, b Beat) {
	c := k.claims[b.ID]
	if c == nil {
		l := lease.New(k.timing.Lease, now, b.Clock)
		c = &claim{token: l.Token()}
		k.claims[b.ID] = c
	}
	if b.Sequence >= c.beat.Sequence {
		c.beat = b
	}
	k.ask(now, c)
}

// ask asks the upstream whether it is the life that a claim is about: another one refuses the call.
func (k *Keeper) ask(now time.Time, c *claim) {
	if c.asking {
		return
	}
	c.asking, c.asked = true, now
	k.caller.Hold(call.Hold{Header: call.Header{Instance: c.beat.ID, Token: c.token, Sent: now}, Look: true})
}

// askAgain repeats the questions that got no answer.
func (k *Keeper) askAgain(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(k.claims)) {
		if c := k.claims[id]; now.Sub(c.asked) >= holdRetry {
			k.ask(now, c)
		}
	}
}

// claimAnswered handles the answer to a question that was put at sent; one without an answer is put again.
func (k *Keeper) claimAnswered(now time.Time, c *claim, sent time.Time, h call.Held) {
	c.asking = false
	switch h.Answer {
	case call.Fenced:
		// An earlier agent has called this life, or another life looks at tokens first: only a higher one tells.
		c.token = max(c.token+1, lease.Token(h.Clock))
		k.ask(now, c)
	case call.OK:
		if sent.Before(k.began) {
			// Answers overtake each other: the life that has given this one may have ended before the present one began.
			k.ask(now, c)
			return
		}
		k.begin(now, c.beat)
		k.Beat(now, c.beat)
	case call.WrongInstance:
		delete(k.claims, c.beat.ID)
		k.past[c.beat.ID] = true
		k.observer.Outlived(c.beat.ID, k.up.ID)
	}
}

// begin takes up a new life of the upstream: whatever ran in the one before is gone.
func (k *Keeper) begin(now time.Time, b Beat) {
	if k.known {
		k.end(now)
	}
	delete(k.claims, b.ID)
	k.known, k.up, k.began = true, b.Upstream, now
	k.observer.Begun(b)
	k.holding, k.looking = false, false // calls under way are meant for the life before
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
	switch {
	case k.past[u.ID] || k.known && k.up.ID == u.ID:
	case k.known:
		// The heartbeat that came first may be an earlier life's.
		k.claimed(now, Beat{Upstream: u})
	default:
		k.begin(now, Beat{Upstream: u})
	}
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
	delete(k.claims, id)
	k.touchAll()
}
