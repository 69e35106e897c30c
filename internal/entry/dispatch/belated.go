package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
)

// disconnectWait is how long a request that may have been delayed in the network is held back in case the end of its
// connection follows. It is several times the round-trip time.
const disconnectWait = 20 * time.Millisecond

// belatedRequest is a request that is held back because it may have been delayed in the network, or because another entry
// holds its job.
type belatedRequest struct {
	request Request
	// listenRemaining is how long the process still has to listen before the request is taken, provided that its caller
	// does not disconnect. It has been reduced for the time up to countedUntil.
	listenRemaining time.Duration
	countedUntil    time.Time
}

// holdBelated holds a request back until the end of its connection would have arrived. It reports whether it does so. A
// request whose job another entry holds is held back as well, since its caller may have gone there.
func (t *Table) holdBelated(now time.Time, r Request) bool {
	delayed := t.contact.mayBeDelayed(now) && !t.opts.Without.Has(rule.HearEnds)
	if t.closing || r.Kept != nil || !delayed && !t.heldElsewhere(now, r.Job) {
		return false
	}
	t.observer.Belated(&r)
	t.belated = append(t.belated, belatedRequest{request: r, listenRemaining: disconnectWait, countedUntil: now})
	return true
}

// submitBelated takes the belated requests that have waited long enough.
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
				j.announceAt = now // its caller may have disconnected unnoticed and may be about to go to another entry
			}
		}
	}
	t.dropUnusedReleases()
}

// dropBelated removes a belated request whose caller has disconnected.
func (t *Table) dropBelated(id job.ID, c CallerID) {
	t.belated = slices.DeleteFunc(t.belated, func(b belatedRequest) bool { return b.request.Job == id && b.request.Caller == c })
}

// isBelated reports whether a request for a job is held back.
func (t *Table) isBelated(id job.ID) bool {
	return slices.ContainsFunc(t.belated, func(b belatedRequest) bool { return b.request.Job == id })
}

// cancelBelated answers the belated requests for a cancelled job, and reports whether there were any.
func (t *Table) cancelBelated(id job.ID) bool {
	if !t.isBelated(id) {
		return false
	}
	t.answerBelated(id, Answer{State: verdict.Unresolved, Verdict: verdict.NotRun, Reason: verdict.ByCaller})
	return true
}

// answerBelated answers and removes the belated requests for a job.
func (t *Table) answerBelated(id job.ID, a Answer) {
	t.belated = slices.DeleteFunc(t.belated, func(b belatedRequest) bool {
		if b.request.Job == id {
			t.callers.Answer(b.request.Caller, a)
		}
		return b.request.Job == id
	})
}

// answerAllBelated answers and removes all belated requests.
func (t *Table) answerAllBelated(a Answer) {
	for _, b := range t.belated {
		t.callers.Answer(b.request.Caller, a)
	}
	t.belated = nil
}
