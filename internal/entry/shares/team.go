package shares

import (
	"time"

	"hillreel/internal/core/verdict"
)

const (
	// burst is the time for which an unused part of a team may be used later.
	burst = 200 * time.Millisecond
	// maxRetry bounds the time after which a refused caller may try again. Operators' changes and others' demand take effect by then.
	maxRetry = 5 * time.Second
)

// team is the state of one team of a service at this entry.
type team struct {
	share Share
	// now describes the team as of the newest decision.
	now Status
	// tokens is the work, in core seconds, that the team may use at once while it is cut. It is negative after a job that was larger than
	// what was left. rate is by how much it grows in a second, and filledAt when it was last computed.
	tokens, rate float64
	filledAt     time.Time
	// reportedCut is the state of the cut that was last reported, at reportedAt.
	reportedCut bool
	reportedAt  time.Time
	refused     map[verdict.Reason]int64
}

// apply puts a decision in force. own is the demand of the team on this entry.
func (t *team) apply(now time.Time, s Status, own float64) {
	if s.Cut && !t.now.Cut {
		t.tokens, t.rate, t.filledAt = 0, 0, now
	}
	if s.Cut {
		t.fill(now)
		t.rate = s.Part * own / s.Demand
	}
	t.now = s
}

// fill adds the tokens of the time since the last call.
func (t *team) fill(now time.Time) {
	t.tokens = min(t.tokens+t.rate*now.Sub(t.filledAt).Seconds(), max(t.tokens, t.rate*burst.Seconds()))
	t.filledAt = now
}

// untilFilled returns the time until the team has tokens again.
func (t *team) untilFilled() time.Duration {
	wait := -t.tokens / t.rate
	if !(wait < maxRetry.Seconds()) { // also true if the rate is zero
		return maxRetry
	}
	return time.Duration(wait * float64(time.Second))
}
