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
type Beat struct {
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
	Cold time.Duration
	// Recalled: no heartbeat has come; it is what an earlier process of the agent has remembered.
	Recalled bool
}

// Life is whose heartbeat it is.
func (b *Beat) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: b.ID, Born: b.Born} }

// Known is what the agent's next process should know of the upstream: its VM keeps nothing, and the upstream does not repeat at once
// what it was told is heard.
type Known struct {
	fleet.Upstream
	Born ident.Born
	// Draining: the upstream has said that it leaves.
	Draining bool
	// Crashes are of the VM's upstreams. They are remembered with the upstream, and mean nothing here.
	Crashes []fleet.Crash
}

// Life is the life that is known.
func (k *Known) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: k.ID, Born: k.Born} }

// Beat is what is known, as if a heartbeat had told it before all others.
func (k *Known) Beat() Beat {
	return Beat{Upstream: k.Upstream, Born: k.Born, Draining: k.Draining, Recalled: true}
}

// Claim is the newest heartbeat of a life other than the present one.
type Claim struct {
	Beat Beat
	// lease has the token that the question carries.
	lease lease.Lease
	// asking is true while the question is under way, asked when it was put.
	asking bool
	asked  time.Time
	// since is when it was claimed first.
	since time.Time
}

// Ask returns the token of a question that is to be put now; false is that one is under way.
func (c *Claim) Ask(now time.Time) (call.Token, bool) {
	if c.asking {
		return 0, false
	}
	c.asking, c.asked = true, now
	return c.lease.Token(), true
}

// Answered notes that the question is not under way any more.
func (c *Claim) Answered() { c.asking = false }

// Outbid raises the token of the next question above one that was refused.
func (c *Claim) Outbid(now time.Time, refused call.Token) { c.lease.Outbid(now, refused) }

// An upstream that flaps for weeks has a new life each second. What is forgotten costs a question: a late heartbeat of a forgotten life
// is a claim again, and a claimed life that is present sends another heartbeat.
const (
	// maxPast bounds the lives that are remembered as ended: an hour of lives of 14 s, in some 40 kB.
	maxPast = 256
	// maxClaims bounds the lives that may be present. Each is asked for up to four times a second while the upstream gives no answer.
	maxClaims = 8
)

// Account is that of one agent.
type Account struct {
	// past holds lives that have ended, whose late heartbeats mean nothing; ended lists them from the oldest on, maxPast at most.
	past  map[ident.UpstreamLife]bool
	ended []ident.UpstreamLife
	// claims are lives that may be present, until the upstream has said whether it is one of them; maxClaims at most.
	claims map[ident.UpstreamLife]*Claim
}

// New returns an account of no life.
func New() *Account {
	return &Account{past: make(map[ident.UpstreamLife]bool), claims: make(map[ident.UpstreamLife]*Claim)}
}

// Past tells whether a life has ended.
func (a *Account) Past(life ident.UpstreamLife) bool { return a.past[life] }

// End notes that a life has ended.
func (a *Account) End(life ident.UpstreamLife) {
	delete(a.claims, life)
	if a.past[life] {
		return
	}
	a.past[life] = true
	a.ended = append(a.ended, life)
	if len(a.ended) > maxPast {
		delete(a.past, a.ended[0])
		a.ended = slices.Delete(a.ended, 0, 1)
	}
}

// Begin notes that a life is the present one.
func (a *Account) Begin(life ident.UpstreamLife) {
	delete(a.past, life)
	a.ended = slices.DeleteFunc(a.ended, func(have ident.UpstreamLife) bool { return have == life })
	delete(a.claims, life)
}

// Claim takes in a heartbeat of a life other than the present one.
func (a *Account) Claim(now time.Time, b Beat) *Claim {
	c := a.claims[b.Life()]
	if c == nil {
		c = &Claim{lease: lease.New(0, now), since: now}
		a.claims[b.Life()] = c
		a.dropClaim(c)
	}
	// That a life leaves holds in whatever order its heartbeats arrive.
	draining := c.Beat.Draining || b.Draining
	if b.Sequence >= c.Beat.Sequence {
		c.Beat = b
	}
	c.Beat.Draining = draining
	return c
}

// dropClaim forgets the oldest claim but a new one, if there are too many.
func (a *Account) dropClaim(but *Claim) {
	if len(a.claims) <= maxClaims {
		return
	}
	var oldest *Claim
	for _, c := range a.claims {
		if c != but && (oldest == nil || c.before(oldest)) {
			oldest = c
		}
	}
	delete(a.claims, oldest.Beat.Life())
}

// before orders claims by when they were made, and those of one moment by life, so that runs repeat.
func (c *Claim) before(other *Claim) bool {
	return cmp.Or(c.since.Compare(other.since), cmp.Compare(c.Beat.ID, other.Beat.ID), cmp.Compare(c.Beat.Born, other.Beat.Born)) < 0
}

// Claimed returns what is claimed of a life, or nil.
func (a *Account) Claimed(life ident.UpstreamLife) *Claim { return a.claims[life] }

// Due lists the claims whose questions were put a pause ago or earlier, in a fixed order. pause tells how long that is for a claim that
// has gone unanswered for a time.
func (a *Account) Due(now time.Time, pause func(unanswered time.Duration) time.Duration) []*Claim {
	var out []*Claim
	for _, c := range a.claims {
		if now.Sub(c.asked) >= pause(now.Sub(c.since)) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y *Claim) int {
		return cmp.Or(cmp.Compare(x.Beat.ID, y.Beat.ID), cmp.Compare(x.Beat.Born, y.Beat.Born))
	})
	return out
}
