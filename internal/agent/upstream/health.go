package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// How failing and stalling upstreams are told from sound ones.
const (
	// badWeight is the weight of the newest end: three bad ends in a row pass suspectAbove.
	badWeight    = 0.2
	suspectAbove = 0.45
	// soundBelow ends the suspicion, after three or four good probes in a row.
	soundBelow = 0.25
	// probePause follows a probe that went wrong.
	probePause = 400 * time.Millisecond
	// probeTurn is how long an entry has to send a probe before it is another entry's turn.
	probeTurn = 100 * time.Millisecond
	// paceWeight is the weight of the newest sample of the pace; estimates are off by 40%, so single ones tell little.
	paceWeight = 0.1
	// stallFloor and stallShare of the estimate are how long a run may show no progress. Estimates are off by
	// 40% and upstreams by 25%, so a sound run advances at least once in a twentieth of this.
	stallFloor = 50 * time.Millisecond
	stallShare = 0.25
	// samplePercent is from which progress on a run says how fast its upstream is.
	samplePercent = 20
)

// health is what an agent believes of its upstream's soundness.
type health struct {
	badness float64
	suspect bool
	// probeAt is when the next probe may begin; probes counts them, to give all entries a turn.
	probeAt time.Time
	probes  int
	// pace is the recent ratio of run time to estimate.
	pace float64
}

func (h *health) started() {
	if h.suspect {
		h.probes++
	}
}

func (h *health) bad(now time.Time) {
	h.badness += badWeight * (1 - h.badness)
	h.probeAt = now.Add(probePause)
	if h.badness > suspectAbove {
		h.suspect = true
	}
}

func (h *health) good(now time.Time) {
	h.badness -= badWeight * h.badness
	if h.suspect {
		h.probeAt = now
	}
	if h.badness < soundBelow {
		h.suspect = false
	}
}

// judge learns from the end of a run.
func (k *Keeper) judge(now time.Time, r *run, e fleet.End) {
	switch e.Outcome {
	case job.Done:
		k.health.good(now)
		if !r.sampled {
			k.paceSample(now.Sub(r.begun), r.estimate)
		}
	case job.Failed:
		// A job that has failed elsewhere says nothing of this upstream.
		if r.earlier == 0 {
			k.health.bad(now)
		}
	case job.Stalled:
		k.health.bad(now)
	}
}

func (k *Keeper) paceSample(took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	if k.health.pace == 0 {
		k.health.pace = ratio
		return
	}
	k.health.pace += paceWeight * (ratio - k.health.pace)
}

// sample learns the pace from a run that is well under way.
func (k *Keeper) sample(now time.Time, r *run) {
	if r.sampled || r.percent < samplePercent {
		return
	}
	r.sampled = true
	k.paceSample(now.Sub(r.begun)*100/time.Duration(r.percent), r.estimate)
}

// stalled tells whether a run has made no progress for too long.
func (k *Keeper) stalled(now time.Time, r *run) bool {
	if r.phase != running || r.percent >= 100 {
		return false
	}
	allowed := stallFloor + time.Duration(stallShare*float64(r.estimate))
	return now.Sub(r.advanced) > allowed
}
