// Package lives keeps an agent's account of the lives of its upstream that have been heard of, beside the present one.
//
// A heartbeat of another life than the known one may be a later life's, or an earlier one's that was held up on the way: only the
// upstream can tell. To believe it would cost, in the second case, all runs that are told as lost while they go on, and the
// upstream itself, whose heartbeats would count as those of a past life. So it is a claim, until the upstream has answered.
package lives

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lease"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// Beat is a heartbeat of the upstream.
type Heartbeat struct {
	fleet.Upstream
	// Born tells lives under one id apart.
	Born ident.Born
	// Sequence rises with each heartbeat of one life.
	Sequence uint64
	// Clock is a reading of the upstream's clock; zero is none.
	Clock call.Clock
	// Draining: it takes no more work and ends soon.
	Draining bool
	// Cold is how much longer it is slow from its start.
	ColdFor time.Duration
	// Recalled: no heartbeat has come; it is what an earlier process of the agent has remembered.
	Recalled bool
}

// Life is whose heartbeat it is.
func (b *Heartbeat) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: b.ID, Born: b.Born} }

// Known is what the agent's next process should know of the upstream: its VM keeps nothing, and the upstream does not repeat at once
// what it was told is heard.
type Snapshot struct {
	fleet.Upstream
	Born ident.Born
	// Draining: the upstream has said that it leaves.
	Draining bool
	// Crashes are of the VM's upstreams. They are remembered with the upstream, and mean nothing here.
	Crashes []fleet.Crash
}

// Life is the life that is known.
func (k *Snapshot) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: k.ID, Born: k.Born} }

// Beat is what is known, as if a heartbeat had told it before all others.
func (k *Snapshot) Heartbeat() Heartbeat {
	return Heartbeat{Upstream: k.Upstream, Born: k.Born, Draining: k.Draining, Recalled: true}
}

// Claim is the newest heartbeat of a life other than the present one.
type Claim struct {
	Heartbeat Heartbeat
	// lease has the token that the question carries.
	lease lease.Lease
	// asking is true while the question is under way, asked when it was put.
	querying  bool
	queriedAt time.Time
	// since is when it was claimed first.
	claimedAt time.Time
}

// Ask returns the token of a question that is to be put now; false is that one is under way.
func (c *Claim) BeginQuery(now time.Time) (call.Token, bool) {
	if c.querying {
		return 0, false
	}
	c.querying, c.queriedAt = true, now
	return c.lease.Token(), true
}

// Answered notes that the question is not under way any more.
func (c *Claim) EndQuery() { c.querying = false }

// Outbid raises the token of the next question above one that was refused.
func (c *Claim) RaiseToken(now time.Time, refused call.Token) { c.lease.RaiseTokenAbove(now, refused) }

// An upstream that flaps for weeks has a new life each second. What is forgotten costs a question: a late heartbeat of a forgotten life
// is a claim again, and a claimed life that is present sends another heartbeat.
const (
	// maxPast bounds the lives that are remembered as ended: an hour of lives of 14 s, in some 40 kB.
	maxEnded = 256
	// maxClaims bounds the lives that may be present. Each is asked for up to four times a second while the upstream gives no answer.
	maxClaims = 8
)

// Account is that of one agent.
type Tracker struct {
	// past holds lives that have ended, whose late heartbeats mean nothing; ended lists them from the oldest on, maxPast at most.
	isEnded map[ident.UpstreamLife]bool
	ended   []ident.UpstreamLife
	// claims are lives that may be present, until the upstream has said whether it is one of them; maxClaims at most.
	claims map[ident.UpstreamLife]*Claim
}

// New returns an account of no life.
func New() *Tracker {
	return &Tracker{isEnded: make(map[ident.UpstreamLife]bool), claims: make(map[ident.UpstreamLife]*Claim)}
}

// Past tells whether a life has ended.
func (a *Tracker) HasEnded(life ident.UpstreamLife) bool { return a.isEnded[life] }

// End notes that a life has ended.
func (a *Tracker) RecordEnded(life ident.UpstreamLife) {
	delete(a.claims, life)
	if a.isEnded[life] {
		return
	}
	a.isEnded[life] = true
	a.ended = append(a.ended, life)
	if len(a.ended) > maxEnded {
		delete(a.isEnded, a.ended[0])
		a.ended = slices.Delete(a.ended, 0, 1)
	}
}

// Begin notes that a life is the present one.
func (a *Tracker) RecordPresent(life ident.UpstreamLife) {
	delete(a.isEnded, life)
	a.ended = slices.DeleteFunc(a.ended, func(have ident.UpstreamLife) bool { return have == life })
	delete(a.claims, life)
}

// Claim takes in a heartbeat of a life other than the present one.
func (a *Tracker) Claim(now time.Time, b Heartbeat) *Claim {
	c := a.claims[b.Life()]
	if c == nil {
		c = &Claim{lease: lease.New(0, now), claimedAt: now}
		a.claims[b.Life()] = c
		a.dropOldestClaim(c)
	}
	// That a life leaves holds in whatever order its heartbeats arrive.
	draining := c.Heartbeat.Draining || b.Draining
	if b.Sequence >= c.Heartbeat.Sequence {
		c.Heartbeat = b
	}
	c.Heartbeat.Draining = draining
	return c
}

// dropClaim forgets the oldest claim but a new one, if there are too many.
func (a *Tracker) dropOldestClaim(but *Claim) {
	if len(a.claims) <= maxClaims {
		return
	}
	var oldest *Claim
	for _, c := range a.claims {
		if c != but && (oldest == nil || c.before(oldest)) {
			oldest = c
		}
	}
	delete(a.claims, oldest.Heartbeat.Life())
}

// before orders claims by when they were made, and those of one moment by life, so that runs repeat.
func (c *Claim) before(other *Claim) bool {
	return cmp.Or(c.claimedAt.Compare(other.claimedAt), cmp.Compare(c.Heartbeat.ID, other.Heartbeat.ID), cmp.Compare(c.Heartbeat.Born, other.Heartbeat.Born)) < 0
}

// Claimed returns what is claimed of a life, or nil.
func (a *Tracker) FindClaim(life ident.UpstreamLife) *Claim { return a.claims[life] }

// Due lists the claims whose questions were put a pause ago or earlier, in a fixed order. pause tells how long that is for a claim that
// has gone unanswered for a time.
func (a *Tracker) DueClaims(now time.Time, pause func(unanswered time.Duration) time.Duration) []*Claim {
	var out []*Claim
	for _, c := range a.claims {
		if now.Sub(c.queriedAt) >= pause(now.Sub(c.claimedAt)) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y *Claim) int {
		return cmp.Or(cmp.Compare(x.Heartbeat.ID, y.Heartbeat.ID), cmp.Compare(x.Heartbeat.Born, y.Heartbeat.Born))
	})
	return out
}
