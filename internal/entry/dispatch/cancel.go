package dispatch

import (
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
)

// CancelResult tells what a cancellation has found at this entry.
type CancelResult string

// The results of a cancellation.
const (
	// CancelledNothing: this entry has nothing of the job, or only runs that are being stopped.
	CancelledNothing CancelResult = "nothing"
	// CancelledPart: what this entry had of the job has ended, and another entry may hold the job as well.
	CancelledPart CancelResult = "part"
	// CancelledJob: this entry held the job, which has ended.
	CancelledJob CancelResult = "job"
)

// Cancel ends a job that is not kept at its caller's request.
func (t *Table) Cancel(now time.Time, id job.ID) CancelResult {
	elsewhere := t.heldElsewhere(now, id)
	withdrawn := t.cancelBelated(id)
	j := t.jobs[id]
	if j != nil && t.cancelResubmitted(j) {
		withdrawn = true
	}
	switch {
	case j != nil && !j.ending && !j.kept:
		result, state := CancelledJob, verdict.Cancelled
		if elsewhere {
			result, state = CancelledPart, verdict.Unresolved
		}
		t.close(now, j, Answer{State: state, Verdict: unfinishedVerdict(j), Reason: verdict.ByCaller})
		t.placeAll(now)
		return result
	case withdrawn:
		return CancelledPart // the request waited because its caller had sent the job before
	}
	return CancelledNothing
}

// cancelResubmitted answers and removes the requests that would start a job anew once its runs have ended, and reports whether there were any.
func (t *Table) cancelResubmitted(j *jobState) bool {
	found := len(j.resubmitted) > 0
	t.answerResubmitted(j, Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.ByCaller})
	return found
}
