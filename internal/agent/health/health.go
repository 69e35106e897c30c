// Package health judges an upstream by how its runs end and get on: whether it can be trusted with work, and how fast
// it is.
package health

import (
	"math"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// How failing and stalling upstreams are told from sound ones.
const (
	// badWeight is the weight of the newest end: three bad ends in a row pass suspectAbove.
	failureWeight = 0.2
	suspectAbove  = 0.45
	// soundBelow ends the suspicion, after three or four good probes in a row.
	trustBelow = 0.25
	// probePause follows a probe that went wrong.
	probePause = 400 * time.Millisecond
	// probeTurn is how long an entry has to send a probe before it is another entry's turn.
	probeTurnLength = 100 * time.Millisecond
	// paceMemory is how much time of runs the pace rests on. Estimates are off by 40%, so that a few runs tell little;
	// an upstream with ten runs under way shows that it has become slow within 0.2 s.
	paceWindow = 3 * time.Second
	// stallFloor and stallShare of the estimate are how long a run may show no progress. Estimates are off by
	// 40% and upstreams by 25%, so a sound run advances at least once in a twentieth of this.
	stallBase  = 50 * time.Millisecond
	stallShare = 0.25
)

// Health is what an agent believes of its upstream's soundness. The zero Health is that of a sound upstream.
type Health struct {
	failureScore float64
	suspect      bool
	// probeAt is when the next probe may begin; probes counts them, to give all entries a turn.
	probeAt time.Time
	probes  int
	// spent is the time of runs that the pace rests on, work what their estimates say that it should have taken.
	actual, expected float64
}

// Started notes the start of a run.
func (h *Health) RecordStart() {
	if h.suspect {
		h.probes++
	}
}

// Bad notes that a run went wrong, through the upstream's fault as far as is known.
func (h *Health) RecordFailure(now time.Time) {
	h.failureScore += failureWeight * (1 - h.failureScore)
	h.probeAt = now.Add(probePause)
	if h.failureScore > suspectAbove {
		h.suspect = true
	}
}

// Good notes that a run ended well.
func (h *Health) RecordSuccess(now time.Time) {
	h.failureScore -= failureWeight * h.failureScore
	if h.suspect {
		h.probeAt = now
	}
	if h.failureScore < trustBelow {
		h.suspect = false
	}
}

// Suspect tells whether the upstream gets nothing but probes.
func (h *Health) IsSuspect() bool { return h.suspect }

// ProbeDue tells whether the next probe may begin.
func (h *Health) IsProbeDue(now time.Time) bool { return !now.Before(h.probeAt) }

// Prober returns which of the entries may send the next probe; entries must not be empty. One that has nothing to send
// loses its turn after a while.
func (h *Health) SelectProber(now time.Time, entries []ident.Incarnation) ident.Incarnation {
	turn := int(now.Sub(h.probeAt) / probeTurnLength)
	return entries[(h.probes+turn)%len(entries)]
}

// Progress learns the pace: a run has got on, within spent, by as much as its estimate says should take work.
func (h *Health) RecordProgress(spent, work time.Duration) {
	keep := math.Exp(-float64(spent) / float64(paceWindow))
	h.actual = h.actual*keep + float64(spent)
	h.expected = h.expected*keep + float64(work)
}

// Pace is the recent ratio of run times to estimates; zero is unknown.
func (h *Health) Pace() float64 {
	if h.expected == 0 {
		return 0
	}
	return h.actual / h.expected
}

// ForgetPace forgets the pace: what it was says nothing of what it will be.
func (h *Health) ForgetPace() { h.actual, h.expected = 0, 0 }

// Slow tells whether the upstream is slow beside others; median is the median of all paces, zero when it is unknown.
func (h *Health) IsSlow(median float64) bool { return fleet.Slow(h.Pace(), median) }

// Stalled tells whether a run that has shown no progress for idle stands still.
func IsStalled(idle, estimate time.Duration) bool {
	return idle > stallBase+time.Duration(stallShare*float64(estimate))
}
