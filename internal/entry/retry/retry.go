// Package repeat decides what becomes of a task whose run has ended, and whether one that runs slowly is to begin anew elsewhere.
//
// It takes how the run ended and how the task and its job stand. It never lets a task run on that has ended well, nor one again whose last
// run may have ended well unheard.
package retry

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// Action is what becomes of a task.
type Action string

// The actions.
const (
	// Done: it has ended well.
	Done Action = "done"
	// JobFails: it has failed too often.
	FailJob Action = "job_fails"
	// Doubtful: it waits until the store says that its old run counts for nothing, or that its crash is stored.
	AwaitStore Action = "doubtful"
	// Again: it is placed again.
	Retry Action = "again"
)

// Ended is a run that has ended, of a job that goes on.
type End struct {
	Outcome job.Outcome
	Reason  fleet.Reason
	// Failures are the task's so far, this one included; Attempts is how many its job allows.
	Failures, MaxAttempts int
	// Kept: the job outlives its callers. StoreFirst: what is known of the task has to be stored before it starts again.
	Kept, StoreFirst bool
}

// After decides what becomes of the task.
func Decide(e End) Action {
	switch {
	case e.Outcome == job.Done:
		return Done
	case e.Outcome == job.Failed && e.Failures >= e.MaxAttempts:
		return FailJob
	case e.Kept && e.Reason == fleet.AgentSilent, e.StoreFirst:
		return AwaitStore
	}
	return Retry
}

// Worth rates a job's end; a higher one is better.
type Value int

// The ratings, from the lowest on.
const (
	Useless Value = iota
	Late
	InTime
)

// lateFactor times the objective is when a job's end is worth nothing any more; between the two it is worth little.
const lateFactor = 3

// At rates the end of a job that then has taken so long.
func Rate(took, objective time.Duration) Value {
	switch {
	case took <= objective:
		return InTime
	case took <= lateFactor*objective:
		return Late
	}
	return Useless
}

// stopTime is what a run takes to end when it is to make way: the platform's stop_ms of 50 ms at the most, and as much
// again for the way there and back and for the next start.
const stopTime = 100 * time.Millisecond

// Pays tells whether a task that would run for so long anew would end early enough for its job, which has taken so long, to be worth more than
// where it is, with so much left.
func ShouldMove(took, objective, left, anew time.Duration) bool {
	return Rate(took+stopTime+anew, objective) > Rate(took+left, objective)
}
