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
func (k *Controller) Heartbeat(now time.Time, b lives.Heartbeat) {
	if k.without.Has(rule.LifeBorn) {
		b.Born = 0
	}
	life := b.Life()
	switch {
	case k.lives.HasEnded(life):
	case !k.hasLife:
		k.beginLife(now, life, &b, b.Clock, "heartbeat")
		k.applyHeartbeat(now, b)
	case life == k.life:
		k.applyHeartbeat(now, b)
	case k.without.Has(rule.ConfirmLife):
		k.beginLife(now, life, &b, b.Clock, "heartbeat")
		k.applyHeartbeat(now, b)
	default:
		k.claimLife(now, b)
	}
}

// describe takes in a heartbeat of the present life.
func (k *Controller) applyHeartbeat(now time.Time, b lives.Heartbeat) {
	if b.Draining {
		// A life that leaves does not come back to work, so that this holds in whatever order heartbeats arrive.
		k.draining = true
		k.markAllDirty()
	}
	if b.Sequence < k.lastSequence {
		k.observer.HeartbeatDropped(b, k.lastSequence)
		return
	}
	k.lastSequence, k.saidEnded = b.Sequence, false
	k.coldUntil = now.Add(b.ColdFor)
	k.updateCold(now)
	news := !k.described || k.info.Total != b.Total || !slices.Equal(k.info.Labels, b.Labels)
	if !k.described {
		k.described, k.info = true, b.Upstream
	}
	k.info.Labels, k.info.Total = b.Labels, b.Total
	k.roomReported = k.roomReported || !b.Recalled
	if news {
		k.sendUpstream()
	}
	k.markAllDirty()
}

// tellUpstream tells all entries what stands here.
func (k *Controller) sendUpstream() {
	for _, s := range k.sessionOrder {
		if s.linked {
			k.entries.Upstream(s.entry, k.info)
		}
	}
}

// claimed takes in a heartbeat of a life other than the known one.
func (k *Controller) claimLife(now time.Time, b lives.Heartbeat) {
	k.queryClaim(now, k.lives.Claim(now, b))
}

// ask asks the upstream whether it is the life that a claim is about. Another upstream refuses the call, another life under the
// same id says when it began.
func (k *Controller) queryClaim(now time.Time, c *lives.Claim) {
	token, due := c.BeginQuery(now)
	if !due {
		return
	}
	if c.Heartbeat.ID == k.life.ID {
		token = k.lease.Token() // it may be the present life that answers
	}
	h := call.Header{Instance: c.Heartbeat.ID, Born: c.Heartbeat.Born, Token: token, Sent: now}
	k.caller.Hold(call.Hold{Header: h, Poll: true})
}

// askAgain repeats the questions that got no answer.
func (k *Controller) requeryClaims(now time.Time) {
	for _, c := range k.lives.DueClaims(now, retryPause) {
		k.queryClaim(now, c)
	}
}

// claimAnswered handles the answer to a question; one without an answer is put again.
func (k *Controller) handleClaimAnswer(now time.Time, c *lives.Claim, asked call.Header, h call.HoldResult) {
	c.EndQuery()
	switch h.Answer {
	case call.Fenced:
		// An earlier agent has called this life, or another life looks at tokens first.
		c.RaiseToken(now, asked.Token)
		k.lease.RaiseTokenAbove(now, asked.Token)
		k.queryClaim(now, c)
	case call.OK:
		if asked.Sent.Before(k.lifeBegan) {
			// Answers overtake each other: the life that has given this one may have ended before the present one began.
			k.queryClaim(now, c)
			return
		}
		k.adoptAnsweringLife(now, c, h)
	case call.WrongInstance:
		k.endOutlivedLife(c.Heartbeat.Life())
	}
}

// answeredBy takes up the life that has answered a question, unless it is the present one.
func (k *Controller) adoptAnsweringLife(now time.Time, c *lives.Claim, h call.HoldResult) {
	claimed := c.Heartbeat.Life()
	present := ident.UpstreamLife{ID: claimed.ID, Born: h.Born}
	if h.Born == 0 || k.without.Has(rule.LifeBorn) {
		present = claimed
	}
	if present != claimed {
		k.endOutlivedLife(claimed)
	}
	if present == k.life && k.hasLife {
		return
	}
	k.adoptLife(now, present, h.Clock)
}

// outlived notes that a life has ended before the present one.
func (k *Controller) endOutlivedLife(life ident.UpstreamLife) {
	k.lives.RecordEnded(life)
	k.observer.HeartbeatOutlived(life, k.life)
}

// takeUp takes up a life that the upstream itself has told, with its heartbeat if one has come.
func (k *Controller) adoptLife(now time.Time, life ident.UpstreamLife, clock call.Clock) {
	c := k.lives.FindClaim(life)
	if c == nil {
		k.beginLife(now, life, nil, clock, "answer")
		return
	}
	k.beginLife(now, life, &c.Heartbeat, clock, "answer")
	k.applyHeartbeat(now, c.Heartbeat)
}

// reborn tells whether an answer to a call that was made of the present life is another life's, which has the same id.
func (k *Controller) isOtherLife(born ident.Born) bool {
	return born != 0 && born != k.life.Born && !k.without.Has(rule.LifeBorn)
}

// begin takes up a new life of the upstream: whatever ran in the one before is gone. first is its heartbeat, if one has come, clock
// a reading of its clock; zero is none.
func (k *Controller) beginLife(now time.Time, life ident.UpstreamLife, first *lives.Heartbeat, clock call.Clock, why string) {
	former, sameID := k.hasLife, k.hasLife && k.life.ID == life.ID
	if former {
		k.lives.RecordEnded(k.life)
		k.reportLoss(now, k.life, fleet.UpstreamGone)
	}
	k.lives.RecordPresent(life)
	k.hasLife, k.life, k.lifeBegan, k.lastAnswerAt, k.lastAliveAt = true, life, now, now, now
	k.described, k.roomReported = first != nil, false
	k.runsKnown, k.failedHolds, k.draining, k.saidEnded = false, 0, false, false
	k.nextHoldAt, k.nextLookAt = time.Time{}, time.Time{}
	k.holding, k.looking = false, false // calls under way are meant for the life before
	k.lastSequence, k.listedClock, k.ends = 0, 0, ends.Tracker{}
	clear(k.strays)
	if first != nil {
		k.info = first.Upstream
	}
	k.lease.Reset(now, clock, sameID)
	k.sharedID, k.minToken = sameID, k.lease.Token()
	k.health, k.coldUntil, k.cold = health.Health{}, time.Time{}, false
	k.observer.LifeBegun(life, why, k.described)
	if former {
		k.carryRunsOver(now, sameID)
	}
	clear(k.finishedUnlisted)
	if k.described {
		k.sendUpstream()
	}
	k.markAllDirty()
	k.callHold(now)
}

// leaveRuns handles the runs of the life before. Those that it has listed are lost. If the new life has the same id, it may have
// taken the calls of others for its own: they count as there until it has listed what runs, under a token that makes
// calls still on their way harmless.
func (k *Controller) carryRunsOver(now time.Time, sameID bool) {
	for _, r := range k.sortedRuns() {
		if !sameID || r.listed {
			k.finish(now, r, job.Lost, fleet.UpstreamGone, "")
			continue
		}
		r.phase, r.provableFrom, r.fromFormerLife = unsure, time.Time{}, true
		if r.stop != nil {
			r.stop.inFlight, r.stop.ackedAt, r.stop.sentAt = false, time.Time{}, time.Time{}
		}
	}
}

// Recall takes up an upstream that an earlier agent has known, before its first heartbeat. If it lives no more, the
// first call says so. Its clock is learned by that call.
func (k *Controller) Recall(now time.Time, u lives.Snapshot) {
	b := u.Heartbeat()
	if k.without.Has(rule.LifeBorn) {
		b.Born = 0
	}
	switch {
	case k.lives.HasEnded(b.Life()):
	case k.hasLife && k.life == b.Life():
		k.draining = k.draining || u.Draining // the heartbeat may be older than what was known
		k.markAllDirty()
	case k.hasLife:
		// The heartbeat that came first may be an earlier life's.
		k.claimLife(now, b)
	default:
		k.beginLife(now, b.Life(), &b, 0, "recalled")
		k.applyHeartbeat(now, b)
	}
}

// end forgets the present life.
func (k *Controller) endLife(now time.Time) {
	k.lives.RecordEnded(k.life)
	k.hasLife, k.runsKnown = false, false
	clear(k.strays)
	k.loseAllRuns(now, fleet.UpstreamGone)
}

// loseAll ends every run as lost.
func (k *Controller) loseAllRuns(now time.Time, why fleet.Reason) {
	k.reportLoss(now, k.life, why)
	for _, r := range k.sortedRuns() {
		k.finish(now, r, job.Lost, why, "")
	}
}

// Left handles an upstream's word that it has ended, which it sends shortly before: where the acknowledgement is lost, seconds before. Nor
// does it say which life: where lives share an id, it may be a former one's that was held up on the way. So the present one
// takes no more work until it is heard again, and its runs are lost only once their lease has lapsed, or another answers.
func (k *Controller) UpstreamLeft(now time.Time, id ident.UpstreamID) {
	switch {
	case !k.hasLife || k.life.ID != id:
		k.lives.RecordEnded(ident.UpstreamLife{ID: id})
	case k.life.Born == 0 && len(k.runs) == 0:
		k.endLife(now)
	default:
		k.saidEnded = true
	}
	k.markAllDirty()
}
