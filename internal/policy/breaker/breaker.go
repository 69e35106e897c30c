// Package breaker takes an upstream out of service that fails everything it is given, and brings it back by
// probes. Fast failures must not attract load.
package breaker

import (
	"time"
)

const (
	// Trip is how many jobs in a row must fail at an upstream before it is taken out.
	Trip = 4
	// firstPause is how long it stays out before the first probe; each failed probe doubles it.
	firstPause = 500 * time.Millisecond
	maxPause   = 15 * time.Second
	// probesNeeded is how many probes in a row must succeed.
	probesNeeded = 2
)

// State is a breaker's state.
type State string

// The states.
const (
	// Closed: work flows.
	Closed State = "closed"
	// Open: no work until the pause is over.
	Open State = "open"
	// Probing: one task at a time.
	Probing State = "probing"
)

// Breaker watches one upstream. One goroutine uses it.
type Breaker struct {
	state State
	// failures counts failures in a row of different jobs.
	failures int
	// lastJob is the job of the last failure: one job's failures count once.
	lastJob any
	pause   time.Duration
	until   time.Time
	good    int
}

// New returns a closed Breaker.
func New() *Breaker { return &Breaker{state: Closed, pause: firstPause} }

// State returns the state; an open breaker whose pause is over is probing.
func (b *Breaker) State(now time.Time) State {
	if b.state == Open && !now.Before(b.until) {
		b.state, b.good = Probing, 0
	}
	return b.state
}

// Allows tells whether the upstream may get a task now, when it holds so many. A probe is a task given to an
// upstream that holds none: one that is taken back needs no word here.
func (b *Breaker) Allows(now time.Time, holds int) bool {
	switch b.State(now) {
	case Closed:
		return true
	case Probing:
		return holds == 0
	}
	return false
}

// Succeeded notes a task that ended well.
func (b *Breaker) Succeeded() {
	b.failures, b.lastJob = 0, nil
	if b.state != Probing {
		return
	}
	b.good++
	if b.good >= probesNeeded {
		b.state, b.pause = Closed, firstPause
	}
}

// Failed notes a task of a job that failed. blame is false when tasks of its kind fail at other upstreams
// too: then the job is at fault.
func (b *Breaker) Failed(job any, blame bool, now time.Time) {
	if !blame || job == b.lastJob {
		return
	}
	b.lastJob = job
	b.failures++
	if b.state == Probing || b.state == Closed && b.failures >= Trip {
		b.open(now)
	}
}

func (b *Breaker) open(now time.Time) {
	if b.state == Probing {
		b.pause = min(2*b.pause, maxPause)
	}
	b.state, b.until = Open, now.Add(b.pause)
}
