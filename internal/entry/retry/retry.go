// Package retry decides what happens to a task whose run has ended, and whether a slow run should be started anew
// elsewhere.
//
// The decision depends on how the run ended and on the state of the task and its job. A task that has succeeded never runs
// again. A task whose last run may have succeeded unnoticed does not run again before the store has been consulted.
package retry

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// Action is what happens to a task.
type Action string

// The actions.
const (
	// Done: the task has succeeded.
	Done Action = "done"
	// FailJob: the task has failed too often, so its job fails.
	FailJob Action = "job_fails"
	// AwaitStore: the task waits until the store confirms either that its previous run does not count or that its crash is
	// stored.
	AwaitStore Action = "doubtful"
	// Retry: the task is placed again.
	Retry Action = "again"
)

// End describes the end of a run of a job that is still in progress.
type End struct {
	Outcome job.Outcome
	Reason  fleet.Reason
	// Failures counts the task's failed runs, including this one. MaxAttempts is the number of failures at which the job
	// fails.
	Failures, MaxAttempts int
	// Kept is set if the job outlives its callers. StoreFirst is set if what is known of the task must be stored before it
	// may start again.
	Kept, StoreFirst bool
}

// Decide returns what happens to the task.
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

// Value rates the end of a job; higher is better.
type Value int

// The ratings, in ascending order.
const (
	Useless Value = iota
	Late
	InTime
)

// lateFactor is the multiple of the objective after which a job's end has no value. Between the objective and this limit it
// has little value.
const lateFactor = 3

// Rate rates the end of a job that has taken the given time by then.
func Rate(took, objective time.Duration) Value {
	switch {
	case took <= objective:
		return InTime
	case took <= lateFactor*objective:
		return Late
	}
	return Useless
}

// stopTime is the time that it takes to stop a run and start it elsewhere: the platform's stop_ms of at most 50 ms, and as
// much again for the round trip and the next start.
const stopTime = 100 * time.Millisecond

// ShouldMove reports whether moving a task improves the value of its job's end. The job has taken the time took so far. The
// task needs the time left where it runs, and the time restarted if it is started elsewhere.
func ShouldMove(took, objective, left, restarted time.Duration) bool {
	return Rate(took+stopTime+restarted, objective) > Rate(took+left, objective)
}
