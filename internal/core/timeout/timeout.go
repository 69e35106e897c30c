// Package timeout computes an adaptive timeout for calls from the time that answers usually take. If the timeout is too short, a slow
// answer counts as lost and the call is repeated needlessly. If it is too long, a lost answer delays everything that depends on it.
package timeout

import "time"

const (
	// answerWeight is the weight of a new answer's time in the moving average.
	answerWeight = 0.1
	// timeoutWeight is the weight of the expired limit in the moving average when no answer came within it. With one answer in
	// twenty lost, the limit stays at its minimum; if no answer comes in time, the limit reaches its maximum within a dozen calls.
	timeoutWeight = 0.01
)

// Adaptive is a timeout that follows the usual time of answers. It must not be used by several goroutines at the same time.
type Adaptive struct {
	factor            int
	average, min, max time.Duration
}

// New returns an Adaptive that has seen no answers. Its limit is factor times the average time of an answer, but not below lower and not
// above upper.
func New(factor int, lower, upper time.Duration) Adaptive {
	return Adaptive{factor: factor, min: lower, max: upper}
}

// Observe records the time of an answer.
func (a *Adaptive) Observe(took time.Duration) {
	a.average += time.Duration(answerWeight * float64(took-a.average))
}

// ObserveTimeout records that no answer came within limit.
func (a *Adaptive) ObserveTimeout(limit time.Duration) {
	a.average += time.Duration(timeoutWeight * float64(limit-a.average))
}

// RaiseTo raises the average to took if it is lower: other answers of the same peer take that long at the moment.
func (a *Adaptive) RaiseTo(took time.Duration) { a.average = max(a.average, took) }

// Limit returns how long to wait for the next answer.
func (a *Adaptive) Limit() time.Duration {
	return min(max(time.Duration(a.factor)*a.average, a.min), a.max)
}
