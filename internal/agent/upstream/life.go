package upstream

import (
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/ends"
	"hillreel/internal/agent/health"
	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// An upstream that starts again, perhaps under the id that it had, is another life: it runs nothing, and its heartbeats, its ends
// and its clock are numbered anew. With the account of its former life, heartbeats would be dropped as overtaken, its leaving
// unheard, and ends acknowledged before they are listed. So everything here belongs to one life, and which life stands there is
// believed of the upstream's own answers only: heartbeats may be held up on the way.

// Beat handles a heartbeat.
func (k *Keeper) Beat(now time.Time, b lives.Beat) {
	if k.without.Off(rule.LifeBorn) {
		b.Born = 0
	}
	life := b.Life()
	switch {
	case k.lives.Past(life):
	case !k.known:
		k.begin(now, life, &b, b.Clock, "heartbeat")
		k.describe(now, b)
	case life == k.life:
		k.describe(now, b)
	case k.without.Off(rule.ConfirmLife):
		k.begin(now, life, &b, b.Clock, "heartbeat")
		k.describe(now, b)
	default:
		k.claimed(now, b)
	}
}

// describe takes in a heartbeat of the present life.
func (k *Keeper) describe(now time.Time, b lives.Beat) {
	if b.Draining {
		// A life that leaves does not come back to work, so that this holds in whatever order heartbeats arrive.
		k.draining = true
		k.touchAll()
	}
	if b.Sequence < k.sequence {
		k.observer.Dropped(b, k.sequence)
		return
	}
	k.sequence, k.departed = b.Sequence, false
	k.coldUntil = now.Add(b.Cold)
	k.noteCold(now)
	news := !k.described || k.up.Total != b.Total || !slices.Equal(k.up.Labels, b.Labels)
	if !k.described {
		k.described, k.up = true, b.Upstream
	}
	k.up.Labels, k.up.Total = b.Labels, b.Total
	k.roomHeard = k.roomHeard || !b.Recalled
	if news {
		k.tellUpstream()
	}
	k.touchAll()
}

// tellUpstream tells all entries what stands here.
func (k *Keeper) tellUpstream() {
	for _, s := range k.order {
		if s.linked {
			k.entries.Upstream(s.entry, k.up)
		}
	}
}

// claimed takes in a heartbeat of a life other than the known one.
func (k *Keeper) claimed(now time.Time, b lives.Beat) { k.ask(now, k.lives.Claim(now, b)) }

// ask asks the upstream whether it is the life that a claim is about. Another upstream refuses the call, another life under the
// same id says when it began.
func (k *Keeper) ask(now time.Time, c *lives.Claim) {
	token, due := c.Ask(now)
	if !due {
		return
	}
	if c.Beat.ID == k.life.ID {
		token = k.lease.Token() // it may be the present life that answers
	}
	h := call.Header{Instance: c.Beat.ID, Born: c.Beat.Born, Token: token, Sent: now}
	k.caller.Hold(call.Hold{Header: h, Look: true})
}

// askAgain repeats the questions that got no answer.
func (k *Keeper) askAgain(now time.Time) {
	for _, c := range k.lives.Due(now, retryPause) {
		k.ask(now, c)
	}
}

// claimAnswered handles the answer to a question; one without an answer is put again.
func (k *Keeper) claimAnswered(now time.Time, c *lives.Claim, asked call.Header, h call.Held) {
	c.Answered()
	switch h.Answer {
	case call.Fenced:
		// An earlier agent has called this life, or another life looks at tokens first.
		c.Outbid(now, asked.Token)
		k.lease.Outbid(now, asked.Token)
		k.ask(now, c)
	case call.OK:
		if asked.Sent.Before(k.began) {
			// Answers overtake each other: the life that has given this one may have ended before the present one began.
			k.ask(now, c)
			return
		}
		k.answeredBy(now, c, h)
	case call.WrongInstance:
		k.outlived(c.Beat.Life())
	}
}

// answeredBy takes up the life that has answered a question, unless it is the present one.
func (k *Keeper) answeredBy(now time.Time, c *lives.Claim, h call.Held) {
	claimed := c.Beat.Life()
	present := ident.UpstreamLife{ID: claimed.ID, Born: h.Born}
	if h.Born == 0 || k.without.Off(rule.LifeBorn) {
		present = claimed
	}
	if present != claimed {
		k.outlived(claimed)
	}
	if present == k.life && k.known {
		return
	}
	k.takeUp(now, present, h.Clock)
}

// outlived notes that a life has ended before the present one.
func (k *Keeper) outlived(life ident.UpstreamLife) {
	k.lives.End(life)
	k.observer.Outlived(life, k.life)
}

// takeUp takes up a life that the upstream itself has told, with its heartbeat if one has come.
func (k *Keeper) takeUp(now time.Time, life ident.UpstreamLife, clock call.Clock) {
	c := k.lives.Claimed(life)
	if c == nil {
		k.begin(now, life, nil, clock, "answer")
		return
	}
	k.begin(now, life, &c.Beat, clock, "answer")
	k.describe(now, c.Beat)
}

// reborn tells whether an answer to a call that was made of the present life is another life's, which has the same id.
func (k *Keeper) reborn(born ident.Born) bool {
	return born != 0 && born != k.life.Born && !k.without.Off(rule.LifeBorn)
}

// begin takes up a new life of the upstream: whatever ran in the one before is gone. first is its heartbeat, if one has come, clock
// a reading of its clock; zero is none.
func (k *Keeper) begin(now time.Time, life ident.UpstreamLife, first *lives.Beat, clock call.Clock, why string) {
	former, sameID := k.known, k.known && k.life.ID == life.ID
	if former {
		k.lives.End(k.life)
		k.noteLoss(now, k.life, fleet.UpstreamGone)
	}
	k.lives.Begin(life)
	k.known, k.life, k.began, k.heardAt, k.livedAt = true, life, now, now, now
	k.described, k.roomHeard = first != nil, false
	k.looked, k.failures, k.draining, k.departed = false, 0, false, false
	k.holdAt, k.lookAt = time.Time{}, time.Time{}
	k.holding, k.looking = false, false // calls under way are meant for the life before
	k.sequence, k.listed, k.ends = 0, 0, ends.Account{}
	clear(k.strays)
	if first != nil {
		k.up = first.Upstream
	}
	k.lease.Begin(now, clock, sameID)
	k.shared, k.fence = sameID, k.lease.Token()
	k.health, k.coldUntil, k.cold = health.Health{}, time.Time{}, false
	k.observer.Begun(life, why, k.described)
	if former {
		k.leaveRuns(now, sameID)
	}
	clear(k.given)
	if k.described {
		k.tellUpstream()
	}
	k.touchAll()
	k.hold(now)
}

// leaveRuns handles the runs of the life before. Those that it has listed are lost. If the new life has the same id, it may have
// taken the calls of others for its own: they count as there until it has listed what runs, under a token that makes
// calls still on their way harmless.
func (k *Keeper) leaveRuns(now time.Time, sameID bool) {
	for _, r := range k.sorted() {
		if !sameID || r.listed {
			k.finish(now, r, job.Lost, fleet.UpstreamGone, "")
			continue
		}
		r.phase, r.sure, r.carried = unsure, time.Time{}, true
		if r.stop != nil {
			r.stop.calling, r.stop.acked, r.stop.sent = false, time.Time{}, time.Time{}
		}
	}
}

// Recall takes up an upstream that an earlier agent has known, before its first heartbeat. If it lives no more, the
// first call says so. Its clock is learned by that call.
func (k *Keeper) Recall(now time.Time, u lives.Known) {
	b := u.Beat()
	if k.without.Off(rule.LifeBorn) {
		b.Born = 0
	}
	switch {
	case k.lives.Past(b.Life()):
	case k.known && k.life == b.Life():
		k.draining = k.draining || u.Draining // the heartbeat may be older than what was known
		k.touchAll()
	case k.known:
		// The heartbeat that came first may be an earlier life's.
		k.claimed(now, b)
	default:
		k.begin(now, b.Life(), &b, 0, "recalled")
		k.describe(now, b)
	}
}

// end forgets the present life.
func (k *Keeper) end(now time.Time) {
	k.lives.End(k.life)
	k.known, k.looked = false, false
	clear(k.strays)
	k.loseAll(now, fleet.UpstreamGone)
}

// loseAll ends every run as lost.
func (k *Keeper) loseAll(now time.Time, why fleet.Reason) {
	k.noteLoss(now, k.life, why)
	for _, r := range k.sorted() {
		k.finish(now, r, job.Lost, why, "")
	}
}

// Left handles an upstream's word that it has ended, which it sends shortly before: where the acknowledgement is lost, seconds before. Nor
// does it say which life: where lives share an id, it may be a former one's that was held up on the way. So the present one
// takes no more work until it is heard again, and its runs are lost only once their lease has lapsed, or another answers.
func (k *Keeper) Left(now time.Time, id ident.UpstreamID) {
	switch {
	case !k.known || k.life.ID != id:
		k.lives.End(ident.UpstreamLife{ID: id})
	case k.life.Born == 0 && len(k.runs) == 0:
		k.end(now)
	default:
		k.departed = true
	}
	k.touchAll()
}
