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
//   - A request was lost on the way, and is sent again late: hold lets it wait for the end of its connection, see belated.go.
//
// What it can't tell: callers that are cut off alone, while agents are heard.
type touch struct {
	// lastHeard is when something came last, of an agent or a caller; zero is never. silentSince is the same, or when the process last woke if that
	// was later: what came before is then still to be read.
	lastHeard, silentSince time.Time
	// agentSilent: an agent fell silent, and none was linked since; it would say something if it could.
	agentSilent bool
	// gaveUp: callers were given up, and nothing was heard since. stoodStill: the process did, and nothing was heard since.
	gaveUp, stoodStill bool
	// outageFrom and outageTo are the last pause without news, or the last few that came close together, whether news were expected or not; zero is
	// none.
	outageFrom, outageTo time.Time
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
	if !c.lastHeard.IsZero() {
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
	if c.lastHeard.IsZero() {
		c.lastHeard = now
		if !t.began.IsZero() {
			c.lastHeard = t.began // it has listened since
		}
	}
	if c.stoodStill || now.Sub(c.lastHeard) > fellSilent*t.opts.Timing.KeepAlive {
		if !c.mayBeOld(c.lastHeard) {
			c.outageFrom = c.lastHeard // else what was lost before may have been lost again
		}
		c.gaveUp, c.stoodStill, c.outageTo = false, false, now
	}
	c.lastHeard, c.silentSince = now, now
}

// firstResend is after how long a kernel sends again what was lost on the way: at least 200 ms after it was sent, and a little more on slow ways.
const firstResend = 250 * time.Millisecond

// mayBeOld tells whether what comes now may have been sent long ago. What was lost on the way is sent again after pauses that double: the last
// one before it gets through began while nothing did, and is as long as all before it and the first one.
func (c *touch) mayBeOld(now time.Time) bool {
	return !c.outageTo.IsZero() && now.Sub(c.outageTo) <= c.outageTo.Sub(c.outageFrom)+firstResend+listenFor
}

// awaitTouch gives up the callers of an entry that has heard nothing for as long as agents keep its runs. They are answered in case they are
// still there; they can send their jobs again.
func (t *Table) awaitTouch(now time.Time) {
	c := &t.touch
	expects := c.agentSilent || slices.ContainsFunc(t.order, func(a *upstreamOf) bool { return a.Linked })
	if c.gaveUp || !expects || c.lastHeard.IsZero() || now.Sub(c.silentSince) <= t.opts.Timing.Silence {
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
	t.observer.OutOfTouch(now.Sub(c.lastHeard), given)
}

// outOfTouch is for callers of whom nobody can say whether they are still there.
var outOfTouch = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.OutOfTouch}
