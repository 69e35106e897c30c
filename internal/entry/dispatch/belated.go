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
const disconnectWait = 20 * time.Millisecond

// belatedRequest is a request that may have been on its way for long, or whose job another entry holds.
type belatedRequest struct {
	request Request
	// listenLeft is for how long the process has still to listen before it is taken, if its caller has not gone; it is counted up to countedTo.
	listenRemaining time.Duration
	countedUntil    time.Time
}

// hold lets a belated request wait until the end of its connection would have been heard, and tells whether it does. One whose job another entry
// holds waits as well: the caller may have gone there.
func (t *Table) holdBelated(now time.Time, r Request) bool {
	old := t.contact.mayBeDelayed(now) && !t.opts.Without.Has(rule.HearEnds)
	if t.closing || r.Kept != nil || !old && !t.heldElsewhere(now, r.Job) {
		return false
	}
	t.observer.Belated(&r)
	t.belated = append(t.belated, belatedRequest{request: r, listenRemaining: disconnectWait, countedUntil: now})
	return true
}

// takeBelated takes the belated requests whose time has come.
func (t *Table) submitBelated(now time.Time) {
	waiting := t.belated
	t.belated = nil
	for _, b := range waiting {
		b.listenRemaining -= listeningTime(b.countedUntil, now)
		b.countedUntil = now
		switch r := &b.request; {
		case b.listenRemaining > 0:
			t.belated = append(t.belated, b)
		case t.awaitRelease(now, r.Job) && !r.Deadline.IsZero() && !now.Before(r.Deadline):
			t.callers.Answer(r.Caller, Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Deadline})
		case t.releases[r.Job] != nil:
			t.belated = append(t.belated, b)
		default:
			t.take(now, *r)
			if j := t.jobs[r.Job]; j != nil {
				j.announceAt = now // its caller may have gone all the same, unheard, and be about to come to another entry
			}
		}
	}
	t.dropUnusedReleases()
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
	t.answerBelated(id, Answer{State: verdict.Unresolved, Verdict: verdict.NotRun, Reason: verdict.ByCaller})
	return true
}

// answerBelated answers the belated requests of a job, and forgets them.
func (t *Table) answerBelated(id job.ID, a Answer) {
	t.belated = slices.DeleteFunc(t.belated, func(b belatedRequest) bool {
		if b.request.Job == id {
			t.callers.Answer(b.request.Caller, a)
		}
		return b.request.Job == id
	})
}

// answerAllBelated answers all belated requests, and forgets them.
func (t *Table) answerAllBelated(a Answer) {
	for _, b := range t.belated {
		t.callers.Answer(b.request.Caller, a)
	}
	t.belated = nil
}
