package health

import "time"

// The parameters of StallLimit. Upstreams list progress in whole percent, so that a sound run stands still for a hundredth of its time.
const (
	// A run may go without progress for stallBase plus stallShare of its time. Estimates are off by 40% and upstreams by 25%, so that a sound
	// run advances at least once in a twentieth of this limit.
	stallBase  = 50 * time.Millisecond
	stallShare = 0.25
	// unknownStallLimit is the limit for a run of which neither an estimate nor progress is known. A run of 100 s advances within it.
	unknownStallLimit = time.Second
	// maxStallLimit bounds the limit of a run whose estimate is far too high.
	maxStallLimit = 10 * time.Second
	// maxOverestimate is how many times as long as its own progress says a run may be believed to take by its estimate.
	maxOverestimate = 10
	// maxStallDoublings bounds how often the limit is doubled for a task whose earlier runs were stopped at it.
	maxStallDoublings = 4
)

// RunTime is what is known of the time that a run takes as a whole. Zero times are not known.
type RunTime struct {
	// Estimate is what the run's caller says. It may be far off in both directions.
	Estimate time.Duration
	// Projected follows from the progress that the run has made so far.
	Projected time.Duration
	// Stalls is the number of earlier runs of the task that were stopped because they made no progress. A task that would stall anywhere is
	// longer than it seems.
	Stalls uint32
}

// expected returns how long the run should take as a whole; zero if it is not known.
func (r RunTime) expected() time.Duration {
	if r.Projected == 0 {
		return r.Estimate
	}
	return max(r.Projected, min(r.Estimate, maxOverestimate*r.Projected))
}

// StallLimit returns how long a run may go without progress before it counts as stalled.
func StallLimit(r RunTime) time.Duration {
	limit := unknownStallLimit
	if expected := r.expected(); expected > 0 {
		limit = min(stallBase+time.Duration(stallShare*float64(expected)), maxStallLimit)
	}
	return limit << min(r.Stalls, maxStallDoublings)
}
