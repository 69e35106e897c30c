// Package order decides which job's tasks are placed first while tasks wait. docs/MEASUREMENTS.md compares
// the ways.
package order

import "time"

// Name names a policy in settings and reports.
type Name string

// The policies.
const (
	// FirstCome serves jobs as they came.
	FirstCome Name = "first_come"
	// LeastWork serves the job with the least remaining work, aged so that nothing starves.
	LeastWork Name = "least_work"
	// Deadline serves the earliest deadline; jobs without one come as if theirs were a minute off.
	Deadline Name = "deadline"
	// Slack serves first the job that will soonest have taken twice its ideal.
	Slack Name = "slack"
)

// Names lists the policies.
var Names = []Name{FirstCome, LeastWork, Deadline, Slack}

// Job is what a policy looks at.
type Job struct {
	// Submitted counts from the entry's start.
	Submitted time.Duration
	// Deadline counts from the entry's start; zero is none.
	Deadline time.Duration
	// Work is the estimated run time of the tasks not yet placed, added up.
	Work time.Duration
	// Ideal is the estimated least time for the whole job.
	Ideal time.Duration
}

// Policy gives a job's priority; the lowest goes first. It must not depend on the present time, so that
// the order of two jobs changes only when one of them does.
type Policy func(j Job) time.Duration

// noDeadline stands in for a deadline.
const noDeadline = time.Minute

// New returns the policy of that name, or nil. With LeastWork a second of waiting counts as much as ageing
// seconds of work.
func New(n Name, ageing float64) Policy {
	switch n {
	case FirstCome:
		return func(j Job) time.Duration { return j.Submitted }
	case LeastWork:
		return func(j Job) time.Duration { return j.Work + time.Duration(ageing*float64(j.Submitted)) }
	case Deadline:
		return func(j Job) time.Duration {
			if j.Deadline == 0 {
				return j.Submitted + noDeadline
			}
			return j.Deadline
		}
	case Slack:
		return func(j Job) time.Duration { return j.Submitted + j.Ideal }
	}
	return nil
}
