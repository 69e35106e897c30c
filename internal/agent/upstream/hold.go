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
	holdRetry    = 30 * time.Millisecond
	longestRetry = 250 * time.Millisecond
	// retryShare of the time since the last answer is the pause in between.
	retryShare = 8
)

// retryPause is how long to wait before an upstream is asked again that has given no answer for a while.
func retryPause(silent time.Duration) time.Duration {
	return min(max(silent/retryShare, holdRetry), longestRetry)
}

// silent is for how long the present life has given no answer.
func (k *Keeper) silent(now time.Time) time.Duration {
	if k.began.After(k.answered) {
		return now.Sub(k.began)
	}
	return now.Sub(k.answered)
}

// hold asks the upstream what runs, unless that is under way.
func (k *Keeper) hold(now time.Time) {
	if k.holding || !k.known {
		return
	}
	k.holding = true
	c := call.Hold{Header: k.header(now), Seen: k.seen(now), Wait: k.timing.KeepAlive / holdShare}
	if k.unsure(now) {
		c.Wait = 0
		k.caller.Hold(c)
		return
	}
	// A hold without an answer may have been done: one that extended the lease would put off, each time it is
	// repeated, the moment from which on everything has surely lapsed.
	if len(k.runs) > 0 && k.failures < unreachableAfter && !k.mustLapse(now) {
		c.Until = k.lease.Extend(now)
	}
	if !k.looked {
		c.Wait = 0
	}
	k.caller.Hold(c)
}

// sureFactor times the keep-alive interval is how long after a call that the present life has answered its next life can't be there:
// 200 ms by default, and crash and start take longer. A hold is answered within a quarter of that, or was lost.
const sureFactor = 2

// unsure tells whether another life under the same id may have begun, which would take calls for its own. Until an answer says
// which life is there, nothing starts, no end is acknowledged, and no lease extended by the clock of the one before. Where
// lives are told by ids alone, the id in each call is enough.
func (k *Keeper) unsure(now time.Time) bool {
	if k.life.Born == 0 || k.without.Off(rule.LifeBorn) {
		return false
	}
	return k.failures > 0 || now.Sub(k.answered) > sureFactor*k.timing.KeepAlive
}

// holdShare: a hold waits for half of the keep-alive interval, so that a run that stands still is seen soon on an
// upstream where nothing ends.
const holdShare = 2

// look asks what runs, beside the hold that waits for an end: at once, or while a task is alone, after a short wait at the upstream.
func (k *Keeper) look(now time.Time) {
	if k.looking || !k.known || !k.looked {
		return
	}
	k.looking = true
	c := call.Hold{Header: k.header(now), Seen: k.seen(now), Look: true}
	if k.aloneRun != nil {
		c.Wait = aloneLook
	}
	k.caller.Hold(c)
}

// mustLapse tells whether the lease has to lapse: the stop of an unwanted run has gone unanswered for too long, or an
// end must count for nothing.
func (k *Keeper) mustLapse(now time.Time) bool {
	if k.ends.AnyVoid() {
		return true
	}
	if k.without.Off(rule.LapseBudget) {
		return false
	}
	for _, r := range k.runs {
		acked := r.stop != nil && !r.stop.acked.IsZero()
		if !acked && k.unwantedFor(now, r) >= k.timing.StopBudget {
			return true
		}
	}
	return false
}

// unwantedFor is for how long nobody has wanted a run. One of an entry that was not heard again is unwanted since the entry's silence was
// over, also when time passes late here and its stop was not made yet.
func (k *Keeper) unwantedFor(now time.Time, r *run) time.Duration {
	switch {
	case r.stop != nil && r.stop.unwanted:
		return now.Sub(r.stop.since)
	case k.without.Off(rule.StopSilent):
		return 0
	}
	return now.Sub(k.silentFrom(k.sessions[r.owner]))
}

// HoldDone handles the answer to a Hold.
func (k *Keeper) HoldDone(now time.Time, c call.Hold, h call.Held) {
	if asked := k.lives.Claimed(c.Life()); asked != nil {
		k.claimAnswered(now, asked, c.Header, h)
		return
	}
	if c.Life() != k.life || !k.known || c.Token < k.fence {
		return
	}
	if h.Answer == call.OK && k.reborn(h.Born) {
		k.takeUp(now, ident.UpstreamLife{ID: k.life.ID, Born: h.Born}, h.Clock)
		return
	}
	if h.Answer == call.OK {
		k.heard(now, c.Sent, c.Wait)
	}
	if c.Look {
		k.lookDone(now, c, h)
		return
	}
	k.holding = false
	switch h.Answer {
	case call.OK:
		k.holdAnswered(now, c, h)
	case call.WrongInstance:
		k.end(now)
		k.touchAll()
	case call.Fenced:
		k.lease.Outbid(now, c.Token)
		k.hold(now)
	default:
		k.holdFailed(now)
	}
}

// holdAnswered takes in the answer to a hold that was done, and makes the next one.
func (k *Keeper) holdAnswered(now time.Time, c call.Hold, h call.Held) {
	k.lease.Read(now, h.Clock)
	news := k.held(now, c, h)
	if !news && (k.ends.Len() > 0 || now.Before(k.quietUntil)) && now.Sub(c.Sent) < c.Wait/2 {
		// The upstream answers at once while it remembers ends.
		k.holdAt = now.Add(withheldPause)
		return
	}
	k.hold(now)
}

// holdFailed handles a hold without a usable answer.
func (k *Keeper) holdFailed(now time.Time) {
	k.failures++
	if k.failures < unreachableAfter {
		k.hold(now)
		return
	}
	k.holdAt = now.Add(retryPause(k.silent(now)))
	k.touchAll()
}

// withheldPause is the pause between holds that are answered at once: as long as a tick at the most, which ends it.
const withheldPause = 10 * time.Millisecond

// unreachableAfter is how many holds in a row must go unanswered for the upstream to count as unreachable. Single
// answers get lost now and then; the first repeat still extends the lease.
const unreachableAfter = 2

// lookDone handles the answer to a look. One without an answer is repeated while it is needed, after a pause: an upstream that resets
// every connection answers at once, and would be asked a thousand times a second.
func (k *Keeper) lookDone(now time.Time, c call.Hold, h call.Held) {
	k.looking = false
	if h.Answer != call.OK {
		k.lookAt = now.Add(retryPause(k.silent(now)))
		return
	}
	k.lease.Read(now, h.Clock)
	k.held(now, c, h)
	// An upstream that remembers ends answers at once; then the next tick looks again.
	if k.undecided() || k.aloneRun != nil && now.Sub(c.Sent) >= c.Wait/2 {
		k.look(now)
	}
}

// undecided tells whether some run's fate depends on the next answer.
func (k *Keeper) undecided() bool {
	for _, r := range k.runs {
		if r.phase == unsure {
			return true
		}
	}
	return false
}

// seen is the number up to which the upstream may forget ends.
func (k *Keeper) seen(now time.Time) uint64 {
	if now.Before(k.quietUntil) || k.unsure(now) {
		return 0
	}
	return k.ends.Seen()
}

// due tells whether a stop is to be sent again.
func (s *stopping) due(now time.Time) bool {
	pause := stopRetry
	if !s.acked.IsZero() {
		pause = ackedRetry
	}
	return !s.calling && now.Sub(s.sent) >= pause
}

// Tick does what time alone brings about.
func (k *Keeper) Tick(now time.Time) {
	for _, s := range k.order {
		if (s.heard || !s.linked) && !k.heardLately(now, s) {
			k.orphan(now, s.entry, "silent")
		}
	}
	k.noteCold(now)
	k.reviewPace(now)
	k.watchAlone(now)
	if k.known && !k.holding && !now.Before(k.holdAt) {
		k.hold(now)
	}
	if k.undecided() && !now.Before(k.lookAt) {
		k.look(now)
	}
	if k.failures >= unreachableAfter && len(k.runs) > 0 && k.lease.Lapsed(now) {
		k.observer.Lapsed(k.lease.Overdue(now))
		k.lease.Raise(now)
		k.loseAll(now, fleet.LeaseLapsed)
	}
	for _, r := range k.sorted() {
		if r.stop != nil && r.stop.due(now) {
			k.callStop(now, r)
		}
	}
	for _, key := range k.strayKeys() {
		if k.strays[key].IsZero() && k.known {
			// The stop before it got no answer yet or none at all; a second one does no harm.
			k.caller.Stop(call.Stop{Header: k.header(now), Task: key.Task, Run: key.Run})
		}
	}
	if k.departed && k.failures >= unreachableAfter && len(k.runs) == 0 {
		k.known, k.looked = false, false // if it lives after all, its next heartbeat says so
		k.touchAll()
	}
	k.askAgain(now)
	k.ends.Relieve(now)
	again, to := k.ends.Again(now, k.linkedEntries())
	for i, w := range again {
		k.entries.End(to[i], w.End)
	}
	if k.ends.AnyVoid() && k.lease.Lapsed(now) {
		k.observer.Lapsed(k.lease.Overdue(now))
		k.ends.Lapsed()
		k.touchAll()
	}
	k.forgetSessions(now)
	k.owners.Forget(now)
}
