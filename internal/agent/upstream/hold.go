package upstream

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
)

// An upstream that gives no usable answer is asked again after a pause. Within the lease of its runs, 400 ms by default, an answer still
// saves them, and the pause is short; later it only says that the upstream is back, and grows with the time since the last
// answer: each call to one that refuses or resets connections opens a new one, which has a price. In four seconds of that
// 34 calls are made, where a fixed pause of 30 ms makes 130. A new life's heartbeat is answered by a question at once.
const (
	// holdRetry is the shortest pause after a hold that failed, and longestRetry the longest.
	shortestRetry = 30 * time.Millisecond
	longestRetry  = 250 * time.Millisecond
	// retryShare of the time since the last answer is the pause in between.
	retryPauseDivisor = 8
)

// retryPause is how long to wait before an upstream is asked again that has given no answer for a while.
func retryPause(silent time.Duration) time.Duration {
	return min(max(silent/retryPauseDivisor, shortestRetry), longestRetry)
}

// silent is for how long the present life has given no answer.
func (k *Controller) silentFor(now time.Time) time.Duration {
	if k.lifeBegan.After(k.answeredHoldSentAt) {
		return now.Sub(k.lifeBegan)
	}
	return now.Sub(k.answeredHoldSentAt)
}

// hold asks the upstream what runs, unless that is under way.
func (k *Controller) callHold(now time.Time) {
	if k.holding || !k.hasLife {
		return
	}
	k.holding = true
	c := call.Hold{Header: k.header(now), Seen: k.ackedUpTo(now), Wait: k.timing.KeepAlive / holdWaitDivisor}
	if k.mayHaveRestarted(now) {
		c.Wait = 0
		k.caller.Hold(c)
		return
	}
	// A hold without an answer may have been done: one that extended the lease would put off, each time it is
	// repeated, the moment from which on everything has surely lapsed.
	if len(k.runs) > 0 && k.failedHolds < unreachableAfter && !k.mustLetLeaseLapse(now) {
		c.LeaseUntil = k.lease.Extend(now)
	}
	if !k.runsKnown {
		c.Wait = 0
	}
	k.caller.Hold(c)
}

// sureFactor times the keep-alive interval is how long after a call that the present life has answered its next life can't be there:
// 200 ms by default, and crash and start take longer. A hold is answered within a quarter of that, or was lost.
const restartKeepAlives = 2

// unsure tells whether another life under the same id may have begun, which would take calls for its own. Until an answer says
// which life is there, nothing starts, no end is acknowledged, and no lease extended by the clock of the one before. Where
// lives are told by ids alone, the id in each call is enough.
func (k *Controller) mayHaveRestarted(now time.Time) bool {
	if k.life.Born == 0 || k.without.Has(rule.LifeBorn) {
		return false
	}
	return k.failedHolds > 0 || now.Sub(k.answeredHoldSentAt) > restartKeepAlives*k.timing.KeepAlive
}

// holdShare: a hold waits for half of the keep-alive interval, so that a run that stands still is seen soon on an
// upstream where nothing ends.
const holdWaitDivisor = 2

// look asks what runs, beside the hold that waits for an end: at once, or while a task is alone, after a short wait at the upstream.
func (k *Controller) callLook(now time.Time) {
	if k.looking || !k.hasLife || !k.runsKnown {
		return
	}
	k.looking = true
	c := call.Hold{Header: k.header(now), Seen: k.ackedUpTo(now), Poll: true}
	if k.aloneRun != nil {
		c.Wait = aloneLookWait
	}
	k.caller.Hold(c)
}

// mustLapse tells whether the lease has to lapse: the stop of an unwanted run has gone unanswered for too long, or an
// end must count for nothing.
func (k *Controller) mustLetLeaseLapse(now time.Time) bool {
	if k.ends.HasVoid() {
		return true
	}
	if k.without.Has(rule.LapseBudget) {
		return false
	}
	for _, r := range k.runs {
		acked := r.stop != nil && !r.stop.ackedAt.IsZero()
		if !acked && k.unwantedFor(now, r) >= k.timing.StopBudget {
			return true
		}
	}
	return false
}

// unwantedFor is for how long nobody has wanted a run. One of an entry that was not heard again is unwanted since the entry's silence was
// over, also when time passes late here and its stop was not made yet.
func (k *Controller) unwantedFor(now time.Time, r *run) time.Duration {
	switch {
	case r.stop != nil && r.stop.unwanted:
		return now.Sub(r.stop.urgentSince)
	case k.without.Has(rule.StopSilent):
		return 0
	}
	return now.Sub(k.silenceDeadline(k.sessions[r.owner]))
}

// HoldDone handles the answer to a Hold.
func (k *Controller) HoldDone(now time.Time, c call.Hold, h call.HoldResult) {
	if asked := k.lives.FindClaim(c.Life()); asked != nil {
		k.handleClaimAnswer(now, asked, c.Header, h)
		return
	}
	if c.Life() != k.life || !k.hasLife || c.Token < k.minToken {
		return
	}
	if h.Answer == call.OK && k.isOtherLife(h.Born) {
		k.adoptLife(now, ident.UpstreamLife{ID: k.life.ID, Born: h.Born}, h.Clock)
		return
	}
	if h.Answer == call.OK {
		k.recordAnswer(now, c.Sent, c.Wait)
	}
	if c.Poll {
		k.handleLook(now, c, h)
		return
	}
	k.holding = false
	switch h.Answer {
	case call.OK:
		k.handleHoldAnswer(now, c, h)
	case call.WrongInstance:
		k.endLife(now)
		k.markAllDirty()
	case call.Fenced:
		k.lease.RaiseTokenAbove(now, c.Token)
		k.callHold(now)
	default:
		k.handleHoldFailure(now)
	}
}

// holdAnswered takes in the answer to a hold that was done, and makes the next one.
func (k *Controller) handleHoldAnswer(now time.Time, c call.Hold, h call.HoldResult) {
	k.lease.RecordClock(now, h.Clock)
	news := k.applyListing(now, c, h)
	if !news && (k.ends.Len() > 0 || now.Before(k.noAckUntil)) && now.Sub(c.Sent) < c.Wait/2 {
		// The upstream answers at once while it remembers ends.
		k.nextHoldAt = now.Add(immediateAnswerPause)
		return
	}
	k.callHold(now)
}

// holdFailed handles a hold without a usable answer.
func (k *Controller) handleHoldFailure(now time.Time) {
	k.failedHolds++
	if k.failedHolds < unreachableAfter {
		k.callHold(now)
		return
	}
	k.nextHoldAt = now.Add(retryPause(k.silentFor(now)))
	k.markAllDirty()
}

// withheldPause is the pause between holds that are answered at once: as long as a tick at the most, which ends it.
const immediateAnswerPause = 10 * time.Millisecond

// unreachableAfter is how many holds in a row must go unanswered for the upstream to count as unreachable. Single
// answers get lost now and then; the first repeat still extends the lease.
const unreachableAfter = 2

// lookDone handles the answer to a look. One without an answer is repeated while it is needed, after a pause: an upstream that resets
// every connection answers at once, and would be asked a thousand times a second.
func (k *Controller) handleLook(now time.Time, c call.Hold, h call.HoldResult) {
	k.looking = false
	if h.Answer != call.OK {
		k.nextLookAt = now.Add(retryPause(k.silentFor(now)))
		return
	}
	k.lease.RecordClock(now, h.Clock)
	k.applyListing(now, c, h)
	// An upstream that remembers ends answers at once; then the next tick looks again.
	if k.hasUnsureRun() || k.aloneRun != nil && now.Sub(c.Sent) >= c.Wait/2 {
		k.callLook(now)
	}
}

// undecided tells whether some run's fate depends on the next answer.
func (k *Controller) hasUnsureRun() bool {
	for _, r := range k.runs {
		if r.phase == unsure {
			return true
		}
	}
	return false
}

// seen is the number up to which the upstream may forget ends.
func (k *Controller) ackedUpTo(now time.Time) uint64 {
	if now.Before(k.noAckUntil) || k.mayHaveRestarted(now) {
		return 0
	}
	return k.ends.AckedUpTo()
}

// due tells whether a stop is to be sent again.
func (s *stopState) isDue(now time.Time) bool {
	pause := stopRetry
	if !s.ackedAt.IsZero() {
		pause = ackedRetry
	}
	return !s.inFlight && now.Sub(s.sentAt) >= pause
}

// Tick does what time alone brings about.
func (k *Controller) Tick(now time.Time) {
	for _, s := range k.sessionOrder {
		if (s.hasEchoed || !s.linked) && !k.isHeardRecently(now, s) {
			k.stopOrphans(now, s.entry, "silent")
		}
	}
	k.updateCold(now)
	k.reviewPace(now)
	k.watchAlone(now)
	if k.hasLife && !k.holding && !now.Before(k.nextHoldAt) {
		k.callHold(now)
	}
	if k.hasUnsureRun() && !now.Before(k.nextLookAt) {
		k.callLook(now)
	}
	if k.failedHolds >= unreachableAfter && len(k.runs) > 0 && k.lease.Lapsed(now) {
		k.observer.LeaseLapsed(k.lease.LapsedFor(now))
		k.lease.RaiseToken(now)
		k.loseAllRuns(now, fleet.LeaseLapsed)
	}
	for _, r := range k.sortedRuns() {
		if r.stop != nil && r.stop.isDue(now) {
			k.callStop(now, r)
		}
	}
	for _, key := range k.strayKeys() {
		if k.strays[key].IsZero() && k.hasLife {
			// The stop before it got no answer yet or none at all; a second one does no harm.
			k.caller.Stop(call.Stop{Header: k.header(now), Task: key.Task, Run: key.Run})
		}
	}
	if k.saidEnded && k.failedHolds >= unreachableAfter && len(k.runs) == 0 {
		k.hasLife, k.runsKnown = false, false // if it lives after all, its next heartbeat says so
		k.markAllDirty()
	}
	k.requeryClaims(now)
	k.ends.VoidOld(now)
	again, to := k.ends.DueForResend(now, k.linkedEntries())
	for i, w := range again {
		k.entries.End(to[i], w.End)
	}
	if k.ends.HasVoid() && k.lease.Lapsed(now) {
		k.observer.LeaseLapsed(k.lease.LapsedFor(now))
		k.ends.DropVoid()
		k.markAllDirty()
	}
	k.forgetSessions(now)
	k.owners.Expire(now)
}
