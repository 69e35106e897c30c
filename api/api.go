// Package api defines the JSON bodies of the callers' HTTP API, for servers and clients. docs/API.md describes the
// calls.
package api

import (
	"time"

	"hillreel/internal/core/verdict"
)

// Verdict tells whether a task of the job may have run.
type Verdict = verdict.Verdict

// State is the state of a job.
type State = verdict.State

// Reason is the machine-readable reason for a State.
type Reason = verdict.Reason

// Step is a group of tasks with equal requirements.
type Step struct {
	// Count is the number of tasks in the step.
	Count uint32 `json:"count"`
	// CPUMillis is in thousandths of a core. A task that needs no CPU, memory or GPU uses no capacity.
	CPUMillis int64 `json:"cpu_millis,omitempty"`
	MemMB     int64 `json:"mem_mb,omitempty"`
	GPU       int64 `json:"gpu,omitempty"`
	// EstimateMs is the declared run time of one task, in milliseconds. It is a hint that may be wrong.
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// After lists the indexes, counted from zero, of earlier steps that must have ended before this step starts.
	After []uint32 `json:"after,omitempty"`
	// Requires is a label that the upstream must have; Prefers is a label that it should have.
	Requires string `json:"requires,omitempty"`
	Prefers  string `json:"prefers,omitempty"`
	// MaxPerUpstream is the maximum number of the step's tasks on one upstream; zero means unlimited.
	MaxPerUpstream uint32 `json:"max_per_upstream,omitempty"`
}

// Job is the request body with which a caller submits a job.
type Job struct {
	Service string `json:"service"`
	// Spec is passed to the upstream unchanged.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Keep stores the job. The answer is sent once the job is stored; the job then ends even if hillreel's processes fail, and
	// its state can be queried. Without Keep the answer is sent once the job has ended, and nothing is stored.
	Keep bool `json:"keep,omitempty"`
	// DeadlineMs is how long the caller waits, in milliseconds; zero means without limit.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// ObjectiveMs is the target response time, in milliseconds; zero means twice the job's estimated work plus 100 ms.
	ObjectiveMs int64 `json:"objective_ms,omitempty"`
	// Priority orders equally urgent jobs; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs of one task after which the job fails.
	Attempts int `json:"attempts,omitempty"`
}

// Answer is the response body, for successes and for errors.
type Answer struct {
	ID      string  `json:"id,omitempty"`
	State   State   `json:"state"`
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason,omitempty"`
	Message string  `json:"message,omitempty"`
	// Field is the field of the request that is invalid.
	Field string `json:"field,omitempty"`
	// RetryAfterMs is how long the caller should wait before it retries, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// RetryAfter returns RetryAfterMs as a duration.
func (a *Answer) RetryAfter() time.Duration {
	return time.Duration(a.RetryAfterMs) * time.Millisecond
}
