// Package demand estimates the demand on an entry: by how much it exceeds capacity, and which jobs are resubmitted.
package demand

import (
	"math"
	"time"
)

const (
	// fullPressure is the fraction of refused jobs at which Level is 1 and jobs wait for the minimum time; below it the
	// reduction is proportional. A lower value would refuse more jobs in bursts that drain by themselves.
	fullPressure = 0.10
	// pressureDecay is the time constant with which older jobs lose weight. It is longer than the wave of callers that
	// resubmit their jobs after a short outage.
	pressureDecay = 3 * time.Second
	// priorJobs is added to the number of answered jobs, so that a few refusals after a quiet period do not count as
	// pressure.
	priorJobs = 5
)

// Pressure estimates the fraction of recent jobs that were refused for lack of capacity. The zero value has seen no jobs.
type Pressure struct {
	// refused and answered are job counts, in which older jobs have less weight. at is the time for which they were
	// computed.
	refused, answered float64
	at                time.Time
}

// decay reduces the weight of older jobs.
func (p *Pressure) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(pressureDecay))
	p.refused, p.answered, p.at = p.refused*keep, p.answered*keep, now
}

// Record adds a job that was completed or was refused for lack of capacity.
func (p *Pressure) Record(now time.Time, refused bool) {
	p.decay(now)
	p.answered++
	if refused {
		p.refused++
	}
}

// Level returns 0 if no jobs are refused, and 1 if so many are refused that waiting longer helps nobody.
func (p *Pressure) Level(now time.Time) float64 {
	p.decay(now)
	return min(p.refused/(p.answered+priorJobs)/fullPressure, 1)
}
