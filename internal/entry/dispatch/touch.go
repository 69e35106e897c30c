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
type touch struct {
	// any is about agents and callers, callers about callers alone.
	any, callers outage
	// silentSince is when something came last of anybody, or when the process last woke if that was later: what came before is then still to be read.
	silentSince time.Time
	// agentSilent: an agent fell silent, and none was linked since; it would say something if it could.
	agentSilent bool
	// gaveUp: callers were given up, and nothing was heard since. stoodStill: the process did, and nothing was heard since.
	gaveUp, stoodStill bool
	// listenLeft is for how long nothing is placed yet after a standstill; it is counted up to countedTo.
	listenLeft time.Duration
	countedTo  time.Time
}

// listenStep is the most of the time between two ticks in which a process is taken to have listened: it may have stood still for the rest, as one
// does that gets a part of a core. It is less than listenFor, so that nothing is over with the first tick after a standstill.
const listenStep = 15 * time.Millisecond

// listenAwake is how long a process that stood still listens before it places anything: five ticks, 100 ms if they are in time.
const listenAwake = 5 * listenStep

// wake notes that the process has stood still.
func (c *touch) wake(now time.Time) {
	if !c.any.heard.IsZero() {
		c.stoodStill, c.silentSince, c.listenLeft = true, now, listenAwake
	}
}

// tick counts the time in which the process has listened since the last tick.
func (c *touch) tick(now time.Time) {
	c.listenLeft -= listened(c.countedTo, now)
	c.countedTo = now
}

// listened is for how long the process has listened surely, or nearly so, between two moments without a tick between them.
func listened(from, to time.Time) time.Duration { return min(to.Sub(from), listenStep) }

// Hear notes that something came, of an agent or a caller, before it is handled. While the process stood still nothing was heard: Tick comes
// first.
func (t *Table) Hear(now time.Time) {
	c := &t.touch
	c.any.begin(t.listensSince(now))
	c.any.hear(now, c.stoodStill || c.any.silent(now) > fellSilent*t.opts.Timing.KeepAlive)
	c.gaveUp, c.stoodStill, c.silentSince = false, false, now
}

// callersFellSilent is after how long without a caller their ways may have failed alone. A request matters whose caller has gone to another entry
// meanwhile: it was under way for longer than callers pause (1.3 s), and the entry was cut off for nearly half of that at least.
const callersFellSilent = 500 * time.Millisecond

// HearCaller notes that a request came, beside Hear and before it is handled.
func (t *Table) HearCaller(now time.Time) {
	c := &t.touch.callers
	c.begin(t.listensSince(now))
	c.hear(now, c.silent(now) > callersFellSilent)
}

// listensSince is when the entry began to listen.
func (t *Table) listensSince(now time.Time) time.Time {
	if t.began.IsZero() {
		return now
	}
	return t.began
}

// mayBeOld tells whether a request that comes now may have been sent long ago.
func (c *touch) mayBeOld(now time.Time) bool { return c.any.mayBeOld(now) || c.callers.mayBeOld(now) }

// awaitTouch gives up the callers of an entry that has heard nothing for as long as agents keep its runs. They are answered in case they are
// still there; they can send their jobs again.
func (t *Table) awaitTouch(now time.Time) {
	c := &t.touch
	expects := c.agentSilent || slices.ContainsFunc(t.order, func(a *upstreamOf) bool { return a.Linked })
	if c.gaveUp || !expects || c.any.heard.IsZero() || now.Sub(c.silentSince) <= t.opts.Timing.Silence {
		return
	}
	c.gaveUp = true
	if t.opts.Without.Off(rule.CallersLost) {
		return
	}
	given := 0
	for _, j := range t.sortedJobs() {
		if j.kept {
			continue
		}
		t.answerAgain(j, outOfTouch)
		if !j.ending {
			t.close(now, j, outOfTouch)
			given++
		}
	}
	t.answerAllBelated(outOfTouch)
	t.observer.OutOfTouch(c.any.silent(now), given)
}

// outOfTouch is for callers of whom nobody can say whether they are still there.
var outOfTouch = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.OutOfTouch}
