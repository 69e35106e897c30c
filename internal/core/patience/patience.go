// Package patience learns how long an answer is worth waiting for, from how long answers usually take. To take a slow
// answer for a lost one costs a repetition; to wait for a lost one holds up what depends on it.
package patience

import "time"

const (
	// usualWeight is the weight of the newest answer's time in the usual time.
	usualWeight = 0.1
	// missedWeight is the weight of the limit in the usual time when no answer came within it. With one answer in twenty
	// lost, the limit stays at its least; where none comes in time, it reaches its most within a dozen calls.
	missedWeight = 0.01
)

// Patience is what was learned. One goroutine uses it at a time.
type Patience struct {
	factor             int
	usual, least, most time.Duration
}

// New returns a Patience that has learned nothing yet. It waits for factor times the usual time of an answer, but for least
// and for most at the most.
func New(factor int, least, most time.Duration) Patience {
	return Patience{factor: factor, least: least, most: most}
}

// Learn takes in the time of an answer.
func (p *Patience) Learn(took time.Duration) {
	p.usual += time.Duration(usualWeight * float64(took-p.usual))
}

// Missed takes in that no answer came within a limit.
func (p *Patience) Missed(limit time.Duration) {
	p.usual += time.Duration(missedWeight * float64(limit-p.usual))
}

// Raise takes in that other answers of the same peer take that long now.
func (p *Patience) Raise(took time.Duration) { p.usual = max(p.usual, took) }

// Limit is how long the next answer is waited for.
func (p *Patience) Limit() time.Duration {
	return min(max(time.Duration(p.factor)*p.usual, p.least), p.most)
}
