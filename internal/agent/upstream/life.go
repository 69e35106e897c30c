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

// A life is one incarnation of the upstream. An upstream that starts again, perhaps under the same id, is another life: it runs nothing,
// and it numbers its heartbeats and ends and starts its clock anew. With the state of the former life, the agent would drop the
// heartbeats of the new one as out of order, ignore that it drains, and acknowledge ends before they are listed. So all state here
// belongs to one life. Only the upstream's own answers decide which life is present, because heartbeats may be delayed.

// Heartbeat handles a heartbeat. A heartbeat of an ended life is ignored, and a heartbeat of the present life is applied. If no life is
// present, the life of the heartbeat becomes the present one at once. Otherwise the heartbeat is a claim until the upstream has answered
// which life is present.
func (u *Controller) Heartbeat(now time.Time, b lives.Heartbeat) {
	if u.without.Has(rule.LifeBorn) {
		b.Born = 0
	}
	life := b.Life()
	switch {
	case u.lives.HasEnded(life):
	case !u.hasLife:
		u.beginLife(now, life, &b, b.Clock, "heartbeat")
		u.applyHeartbeat(now, b)
	case life == u.life:
		u.applyHeartbeat(now, b)
	case u.without.Has(rule.ConfirmLife):
		u.beginLife(now, life, &b, b.Clock, "heartbeat")
		u.applyHeartbeat(now, b)
	default:
		u.claimLife(now, b)
	}
}

// applyHeartbeat applies a heartbeat of the present life.
func (u *Controller) applyHeartbeat(now time.Time, b lives.Heartbeat) {
	if b.Draining {
		// A life that drains never accepts work again, so this holds in whatever order its heartbeats arrive.
		u.draining = true
		u.markAllDirty()
	}
	if b.Sequence < u.lastSequence {
		u.observer.HeartbeatDropped(b, u.lastSequence)
		return
	}
	u.lastSequence, u.saidEnded = b.Sequence, false
	u.coldUntil = now.Add(b.ColdFor)
	u.updateCold(now)
	changed := !u.described || u.info.Total != b.Total || !slices.Equal(u.info.Labels, b.Labels)
	if !u.described {
		u.described, u.info = true, b.Upstream
	}
	u.info.Labels, u.info.Total = b.Labels, b.Total
	u.roomReported = u.roomReported || !b.Recalled
	if changed {
		u.sendUpstream()
	}
	u.markAllDirty()
}

// sendUpstream sends the description of the upstream to all entries.
func (u *Controller) sendUpstream() {
	for _, s := range u.sessionOrder {
		if s.linked {
			u.entries.Upstream(s.entry, u.describe())
		}
	}
}

// describe returns the description of the upstream for entries.
func (u *Controller) describe() fleet.Upstream {
	d := u.info
	d.Born = u.life.Born
	return d
}

// claimLife handles a heartbeat of a life that isn't the present one.
func (u *Controller) claimLife(now time.Time, b lives.Heartbeat) {
	u.queryClaim(now, u.lives.Claim(now, b))
}

// queryClaim asks the upstream whether it is the claimed life. An upstream with another id refuses the call; another life under the same
// id answers with its own birth time.
func (u *Controller) queryClaim(now time.Time, c *lives.Claim) {
	token, due := c.BeginQuery(now)
	if !due {
		return
	}
	if c.Heartbeat.ID == u.life.ID {
		token = u.lease.Token() // the present life may be the one that answers
	}
	h := call.Header{Instance: c.Heartbeat.ID, Born: c.Heartbeat.Born, Token: token, Sent: now}
	u.caller.Hold(call.Hold{Header: h, Poll: true})
}

// requeryClaims repeats the queries that got no answer.
func (u *Controller) requeryClaims(now time.Time) {
	for _, c := range u.lives.DueClaims(now, retryPause) {
		u.queryClaim(now, c)
	}
}

// handleClaimAnswer handles the answer to the query of a claim. Without an answer, the claim is queried again later.
func (u *Controller) handleClaimAnswer(now time.Time, c *lives.Claim, query call.Header, h call.HoldResult) {
	c.EndQuery()
	switch h.Answer {
	case call.Fenced:
		// An earlier incarnation of the agent has called this life, or another life checks tokens before ids.
		c.RaiseToken(now, query.Token)
		u.lease.RaiseTokenAbove(now, query.Token)
		u.queryClaim(now, c)
	case call.OK:
		if query.Sent.Before(u.lifeBegan) {
			// Answers may arrive out of order: the life that gave this one may have ended before the present life began.
			u.queryClaim(now, c)
			return
		}
		u.adoptAnsweringLife(now, c, h)
	case call.WrongInstance:
		u.endOutlivedLife(c.Heartbeat.Life())
	}
}

// adoptAnsweringLife adopts the life that has answered the query of a claim, unless it is the present one.
func (u *Controller) adoptAnsweringLife(now time.Time, c *lives.Claim, h call.HoldResult) {
	claimed := c.Heartbeat.Life()
	present := ident.UpstreamLife{ID: claimed.ID, Born: h.Born}
	if h.Born == 0 || u.without.Has(rule.LifeBorn) {
		present = claimed
	}
	if present != claimed {
		u.endOutlivedLife(claimed)
	}
	if present == u.life && u.hasLife {
		return
	}
	u.adoptLife(now, present, h.Clock)
}

// endOutlivedLife records that a life ended before the present one.
func (u *Controller) endOutlivedLife(life ident.UpstreamLife) {
	u.lives.RecordEnded(life)
	u.observer.HeartbeatOutlived(life, u.life)
}

// adoptLife makes a life the present one after the upstream itself has confirmed it. It applies the life's heartbeat if one has arrived.
func (u *Controller) adoptLife(now time.Time, life ident.UpstreamLife, clock call.Clock) {
	c := u.lives.FindClaim(life)
	if c == nil {
		u.beginLife(now, life, nil, clock, "answer")
		return
	}
	u.beginLife(now, life, &c.Heartbeat, clock, "answer")
	u.applyHeartbeat(now, c.Heartbeat)
}

// isOtherLife reports whether the answer to a call for the present life came from another life with the same id.
func (u *Controller) isOtherLife(born ident.Born) bool {
	return born != 0 && born != u.life.Born && !u.without.Has(rule.LifeBorn)
}

// beginLife makes a life the present one; all runs of the former life are gone. first is a heartbeat of the new life, or nil if none has
// come. clock is a reading of its clock; zero if there is none.
func (u *Controller) beginLife(now time.Time, life ident.UpstreamLife, first *lives.Heartbeat, clock call.Clock, why string) {
	hadLife, sameID := u.hasLife, u.hasLife && u.life.ID == life.ID
	if hadLife {
		u.lives.RecordEnded(u.life)
		u.reportLoss(now, u.life, fleet.UpstreamGone)
	}
	u.lives.RecordPresent(life)
	u.hasLife, u.life, u.lifeBegan, u.lastAnswerAt, u.lastAliveAt = true, life, now, now, now
	u.described, u.roomReported = first != nil, false
	u.runsKnown, u.failedHolds, u.draining, u.saidEnded = false, 0, false, false
	u.nextHoldAt, u.nextPollAt = time.Time{}, time.Time{}
	u.holding, u.polling = false, false // calls in flight were meant for the former life
	u.lastSequence, u.listedClock, u.ends = 0, 0, ends.Tracker{}
	clear(u.strays)
	if first != nil {
		u.info = first.Upstream
	}
	u.lease.Reset(now, clock, sameID)
	u.sharedID, u.minToken = sameID, u.lease.Token()
	u.health, u.coldUntil, u.cold = health.Health{}, time.Time{}, false
	u.observer.LifeBegun(life, why, u.described)
	if hadLife {
		u.carryRunsOver(now, sameID)
	}
	clear(u.finishedUnlisted)
	if u.described {
		u.sendUpstream()
	}
	u.markAllDirty()
	u.callHold(now)
}

// carryRunsOver handles the runs of the former life. Runs that it has listed are lost. If the new life has the same id, it may have
// accepted the calls for the other runs: these count as present until the new life has listed what runs, in the answer to a call whose
// token makes earlier calls that are still on their way harmless.
func (u *Controller) carryRunsOver(now time.Time, sameID bool) {
	for _, r := range u.sortedRuns() {
		if !sameID || r.listed {
			u.finish(now, r, job.Lost, fleet.UpstreamGone, "")
			continue
		}
		r.phase, r.provableFrom, r.fromFormerLife = unsure, time.Time{}, true
		if r.stop != nil {
			r.stop.inFlight, r.stop.ackedAt, r.stop.sentAt = false, time.Time{}, time.Time{}
		}
	}
}

// Recall adopts the life that an earlier incarnation of the agent knew, before the first heartbeat of that life. If the life has ended,
// the answer to the first call says so. Otherwise that answer brings the first reading of the life's clock.
func (u *Controller) Recall(now time.Time, s lives.Snapshot) {
	b := s.Heartbeat()
	if u.without.Has(rule.LifeBorn) {
		b.Born = 0
	}
	switch {
	case u.lives.HasEnded(b.Life()):
	case u.hasLife && u.life == b.Life():
		u.draining = u.draining || s.Draining // the heartbeat may be older than the snapshot
		u.markAllDirty()
	case u.hasLife:
		// The heartbeat that came first may be from an earlier life.
		u.claimLife(now, b)
	default:
		u.beginLife(now, b.Life(), &b, 0, "recalled")
		u.applyHeartbeat(now, b)
	}
}

// endLife ends the present life; the next one is not known yet.
func (u *Controller) endLife(now time.Time) {
	u.lives.RecordEnded(u.life)
	u.hasLife, u.runsKnown = false, false
	clear(u.strays)
	u.loseAllRuns(now, fleet.UpstreamGone)
}

// loseAllRuns ends every run as lost.
func (u *Controller) loseAllRuns(now time.Time, why fleet.Reason) {
	u.reportLoss(now, u.life, why)
	for _, r := range u.sortedRuns() {
		u.finish(now, r, job.Lost, why, "")
	}
}

// UpstreamLeft handles an upstream's message that it has ended. The upstream sends it shortly before it ends, or seconds before if the
// acknowledgement is lost. The message doesn't say which life sent it: where lives share an id, it may be a delayed one of a former life.
// So the present life gets no more work until its next heartbeat, and its runs are lost only once their lease has lapsed or another life
// answers. Where lives differ in their ids, a life without runs ends at once.
func (u *Controller) UpstreamLeft(now time.Time, id ident.UpstreamID) {
	switch {
	case !u.hasLife || u.life.ID != id:
		u.lives.RecordEnded(ident.UpstreamLife{ID: id})
	case u.life.Born == 0 && len(u.runs) == 0:
		u.endLife(now)
	default:
		u.saidEnded = true
	}
	u.markAllDirty()
}
