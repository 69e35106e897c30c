package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
)

// contact tracks whether messages from agents and callers arrive at this entry. It protects the callers of jobs that are
// not kept. Such a caller submits its job to another entry some time after it has lost its connection. The end of the
// connection would tell this entry, but may be lost as well. If this entry then continued or started the job, two entries
// would run it. This can happen in three ways, each with its own protection:
//
//   - No messages arrive while the process runs: giveUpSilentCallers gives the callers up.
//   - The process was paused, and the ends of connections have not been read yet: placeAmong places nothing while
//     listenRemaining is positive.
//   - A request was lost in the network and retransmitted late: holdBelated delays it until the end of its connection
//     would have arrived, see belated.go. The network may cut off callers alone while agents are still heard, so messages
//     from callers are also tracked separately.
type contact struct {
	// all tracks agents and callers together, callers tracks callers alone.
	all, callers outage
	// silentSince is the time of the last message, or the time at which the process last resumed if that was later:
	// messages that arrived before may not have been read yet.
	silentSince time.Time
	// agentSilent is set if an agent has become silent and none has linked since. An agent that could reach the entry would
	// have sent something.
	agentSilent bool
	// callersGivenUp is set if callers were given up and no message has arrived since. paused is set if the process was
	// paused and no message has arrived since.
	callersGivenUp, paused bool
	// listenRemaining is the time for which nothing is placed after a pause of the process. It has been reduced for the
	// time up to countedUntil.
	listenRemaining time.Duration
	countedUntil    time.Time
}

// maxListenPerTick is the part of the interval between two ticks that counts as listening. The process may have been paused
// for the rest, as happens when it gets only a share of a core. The value is less than disconnectWait and less than
// listenAfterPause, so the first tick after a pause never completes either wait.
const maxListenPerTick = 15 * time.Millisecond

// listenAfterPause is how long a process that was paused listens before it places anything: five ticks, which take 100 ms
// if they are on time.
const listenAfterPause = 5 * maxListenPerTick

// recordPause records that the process was paused.
func (c *contact) recordPause(now time.Time) {
	if !c.all.lastHeard.IsZero() {
		c.paused, c.silentSince, c.listenRemaining = true, now, listenAfterPause
	}
}

// countListening deducts the time for which the process has listened since the last tick.
func (c *contact) countListening(now time.Time) {
	c.listenRemaining -= listeningTime(c.countedUntil, now)
	c.countedUntil = now
}

// listeningTime returns how long the process has listened, with near certainty, between two times without a tick in
// between.
func listeningTime(from, to time.Time) time.Duration { return min(to.Sub(from), maxListenPerTick) }

// RecordContact records that a message from an agent or a caller has arrived. It must be called before the message is
// handled, and after Tick if the process was paused, since nothing was heard during the pause.
func (t *Table) RecordContact(now time.Time) {
	c := &t.contact
	c.all.begin(t.listensSince(now))
	c.all.recordMessage(now, c.paused || c.all.silence(now) > silentKeepAlives*t.opts.Timing.KeepAlive)
	c.callersGivenUp, c.paused, c.silentSince = false, false, now
}

// callersSilentAfter is the time without a message from any caller after which the network may have cut off callers alone.
// It has to detect the outages after which a delayed request may belong to a caller that has gone to another entry. Such a
// request was under way for longer than callers pause before they do so (1.3 s), and the entry was cut off for at least
// nearly half of that time.
const callersSilentAfter = 500 * time.Millisecond

// RecordCallerContact records that a request has arrived. It must be called in addition to RecordContact and before the
// request is handled.
func (t *Table) RecordCallerContact(now time.Time) {
	c := &t.contact.callers
	c.begin(t.listensSince(now))
	c.recordMessage(now, c.silence(now) > callersSilentAfter)
}

// listensSince returns the time at which the entry began to listen.
func (t *Table) listensSince(now time.Time) time.Time {
	if t.firstTick.IsZero() {
		return now
	}
	return t.firstTick
}

// mayBeDelayed reports whether a request that arrives now may have been sent long ago.
func (c *contact) mayBeDelayed(now time.Time) bool {
	return c.all.mayBeDelayed(now) || c.callers.mayBeDelayed(now)
}

// giveUpSilentCallers gives up all callers once the entry has received nothing for as long as agents keep its runs. The
// callers are answered in case they are still connected; they can submit their jobs again.
func (t *Table) giveUpSilentCallers(now time.Time) {
	c := &t.contact
	expectsMessages := c.agentSilent || slices.ContainsFunc(t.agentList, func(a *agentState) bool { return a.Linked })
	if c.callersGivenUp || !expectsMessages || c.all.lastHeard.IsZero() || now.Sub(c.silentSince) <= t.opts.Timing.Silence {
		return
	}
	c.callersGivenUp = true
	if t.opts.Without.Has(rule.CallersLost) {
		return
	}
	givenUp := 0
	for _, j := range t.sortedJobs() {
		if j.kept {
			continue
		}
		t.answerResubmitted(j, outOfTouch)
		if !j.ending {
			t.close(now, j, outOfTouch)
			givenUp++
		}
	}
	t.answerAllBelated(outOfTouch)
	t.observer.OutOfTouch(c.all.silence(now), givenUp)
}

// outOfTouch is the answer to callers that may no longer be connected.
var outOfTouch = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.OutOfTouch}
