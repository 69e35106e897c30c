// Package lives tracks the known lives of an agent's upstream other than the present one. A life is one incarnation of the upstream,
// from the start of its process to its end.
//
// A heartbeat of a life other than the present one may come from a later life, or be a delayed one from an earlier life; only the
// upstream can tell which. If the agent trusted a delayed heartbeat, it would report all runs as lost while they go on. It would also
// lose the upstream itself, because the heartbeats of the present life would count as those of an ended one. So such a heartbeat is a claim
// until the upstream has answered a query.
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

// Heartbeat is a heartbeat of the upstream.
type Heartbeat struct {
	fleet.Upstream
	// Born distinguishes the lives that have the same id.
	Born ident.Born
	// Sequence rises with each heartbeat of a life.
	Sequence uint64
	// Clock is a reading of the upstream's clock; zero if there is none.
	Clock call.Clock
	// Draining: the upstream accepts no more work and ends soon.
	Draining bool
	// ColdFor is how much longer the upstream is slow because of its warm-up.
	ColdFor time.Duration
	// Recalled: this is not a received heartbeat, but what an earlier incarnation of the agent has stored.
	Recalled bool
}

// Life returns the life that sent the heartbeat.
func (b *Heartbeat) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: b.ID, Born: b.Born} }

// Snapshot is what the agent's next incarnation should know of the upstream. It has to be stored elsewhere: the VM keeps nothing, and the
// upstream doesn't at once repeat messages that were acknowledged.
type Snapshot struct {
	fleet.Upstream
	Born ident.Born
	// Draining: the upstream has announced that it ends soon.
	Draining bool
	// Crashes are the crashes of upstreams on this VM. They are stored together with the upstream; this package doesn't use them.
	Crashes []fleet.Crash
}

// Life returns the life that the snapshot describes.
func (s *Snapshot) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: s.ID, Born: s.Born} }

// Heartbeat returns the snapshot as a heartbeat that precedes all others.
func (s *Snapshot) Heartbeat() Heartbeat {
	return Heartbeat{Upstream: s.Upstream, Born: s.Born, Draining: s.Draining, Recalled: true}
}

// Claim is the newest heartbeat of a life other than the present one.
type Claim struct {
	Heartbeat Heartbeat
	// lease supplies the token of the query.
	lease lease.Lease
	// querying is true while a query is in flight; queriedAt is when the last one was made.
	querying  bool
	queriedAt time.Time
	// claimedAt is when the life was first claimed.
	claimedAt time.Time
}

// BeginQuery returns the token of a query that is to be made now. It returns false if a query is already in flight.
func (c *Claim) BeginQuery(now time.Time) (call.Token, bool) {
	if c.querying {
		return 0, false
	}
	c.querying, c.queriedAt = true, now
	return c.lease.Token(), true
}

// EndQuery records that the query is no longer in flight.
func (c *Claim) EndQuery() { c.querying = false }

// RaiseToken raises the token of the next query above one that was refused.
func (c *Claim) RaiseToken(now time.Time, refused call.Token) { c.lease.RaiseTokenAbove(now, refused) }

// An upstream that restarts again and again may have a new life each second for weeks, so the memory for lives is bounded. What is
// forgotten costs only a query: a late heartbeat of a forgotten life becomes a claim again, and the present life sends another heartbeat
// if its claim was dropped.
const (
	// maxEnded bounds the remembered ended lives: an hour of lives of 14 s each, in some 40 kB.
	maxEnded = 256
	// maxClaims bounds the claims. Each is queried up to four times a second while the upstream doesn't answer.
	maxClaims = 8
)

// Tracker tracks the ended and the claimed lives of one agent's upstream.
type Tracker struct {
	// isEnded holds the lives that have ended, whose late heartbeats are ignored. ended lists them from the oldest to the newest,
	// maxEnded at most.
	isEnded map[ident.UpstreamLife]bool
	ended   []ident.UpstreamLife
	// claims holds the lives that may be present, until the upstream has answered which life is; maxClaims at most.
	claims map[ident.UpstreamLife]*Claim
}

// New returns a Tracker without lives.
func New() *Tracker {
	return &Tracker{isEnded: make(map[ident.UpstreamLife]bool), claims: make(map[ident.UpstreamLife]*Claim)}
}

// HasEnded reports whether a life has ended.
func (t *Tracker) HasEnded(life ident.UpstreamLife) bool { return t.isEnded[life] }

// RecordEnded records that a life has ended.
func (t *Tracker) RecordEnded(life ident.UpstreamLife) {
	delete(t.claims, life)
	if t.isEnded[life] {
		return
	}
	t.isEnded[life] = true
	t.ended = append(t.ended, life)
	if len(t.ended) > maxEnded {
		delete(t.isEnded, t.ended[0])
		t.ended = slices.Delete(t.ended, 0, 1)
	}
}

// RecordPresent records that a life is the present one.
func (t *Tracker) RecordPresent(life ident.UpstreamLife) {
	delete(t.isEnded, life)
	t.ended = slices.DeleteFunc(t.ended, func(have ident.UpstreamLife) bool { return have == life })
	delete(t.claims, life)
}

// Claim records a heartbeat of a life other than the present one, and returns the claim of that life.
func (t *Tracker) Claim(now time.Time, b Heartbeat) *Claim {
	c := t.claims[b.Life()]
	if c == nil {
		c = &Claim{lease: lease.New(0, now), claimedAt: now}
		t.claims[b.Life()] = c
		t.dropOldestClaim(c)
	}
	// A life that drains never stops draining, so this holds in whatever order its heartbeats arrive.
	draining := c.Heartbeat.Draining || b.Draining
	if b.Sequence >= c.Heartbeat.Sequence {
		c.Heartbeat = b
	}
	c.Heartbeat.Draining = draining
	return c
}

// dropOldestClaim removes the oldest claim other than except if there are more than maxClaims.
func (t *Tracker) dropOldestClaim(except *Claim) {
	if len(t.claims) <= maxClaims {
		return
	}
	var oldest *Claim
	for _, c := range t.claims {
		if c != except && (oldest == nil || c.before(oldest)) {
			oldest = c
		}
	}
	delete(t.claims, oldest.Heartbeat.Life())
}

// before orders claims by when they were first made, then by life, so that the order is deterministic.
func (c *Claim) before(other *Claim) bool {
	return cmp.Or(c.claimedAt.Compare(other.claimedAt), cmp.Compare(c.Heartbeat.ID, other.Heartbeat.ID), cmp.Compare(c.Heartbeat.Born, other.Heartbeat.Born)) < 0
}

// FindClaim returns the claim of a life, or nil.
func (t *Tracker) FindClaim(life ident.UpstreamLife) *Claim { return t.claims[life] }

// DueClaims returns, in a fixed order, the claims whose last query is at least a pause old. pause returns the pause for a claim that has
// gone unanswered for a time.
func (t *Tracker) DueClaims(now time.Time, pause func(unanswered time.Duration) time.Duration) []*Claim {
	var out []*Claim
	for _, c := range t.claims {
		if now.Sub(c.queriedAt) >= pause(now.Sub(c.claimedAt)) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y *Claim) int {
		return cmp.Or(cmp.Compare(x.Heartbeat.ID, y.Heartbeat.ID), cmp.Compare(x.Heartbeat.Born, y.Heartbeat.Born))
	})
	return out
}
