// Package estimate learns run times per kind of task from what tasks took. Declared run times only stand in
// until a kind has been seen: users say themselves that theirs are far off.
package estimate

import (
	"time"

	"hillreel/internal/core/ident"
)

// weight is the share of the newest run time in the mean.
const weight = 0.05

// unknown stands in for a kind that nobody declared and nothing was seen of.
const unknown = 200 * time.Millisecond

// Kind names a kind of task.
type Kind struct {
	Service ident.Service
	Task    string
}

type learned struct {
	mean float64
	seen int
}

// Estimator holds what was learned. One goroutine uses it.
type Estimator struct {
	kinds map[Kind]*learned
	// learn off makes it trust what is declared.
	learn bool
}

// New returns an Estimator; without learn it only repeats declarations.
func New(learn bool) *Estimator { return &Estimator{make(map[Kind]*learned), learn} }

// Saw takes one run time.
func (e *Estimator) Saw(k Kind, took time.Duration) {
	l := e.kinds[k]
	if l == nil {
		l = &learned{}
		e.kinds[k] = l
	}
	l.seen++
	// At first the plain mean, then an exponentially weighted one.
	w := max(weight, 1/float64(l.seen))
	l.mean += w * (float64(took) - l.mean)
}

// Seen returns what was learned of a kind, whatever is declared.
func (e *Estimator) Seen(k Kind) time.Duration {
	if l := e.kinds[k]; l != nil {
		return time.Duration(l.mean)
	}
	return unknown
}

// Of returns the expected run time of a task.
func (e *Estimator) Of(k Kind, declared time.Duration) time.Duration {
	if l := e.kinds[k]; e.learn && l != nil {
		return time.Duration(l.mean)
	}
	if declared > 0 {
		return declared
	}
	return unknown
}
