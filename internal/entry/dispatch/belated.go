package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
)

// listenFor is how long a request that may have been on its way for long waits for the end of its connection, which comes behind it: the
// way there and back several times over.
const listenFor = 20 * time.Millisecond

// belatedRequest is a request that may have been on its way for long.
type belatedRequest struct {
	request Request
	// listenLeft is for how long the process has still to listen before it is taken, if its caller has not gone; it is counted up to countedTo.
	listenLeft time.Duration
	countedTo  time.Time
}

// hold lets a belated request wait until the end of its connection would have been heard, and tells whether it does.
func (t *Table) hold(now time.Time, r Request) bool {
	if t.closing || r.Kept != nil || !t.touch.mayBeOld(now) || t.opts.Without.Off(rule.HearEnds) {
		return false
	}
	t.observer.Belated(&r)
	t.belated = append(t.belated, belatedRequest{r, listenFor, now})
	return true
}

// takeBelated takes the belated requests whose time has come.
func (t *Table) takeBelated(now time.Time) {
	waiting := t.belated
	t.belated = nil
	for _, b := range waiting {
		b.listenLeft -= listened(b.countedTo, now)
		b.countedTo = now
		if b.listenLeft > 0 {
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
