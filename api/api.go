// Package api holds the JSON bodies of the callers' HTTP API, for servers and clients alike. docs/API.md
// describes the calls.
package api

import (
	"time"

	"hillreel/internal/core/verdict"
)

// Verdict says whether a task may have run.
type Verdict = verdict.Verdict

// State says where a job stands.
type State = verdict.State

// Reason says why, in one word.
type Reason = verdict.Reason

// Step is a group of equal tasks.
type Step struct {
	// Count is how many tasks the step has.
	Count uint32 `json:"count"`
	// CPUMillis is in thousandths of a core; a task without any need takes no room.
	CPUMillis int64 `json:"cpu_millis,omitempty"`
	MemMB     int64 `json:"mem_mb,omitempty"`
	GPU       int64 `json:"gpu,omitempty"`
	// EstimateMs is the declared run time of one task; hillreel does not trust it.
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// After lists earlier steps, from zero, that must have ended.
	After []uint32 `json:"after,omitempty"`
	// Requires is a label that the upstream must have, Prefers one that it should have.
	Requires string `json:"requires,omitempty"`
	Prefers  string `json:"prefers,omitempty"`
	// MaxPerUpstream bounds the step's tasks on one upstream; zero is no bound.
	MaxPerUpstream uint32 `json:"max_per_upstream,omitempty"`
}

// Job is what a caller submits.
type Job struct {
	Service string `json:"service"`
	// Spec goes to the upstream as it is.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Keep: the answer comes once the job is stored; it ends whatever happens to hillreel, and its state can be asked for.
	// Without it the answer comes once the job has ended, and nothing is kept.
	Keep bool `json:"keep,omitempty"`
	// DeadlineMs is how long the caller waits, in milliseconds; zero is for ever.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// ObjectiveMs is the response time that the job should keep. Zero is twice its estimated work and 100 ms.
	ObjectiveMs int64 `json:"objective_ms,omitempty"`
	// Priority 0 goes first among equally urgent jobs.
	Priority int `json:"priority,omitempty"`
	// Attempts is after how many failed runs of a task the job has failed.
	Attempts int `json:"attempts,omitempty"`
}

// Answer is what a caller hears, also as an error.
type Answer struct {
	ID      string  `json:"id,omitempty"`
	State   State   `json:"state"`
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason,omitempty"`
	Message string  `json:"message,omitempty"`
	// Field names the part of the request that is wrong.
	Field string `json:"field,omitempty"`
	// RetryAfterMs tells when to come back, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// RetryAfter is when to come back.
func (a *Answer) RetryAfter() time.Duration {
	return time.Duration(a.RetryAfterMs) * time.Millisecond
}
