package owner

import (
	"slices"
	"time"

	"hillreel/internal/entry/dispatch"
)

// waiter is a caller that waits for its job to be accepted or cancelled, or to end.
type waiter struct {
	caller dispatch.CallerID
	// deadline is when the caller stops waiting; zero means never.
	deadline time.Time
}

// waiters are callers that wait for the same event of a job.
type waiters []waiter

// add adds a caller that waits until deadline; a zero deadline means without limit.
func (w *waiters) add(c dispatch.CallerID, deadline time.Time) { *w = append(*w, waiter{c, deadline}) }

// remove removes a caller without answering it.
func (w *waiters) remove(c dispatch.CallerID) {
	*w = slices.DeleteFunc(*w, func(other waiter) bool { return other.caller == c })
}

// answerAll answers all callers and removes them.
func (w *waiters) answerAll(to dispatch.Callers, a dispatch.Answer) {
	for _, each := range *w {
		to.Answer(each.caller, a)
	}
	*w = nil
}

// answerDue answers and removes the callers whose deadline has passed.
func (w *waiters) answerDue(now time.Time, to dispatch.Callers, a dispatch.Answer) {
	var rest waiters
	for _, each := range *w {
		if each.deadline.IsZero() || now.Before(each.deadline) {
			rest = append(rest, each)
			continue
		}
		to.Answer(each.caller, a)
	}
	*w = rest
}
