// Package health rates an upstream by how its runs end and progress: whether it is to be trusted with work, and how fast it is.
package health

import (
	"math"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// The parameters that distinguish failing and stalled upstreams from sound ones.
const (
	// failureWeight is the weight of the newest end in the failure score: three consecutive failures raise the score above suspectAbove.
	failureWeight = 0.2
	suspectAbove  = 0.45
	// trustBelow is the score below which an upstream is no longer suspect, after three or four consecutive good probes.
	trustBelow = 0.25
	// probePause is the pause after a probe that failed.
	probePause = 400 * time.Millisecond
	// probeTurnLength is how long an entry may send a probe before the turn passes to another entry.
	probeTurnLength = 100 * time.Millisecond
	// paceWindow is how much time of runs the pace is based on. Estimates are off by 40%, so that a few runs say little; an upstream with
	// ten present runs shows within 0.2 s that it has become slow.
	paceWindow = 3 * time.Second
	// maxPaceRatio bounds how much slower than its estimate a run counts in the pace. Upstreams that became slow are eight times slower; what
	// exceeds that tells of the estimate.
	maxPaceRatio = 10
)

// Health rates one upstream. The zero Health is that of a sound upstream.
type Health struct {
	failureScore float64
	suspect      bool
	// probeAt is when the next probe may begin; probes counts the probes, so that all entries get a turn.
	probeAt time.Time
	probes  int
	// The pace is the ratio of actual, the time that recent runs took, to expected, the time that they should have taken by their
	// estimates.
	actual, expected float64
}

// RecordStart records the start of a run.
func (h *Health) RecordStart() {
	if h.suspect {
		h.probes++
	}
}

// RecordFailure records that a run or a start failed, through a fault of the upstream as far as is known.
func (h *Health) RecordFailure(now time.Time) {
	h.failureScore += failureWeight * (1 - h.failureScore)
	h.probeAt = now.Add(probePause)
	if h.failureScore > suspectAbove {
		h.suspect = true
	}
}

// RecordSuccess records that a run ended well.
func (h *Health) RecordSuccess(now time.Time) {
	h.failureScore -= failureWeight * h.failureScore
	if h.suspect {
		h.probeAt = now
	}
	if h.failureScore < trustBelow {
		h.suspect = false
	}
}

// IsSuspect reports whether the upstream gets only probes.
func (h *Health) IsSuspect() bool { return h.suspect }

// IsProbeDue reports whether the next probe may begin.
func (h *Health) IsProbeDue(now time.Time) bool { return !now.Before(h.probeAt) }

// SelectProber returns the entry that may send the next probe; entries must not be empty. An entry that sends nothing loses its turn
// after a while.
func (h *Health) SelectProber(now time.Time, entries []ident.Incarnation) ident.Incarnation {
	turn := int(now.Sub(h.probeAt) / probeTurnLength)
	return entries[(h.probes+turn)%len(entries)]
}

// RecordProgress updates the pace: a run took actual for progress that should take expected by its estimate. A run without an estimate says
// nothing.
func (h *Health) RecordProgress(actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	expected = max(expected, actual/maxPaceRatio)
	keep := math.Exp(-float64(actual) / float64(paceWindow))
	h.actual = h.actual*keep + float64(actual)
	h.expected = h.expected*keep + float64(expected)
}

// Pace returns the ratio of recent run times to their estimates; zero if it is unknown.
func (h *Health) Pace() float64 {
	if h.expected == 0 {
		return 0
	}
	return h.actual / h.expected
}

// ForgetPace discards the pace, when the past pace says nothing about the future one.
func (h *Health) ForgetPace() { h.actual, h.expected = 0, 0 }

// IsSlow reports whether the upstream is slow compared with others. median is the median of all paces; zero if it is unknown.
func (h *Health) IsSlow(median float64) bool { return fleet.Slow(h.Pace(), median) }
