package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
)

// touch is what a table knows of whether the entry is in touch with others. Callers that lose their connection send their jobs to other
// entries after a pause, and the end of the connection may be lost with it: while nothing comes at all, nobody can say which callers are
// still there. A job that went on afterwards could run at two entries' wish. When a process has stood still, ends of connections wait to be
// heard.
type touch struct {
	// heard is when something came last, of an agent or a caller; zero is never.
	heard time.Time
	// silenced: an agent fell silent, and none was linked since; it would say something if it could.
	silenced bool
	// listens is from when on something is listened for: when something was heard last, or the process woke.
	listens time.Time
	// lost is true once nothing was heard for so long, though something should have been, that callers were given up; asleep from a standstill
	// on until something is heard.
	lost, asleep bool
	// The last pause without news, or the last few that came close together, were from gone until back, whether something was expected or not.
	gone, back time.Time
	// listening is for how long nothing is placed yet, after a standstill; ticked is up to when that is counted.
	listening time.Duration
	ticked    time.Time
}

// listenFor is how long a request that may have been on its way for long waits for the end of its connection, which comes behind it: the
// way there and back several times over.
const listenFor = 20 * time.Millisecond

// listenStep is the most of the time between two ticks in which a process is taken to have listened: it may have stood still for the rest, as one
// does that gets a part of a core. It is less than listenFor, so that nothing is over with the first tick after a standstill.
const listenStep = 15 * time.Millisecond

// listenAwake is how long a process that stood still listens before it places anything: five ticks, 100 ms if they are in time.
const listenAwake = 5 * listenStep

// wake notes that the process has stood still.
func (c *touch) wake(now time.Time) {
	if !c.heard.IsZero() {
		c.asleep, c.listens, c.listening = true, now, listenAwake
	}
}

// tick counts the time in which the process has listened since the last tick.
func (c *touch) tick(now time.Time) {
	c.listening -= listened(c.ticked, now)
	c.ticked = now
}

// listened is for how long the process has listened surely, or nearly so, between two moments without a tick between them.
func listened(from, to time.Time) time.Duration { return min(to.Sub(from), listenStep) }

// Hear notes that something came, of an agent or a caller, before it is handled. While the process stood still nothing was heard: Tick comes
// first.
func (t *Table) Hear(now time.Time) {
	c := &t.touch
	if c.heard.IsZero() {
		c.heard = now
		if !t.began.IsZero() {
			c.heard = t.began // it has listened since
		}
	}
	if c.asleep || now.Sub(c.heard) > fellSilent*t.opts.Timing.KeepAlive {
		if !c.belated(c.heard) {
			c.gone = c.heard // else what was lost before may have been lost again
		}
		c.lost, c.asleep, c.back = false, false, now
	}
	c.heard, c.listens = now, now
}

// firstResend is after how long a kernel sends again what was lost on the way: at least 200 ms after it was sent, and a little more on slow ways.
const firstResend = 250 * time.Millisecond

// belated tells whether what comes now may have been sent long ago. What was lost on the way is sent again after pauses that double: the last
// one before it gets through began while nothing did, and is as long as all before it and the first one.
func (c *touch) belated(now time.Time) bool {
	return !c.back.IsZero() && now.Sub(c.back) <= c.back.Sub(c.gone)+firstResend+listenFor
}

// awaitTouch gives up the callers of an entry that has heard nothing for as long as agents keep its runs. They are answered in case they are
// still there; they can send their jobs again.
func (t *Table) awaitTouch(now time.Time) {
	c := &t.touch
	expects := c.silenced || slices.ContainsFunc(t.order, func(a *upstreamOf) bool { return a.Linked })
	if c.lost || !expects || c.heard.IsZero() || now.Sub(c.listens) <= t.opts.Timing.Silence {
		return
	}
	c.lost = true
	if t.opts.Without.Off(rule.CallersLost) {
		return
	}
	for _, j := range t.sortedJobs() {
		if j.kept {
			continue
		}
		t.answerAgain(j, outOfTouch)
		if !j.ending {
			t.close(now, j, outOfTouch)
		}
	}
}

// outOfTouch is for callers of whom nobody can say whether they are still there.
var outOfTouch = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.OutOfTouch}

// belatedRequest is a request that may have been on its way for long.
type belatedRequest struct {
	request Request
	// listens is for how long the process has to listen still before it is taken, if its caller has not gone; it is counted up to ticked.
	listens time.Duration
	ticked  time.Time
}

// hold lets a belated request wait until the end of its connection would have been heard, and tells whether it does.
func (t *Table) hold(now time.Time, r Request) bool {
	if t.closing || r.Kept != nil || !t.touch.belated(now) || t.opts.Without.Off(rule.HearEnds) {
		return false
	}
	t.belated = append(t.belated, belatedRequest{r, listenFor, now})
	return true
}

// takeBelated takes the belated requests whose time has come.
func (t *Table) takeBelated(now time.Time) {
	waiting := t.belated
	t.belated = nil
	for _, b := range waiting {
		b.listens -= listened(b.ticked, now)
		b.ticked = now
		if b.listens > 0 {
			t.belated = append(t.belated, b)
			continue
		}
		t.take(now, b.request)
	}
}

// dropBelated forgets a belated request whose caller has gone.
func (t *Table) dropBelated(id job.ID, c CallerID) {
	t.belated = slices.DeleteFunc(t.belated, func(b belatedRequest) bool { return b.request.Job == id && b.request.Caller == c })
}

// isBelated tells whether a request of a job is held.
func (t *Table) isBelated(id job.ID) bool {
	return slices.ContainsFunc(t.belated, func(b belatedRequest) bool { return b.request.Job == id })
}

// cancelBelated answers the belated requests of a job that is cancelled, and tells whether there were some.
func (t *Table) cancelBelated(id job.ID) bool {
	if !t.isBelated(id) {
		return false
	}
	t.belated = slices.DeleteFunc(t.belated, func(b belatedRequest) bool {
		if b.request.Job == id {
			t.callers.Answer(b.request.Caller, Answer{State: verdict.Unresolved, Verdict: verdict.NotRun, Reason: verdict.ByCaller})
		}
		return b.request.Job == id
	})
	return true
}

// refuseBelated answers the belated requests of an entry that is about to end: nothing of them has run.
func (t *Table) refuseBelated() {
	for _, b := range t.belated {
		t.callers.Answer(b.request.Caller, refused(verdict.Leaving))
	}
	t.belated = nil
}
