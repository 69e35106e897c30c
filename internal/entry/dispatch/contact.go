package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
)

// touch is what a table knows of whether the entry is in touch with agents and callers. It is about the callers of jobs that are not kept: one that
// loses its connection sends its job to another entry after a pause, and the end of the connection, which would tell this entry, may be lost with it. A
// job that went on, or began, although its caller had gone unheard would run at two entries' wish. There are three ways in which that may be, and
// something is done for each:
//
//   - Nothing comes from anybody while the process runs: awaitTouch gives the callers up.
//   - The process stood still, and ends of connections wait to be read: place waits for listenLeft.
//   - A request was lost on the way, and is sent again late: hold lets it wait for the end of its connection, see belated.go. Callers may be cut
//     off alone, while agents are heard, so that what comes of callers counts by itself as well.
type contact struct {
	// any is about agents and callers, callers about callers alone.
	all, callers outage
	// silentSince is when something came last of anybody, or when the process last woke if that was later: what came before is then still to be read.
	silentSince time.Time
	// agentSilent: an agent fell silent, and none was linked since; it would say something if it could.
	agentSilent bool
	// gaveUp: callers were given up, and nothing was heard since. stoodStill: the process did, and nothing was heard since.
	callersGivenUp, paused bool
	// listenLeft is for how long nothing is placed yet after a standstill; it is counted up to countedTo.
	listenRemaining time.Duration
	countedUntil    time.Time
}

// listenStep is the most of the time between two ticks in which a process is taken to have listened: it may have stood still for the rest, as one
// does that gets a part of a core. It is less than listenFor, so that nothing is over with the first tick after a standstill.
const maxListenPerTick = 15 * time.Millisecond

// listenAwake is how long a process that stood still listens before it places anything: five ticks, 100 ms if they are in time.
const listenAfterPause = 5 * maxListenPerTick

// wake notes that the process has stood still.
func (c *contact) recordPause(now time.Time) {
	if !c.all.lastHeard.IsZero() {
		c.paused, c.silentSince, c.listenRemaining = true, now, listenAfterPause
	}
}

// tick counts the time in which the process has listened since the last tick.
func (c *contact) countListening(now time.Time) {
	c.listenRemaining -= listeningTime(c.countedUntil, now)
	c.countedUntil = now
}

// listened is for how long the process has listened surely, or nearly so, between two moments without a tick between them.
func listeningTime(from, to time.Time) time.Duration { return min(to.Sub(from), maxListenPerTick) }

// Hear notes that something came, of an agent or a caller, before it is handled. While the process stood still nothing was heard: Tick comes
// first.
func (t *Table) RecordContact(now time.Time) {
	c := &t.contact
	c.all.begin(t.listensSince(now))
	c.all.recordMessage(now, c.paused || c.all.silence(now) > silentKeepAlives*t.opts.Timing.KeepAlive)
	c.callersGivenUp, c.paused, c.silentSince = false, false, now
}

// callersFellSilent is after how long without a caller their ways may have failed alone. A request matters whose caller has gone to another entry
// meanwhile: it was under way for longer than callers pause (1.3 s), and the entry was cut off for nearly half of that at least.
const callersSilentAfter = 500 * time.Millisecond

// HearCaller notes that a request came, beside Hear and before it is handled.
func (t *Table) RecordCallerContact(now time.Time) {
	c := &t.contact.callers
	c.begin(t.listensSince(now))
	c.recordMessage(now, c.silence(now) > callersSilentAfter)
}

// listensSince is when the entry began to listen.
func (t *Table) listensSince(now time.Time) time.Time {
	if t.firstTick.IsZero() {
		return now
	}
	return t.firstTick
}

// mayBeOld tells whether a request that comes now may have been sent long ago.
func (c *contact) mayBeDelayed(now time.Time) bool {
	return c.all.mayBeDelayed(now) || c.callers.mayBeDelayed(now)
}

// awaitTouch gives up the callers of an entry that has heard nothing for as long as agents keep its runs. They are answered in case they are
// still there; they can send their jobs again.
func (t *Table) giveUpSilentCallers(now time.Time) {
	c := &t.contact
	expects := c.agentSilent || slices.ContainsFunc(t.agentList, func(a *agentState) bool { return a.Linked })
	if c.callersGivenUp || !expects || c.all.lastHeard.IsZero() || now.Sub(c.silentSince) <= t.opts.Timing.Silence {
		return
	}
	c.callersGivenUp = true
	if t.opts.Without.Has(rule.CallersLost) {
		return
	}
	given := 0
	for _, j := range t.sortedJobs() {
		if j.kept {
			continue
		}
		t.answerResubmitted(j, outOfTouch)
		if !j.ending {
			t.close(now, j, outOfTouch)
			given++
		}
	}
	t.answerAllBelated(outOfTouch)
	t.observer.OutOfTouch(c.all.silence(now), given)
}

// outOfTouch is for callers of whom nobody can say whether they are still there.
var outOfTouch = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.OutOfTouch}
