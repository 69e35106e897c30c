// Package api holds the JSON bodies of the callers' HTTP API, for servers and clients alike. docs/API.md
// describes the calls.
package api

import (
	"encoding/json"
	"time"

	"hillreel/internal/core/verdict"
)

// Verdict says whether a task may have run.
type Verdict = verdict.Verdict

// State says where a job stands.
type State = verdict.State

// Reason says why, in one word.
type Reason = verdict.Reason

// Task is one task of a job.
type Task struct {
	// Kind groups tasks of similar run time.
	Kind string `json:"kind"`
	// Payload goes to the upstream as it is; any JSON value.
	Payload json.RawMessage `json:"payload,omitempty"`
	// EstimateMs is the declared run time in milliseconds; hillreel does not trust it.
	EstimateMs uint32 `json:"estimate_ms,omitempty"`
}

// Job is what a caller submits.
type Job struct {
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
	// DeadlineMs is how long after its submission the job is given up, in milliseconds; zero is never.
	DeadlineMs uint32 `json:"deadline_ms,omitempty"`
	// Repeatable: each task may run again when it may have run.
	Repeatable bool   `json:"repeatable,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// SingleTask is a request that is not a job: one task.
type SingleTask struct {
	Service    string `json:"service"`
	Team       string `json:"team,omitempty"`
	DeadlineMs uint32 `json:"deadline_ms,omitempty"`
	Repeatable bool   `json:"repeatable,omitempty"`
	Task
}

// Job returns the job of that one task.
func (s SingleTask) Job() Job {
	return Job{s.Service, s.Team, s.DeadlineMs, s.Repeatable, []Task{s.Task}}
}

// TaskAnswer is the part of an answer for one task.
type TaskAnswer struct {
	Index   uint32  `json:"index"`
	Verdict Verdict `json:"verdict"`
	OK      bool    `json:"ok"`
	// Status is the upstream's HTTP status, if the task ran.
	Status uint32 `json:"status,omitempty"`
	// Answer is the upstream's answer if that is JSON.
	Answer json.RawMessage `json:"answer,omitempty"`
	// AnswerBytes is the upstream's answer if that is not JSON, in base64.
	AnswerBytes []byte `json:"answer_bytes,omitempty"`
	// AnswerGone: the task ran, but its answer is no longer kept.
	AnswerGone bool   `json:"answer_gone,omitempty"`
	Reason     Reason `json:"reason,omitempty"`
}

// Answer is what a caller hears, also as an error.
type Answer struct {
	ID      string  `json:"id,omitempty"`
	State   State   `json:"state"`
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason,omitempty"`
	Message string  `json:"message,omitempty"`
	// Field names the part of the request that is wrong.
	Field string       `json:"field,omitempty"`
	Tasks []TaskAnswer `json:"tasks,omitempty"`
	// RetryAfterMs tells when to ask again, in milliseconds.
	RetryAfterMs uint32 `json:"retry_after_ms,omitempty"`
	// Messages counts the messages between entries and agents that the job took.
	Messages uint32 `json:"messages,omitempty"`
}

// RetryAfter is when to ask again.
func (a *Answer) RetryAfter() time.Duration {
	return time.Duration(a.RetryAfterMs) * time.Millisecond
}

// IDRequest asks for job ids.
type IDRequest struct {
	Service string `json:"service"`
	Count   int    `json:"count"`
}

// IDs are fresh job ids.
type IDs struct {
	IDs []string `json:"ids"`
	// UseWithinMs is how long the ids are good for a first submission, in milliseconds.
	UseWithinMs int64 `json:"use_within_ms"`
}
