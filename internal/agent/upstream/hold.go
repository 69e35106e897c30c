package upstream

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
)

// An upstream that gave no usable answer is called again after a pause. Within the lease of its runs (400 ms by default) an answer still
// saves the runs, and the pause is short. Later, an answer only shows that the upstream is back, and the pause grows with the time since
// the last answer: an upstream that refuses or resets connections costs a new connection for each call. In four seconds without an answer
// this makes 34 calls, where a fixed pause of 30 ms makes 130. A heartbeat of a new life doesn't wait for the pause: the upstream is
// queried at once.
const (
	// shortestRetry and longestRetry bound the pause after a failed hold.
	shortestRetry = 30 * time.Millisecond
	longestRetry  = 250 * time.Millisecond
	// The pause is the time since the last answer divided by retryPauseDivisor, within these bounds.
	retryPauseDivisor = 8
)

// retryPause returns the pause before the next call to an upstream that has not answered for a time of silent.
func retryPause(silent time.Duration) time.Duration {
	return min(max(silent/retryPauseDivisor, shortestRetry), longestRetry)
}

// silentFor returns how long the present life has not answered.
func (u *Controller) silentFor(now time.Time) time.Duration {
	if u.lifeBegan.After(u.answeredHoldSentAt) {
		return now.Sub(u.lifeBegan)
	}
	return now.Sub(u.answeredHoldSentAt)
}

// callHold makes a hold call, which asks the upstream what runs and what has ended, unless one is in flight.
func (u *Controller) callHold(now time.Time) {
	if u.holding || !u.hasLife {
		return
	}
	u.holding = true
	c := call.Hold{Header: u.header(now), Seen: u.ackedUpTo(now), Wait: u.timing.KeepAlive / holdWaitDivisor}
	if u.mayHaveRestarted(now) {
		c.Wait = 0
		u.caller.Hold(c)
		return
	}
	// The upstream may have carried out a hold that got no answer. Repeated holds that extend the lease would each put off the time at
	// which the lease has certainly lapsed.
	if len(u.runs) > 0 && u.failedHolds < unreachableAfter && !u.mustLetLeaseLapse(now) {
		c.LeaseUntil = u.lease.Extend(now)
	}
	if !u.runsKnown {
		c.Wait = 0
	}
	u.caller.Hold(c)
}

// restartKeepAlives times the keep-alive interval, 200 ms by default, is the time after an answered call within which the next life can't
// have begun: a crash and a start take longer. A hold is answered within a quarter of that time, or was lost.
const restartKeepAlives = 2

// mayHaveRestarted reports whether another life under the same id may have begun, which would accept calls that are meant for the present
// one. Until an answer says which life is there, the agent starts nothing, acknowledges no end, and extends no lease by the clock of the
// former life. Where lives differ in their ids, the id in each call is enough.
func (u *Controller) mayHaveRestarted(now time.Time) bool {
	if u.life.Born == 0 || u.without.Has(rule.LifeBorn) {
		return false
	}
	return u.failedHolds > 0 || now.Sub(u.answeredHoldSentAt) > restartKeepAlives*u.timing.KeepAlive
}

// holdWaitDivisor: a hold waits at the upstream for the keep-alive interval divided by this, so that a stalled run is noticed soon on an
// upstream where nothing ends.
const holdWaitDivisor = 2

// callPoll makes a poll call: it asks what runs while a hold waits for the next end. The upstream answers at once or, while a task is
// alone, after a short wait.
func (u *Controller) callPoll(now time.Time) {
	if u.polling || !u.hasLife || !u.runsKnown {
		return
	}
	u.polling = true
	c := call.Hold{Header: u.header(now), Seen: u.ackedUpTo(now), Poll: true}
	if u.aloneRun != nil {
		c.Wait = alonePollWait
	}
	u.caller.Hold(c)
}

// mustLetLeaseLapse reports whether the lease must not be extended: the stop of an unwanted run has gone unanswered for too long, or an
// end was made void.
func (u *Controller) mustLetLeaseLapse(now time.Time) bool {
	if u.ends.HasVoid() {
		return true
	}
	if u.without.Has(rule.LapseBudget) {
		return false
	}
	for _, r := range u.runs {
		acked := r.stop != nil && !r.stop.ackedAt.IsZero()
		if !acked && u.unwantedFor(now, r) >= u.timing.StopBudget {
			return true
		}
	}
	return false
}

// unwantedFor returns how long the run has been unwanted. A run of a silent entry is unwanted from the entry's silence deadline on, also
// if a late tick has not yet begun to stop it.
func (u *Controller) unwantedFor(now time.Time, r *run) time.Duration {
	switch {
	case r.stop != nil && r.stop.unwanted:
		return now.Sub(r.stop.urgentSince)
	case u.without.Has(rule.StopSilent):
		return 0
	}
	return now.Sub(u.silenceDeadline(u.sessions[r.owner]))
}

// HoldDone handles the answer to a hold, a poll, or the query of a claim.
func (u *Controller) HoldDone(now time.Time, c call.Hold, h call.HoldResult) {
	if claim := u.lives.FindClaim(c.Life()); claim != nil {
		u.handleClaimAnswer(now, claim, c.Header, h)
		return
	}
	if c.Life() != u.life || !u.hasLife || c.Token < u.minToken {
		return
	}
	if h.Answer == call.OK && u.isOtherLife(h.Born) {
		u.adoptLife(now, ident.UpstreamLife{ID: u.life.ID, Born: h.Born}, h.Clock)
		return
	}
	if h.Answer == call.OK {
		u.recordAnswer(now, c.Sent, c.Wait)
	}
	if c.Poll {
		u.handlePoll(now, c, h)
		return
	}
	u.holding = false
	switch h.Answer {
	case call.OK:
		u.handleHoldAnswer(now, c, h)
	case call.WrongInstance:
		u.endLife(now)
		u.markAllDirty()
	case call.Fenced:
		u.lease.RaiseTokenAbove(now, c.Token)
		u.callHold(now)
	default:
		u.handleHoldFailure(now)
	}
}

// handleHoldAnswer applies the answer to a hold that was carried out, and makes the next hold.
func (u *Controller) handleHoldAnswer(now time.Time, c call.Hold, h call.HoldResult) {
	u.lease.RecordClock(now, h.Clock)
	hasNewEnd := u.applyListing(now, c, h)
	if !hasNewEnd && (u.ends.Len() > 0 || now.Before(u.noAckUntil)) && now.Sub(c.Sent) < c.Wait/2 {
		// While the upstream remembers ends, it answers without a wait.
		u.nextHoldAt = now.Add(immediateAnswerPause)
		return
	}
	u.callHold(now)
}

// handleHoldFailure handles a hold without a usable answer.
func (u *Controller) handleHoldFailure(now time.Time) {
	u.failedHolds++
	if u.failedHolds < unreachableAfter {
		u.callHold(now)
		return
	}
	u.nextHoldAt = now.Add(retryPause(u.silentFor(now)))
	u.markAllDirty()
}

// immediateAnswerPause is the pause after a hold that was answered without a wait. It is no longer than a tick; a tick makes the next
// hold.
const immediateAnswerPause = 10 * time.Millisecond

// unreachableAfter is the number of consecutive unanswered holds after which the upstream counts as unreachable. Single answers get lost
// now and then; the first repeat still extends the lease.
const unreachableAfter = 2

// handlePoll handles the answer to a poll. A poll without an answer is repeated after a pause while it is needed: an upstream that resets
// every connection fails calls at once, and would otherwise be called a thousand times a second.
func (u *Controller) handlePoll(now time.Time, c call.Hold, h call.HoldResult) {
	u.polling = false
	if h.Answer != call.OK {
		u.nextPollAt = now.Add(retryPause(u.silentFor(now)))
		return
	}
	u.lease.RecordClock(now, h.Clock)
	u.applyListing(now, c, h)
	// While the upstream remembers ends, it answers without a wait; the next tick then makes the next poll.
	if u.hasUnsureRun() || u.aloneRun != nil && now.Sub(c.Sent) >= c.Wait/2 {
		u.callPoll(now)
	}
}

// hasUnsureRun reports whether there is a run of which it is unknown whether the upstream has started it.
func (u *Controller) hasUnsureRun() bool {
	for _, r := range u.runs {
		if r.phase == unsure {
			return true
		}
	}
	return false
}

// ackedUpTo returns the number up to which the upstream may forget ends.
func (u *Controller) ackedUpTo(now time.Time) uint64 {
	if now.Before(u.noAckUntil) || u.mayHaveRestarted(now) {
		return 0
	}
	return u.ends.AckedUpTo()
}

// isDue reports whether the stop call is to be repeated now.
func (s *stopState) isDue(now time.Time) bool {
	pause := stopRetry
	if !s.ackedAt.IsZero() {
		pause = ackedRetry
	}
	return !s.inFlight && now.Sub(s.sentAt) >= pause
}

// Tick does everything that is due because time has passed.
func (u *Controller) Tick(now time.Time) {
	for _, s := range u.sessionOrder {
		if (s.hasEchoed || !s.linked) && !u.isHeardRecently(now, s) {
			u.stopOrphans(now, s.entry, "silent")
		}
	}
	u.updateCold(now)
	u.reviewPace(now)
	u.watchAlone(now)
	if u.hasLife && !u.holding && !now.Before(u.nextHoldAt) {
		u.callHold(now)
	}
	if u.hasUnsureRun() && !now.Before(u.nextPollAt) {
		u.callPoll(now)
	}
	if u.failedHolds >= unreachableAfter && len(u.runs) > 0 && u.lease.Lapsed(now) {
		u.observer.LeaseLapsed(u.lease.LapsedFor(now))
		u.lease.RaiseToken(now)
		u.loseAllRuns(now, fleet.LeaseLapsed)
	}
	for _, r := range u.sortedRuns() {
		if r.stop != nil && r.stop.isDue(now) {
			u.callStop(now, r)
		}
	}
	for _, key := range u.strayKeys() {
		if u.strays[key].IsZero() && u.hasLife {
			// The former stop call has no answer, or none yet. Another one does no harm.
			u.caller.Stop(call.Stop{Header: u.header(now), Task: key.Task, Run: key.Run})
		}
	}
	if u.saidEnded && u.failedHolds >= unreachableAfter && len(u.runs) == 0 {
		u.hasLife, u.runsKnown = false, false // if the life has not ended, its next heartbeat makes it the present one again
		u.markAllDirty()
	}
	u.requeryClaims(now)
	u.ends.VoidOld(now)
	due, to := u.ends.DueForResend(now, u.linkedEntries())
	for i, w := range due {
		u.entries.End(to[i], w.End)
	}
	if u.ends.HasVoid() && u.lease.Lapsed(now) {
		u.observer.LeaseLapsed(u.lease.LapsedFor(now))
		u.ends.DropVoid()
		u.markAllDirty()
	}
	u.forgetSessions(now)
	u.owners.Expire(now)
}
