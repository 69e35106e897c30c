// Package demand knows what callers ask of an entry: whether it is more than there is room for, and which jobs come again.
package demand

import (
	"math"
	"time"
)

const (
	// fullPressure is the part of the jobs refused from which on nobody waits longer; below it waits are in proportion. A lower
	// one would refuse more where bursts drain by themselves.
	fullPressure = 0.10
	// pressureMemory is how long refusals count, as a time constant: longer than the wave of callers that a short outage
	// sends back.
	pressureDecay = 3 * time.Second
	// doubtfulJobs are counted as served besides, so that a few refusals after a quiet time do not count as pressure.
	priorJobs = 5
)

// Pressure knows which part of the jobs was lately refused for want of room. The zero value has seen none.
type Pressure struct {
	// refused and answered count jobs, older ones less; at is when they were brought up to date.
	refused, answered float64
	at                time.Time
}

// fade lets older jobs count less.
func (p *Pressure) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(pressureDecay))
	p.refused, p.answered, p.at = p.refused*keep, p.answered*keep, now
}

// Note takes in a job that was complete, or refused for want of room.
func (p *Pressure) Record(now time.Time, refused bool) {
	p.decay(now)
	p.answered++
	if refused {
		p.refused++
	}
}

// Level is 0 while no job is refused, and 1 where so many are that waiting helps nobody.
func (p *Pressure) Level(now time.Time) float64 {
	p.decay(now)
	return min(p.refused/(p.answered+priorJobs)/fullPressure, 1)
}
