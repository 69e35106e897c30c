// Package patience learns how long an answer is worth waiting for, from how long answers usually take. To take a slow
// answer for a lost one costs a repetition; to wait for a lost one holds up what depends on it.
package timeout

import "time"

const (
	// usualWeight is the weight of the newest answer's time in the usual time.
	answerWeight = 0.1
	// missedWeight is the weight of the limit in the usual time when no answer came within it. With one answer in twenty
	// lost, the limit stays at its least; where none comes in time, it reaches its most within a dozen calls.
	timeoutWeight = 0.01
)

// Patience is what was learned. One goroutine uses it at a time.
type Adaptive struct {
	factor            int
	average, min, max time.Duration
}

// New returns a Patience that has learned nothing yet. It waits for factor times the usual time of an answer, but for least
// and for most at the most.
func New(factor int, least, most time.Duration) Adaptive {
	return Adaptive{factor: factor, min: least, max: most}
}

// Learn takes in the time of an answer.
func (p *Adaptive) Observe(took time.Duration) {
	p.average += time.Duration(answerWeight * float64(took-p.average))
}

// Missed takes in that no answer came within a limit.
func (p *Adaptive) ObserveTimeout(limit time.Duration) {
	p.average += time.Duration(timeoutWeight * float64(limit-p.average))
}

// Raise takes in that other answers of the same peer take that long now.
func (p *Adaptive) RaiseTo(took time.Duration) { p.average = max(p.average, took) }

// Limit is how long the next answer is waited for.
func (p *Adaptive) Limit() time.Duration {
	return min(max(time.Duration(p.factor)*p.average, p.min), p.max)
}
