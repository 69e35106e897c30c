package owner

import (
	"slices"
	"time"

	"hillreel/internal/entry/dispatch"
)

// waiter is a caller that waits for its job to be accepted or cancelled, or to end.
type waiter struct {
	caller dispatch.CallerID
	// deadline is until when it waits; zero is for as long as it takes.
	deadline time.Time
}

// waiters are the callers that wait for the same of a job.
type waiters []waiter

// add lets a caller wait until a deadline; zero is for as long as it takes.
func (w *waiters) add(c dispatch.CallerID, deadline time.Time) { *w = append(*w, waiter{c, deadline}) }

// leave lets a caller go that waits no longer.
func (w *waiters) remove(c dispatch.CallerID) {
	*w = slices.DeleteFunc(*w, func(one waiter) bool { return one.caller == c })
}

// answer answers all.
func (w *waiters) answerAll(to dispatch.Callers, a dispatch.Answer) {
	for _, one := range *w {
		to.Answer(one.caller, a)
	}
	*w = nil
}

// answerDue answers those whose deadline has come.
func (w *waiters) answerDue(now time.Time, to dispatch.Callers, a dispatch.Answer) {
	var rest waiters
	for _, one := range *w {
		if one.deadline.IsZero() || now.Before(one.deadline) {
			rest = append(rest, one)
			continue
		}
		to.Answer(one.caller, a)
	}
	*w = rest
}
