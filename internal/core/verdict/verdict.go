// Package verdict says whether a request may have run. Every error that reaches a caller carries a verdict.
package verdict

import "github.com/pkg/errors"

// Verdict tells what is known of a task or of a whole request.
type Verdict string

// The verdicts.
const (
	// Ran: the upstream received the task and answered it.
	Ran Verdict = "ran"
	// NotRun: no upstream received a byte of it and none ever will under this job id.
	NotRun Verdict = "not_run"
	// MayHaveRun: nobody who is left can tell.
	MayHaveRun Verdict = "may_have_run"
)

// State is where a job stands, as callers read it.
type State string

// The states. Complete and Failed are final, the others are answers for now.
const (
	// Complete: every task ran and succeeded.
	Complete State = "complete"
	// Failed: decided once, with a verdict for each task.
	Failed State = "failed"
	// Running: work goes on.
	Running State = "running"
	// Unresolved: the owner and an agent of the roster can't be reached; hillreel keeps trying.
	Unresolved State = "unresolved"
	// Refused: this request was not taken; the job, if there is one, is untouched by it.
	Refused State = "refused"
	// Unknown: hillreel knows of no job under this id.
	Unknown State = "unknown"
)

// Final tells whether the state is the job's outcome.
func (s State) Final() bool { return s == Complete || s == Failed }

// Reason says why, in one word, beside a verdict or a state.
type Reason string

// The reasons, as they stand in answers, logs and metrics.
const (
	AgentGone        Reason = "agent_gone"
	AgentLeaving     Reason = "agent_leaving"
	AnswersPending   Reason = "answers_pending"
	BadID            Reason = "bad_id"
	BadRequest       Reason = "bad_request"
	BodyNeeded       Reason = "body_needed"
	CallerGone       Reason = "caller_gone"
	Cancelled        Reason = "cancelled"
	ConnectFailed    Reason = "connect_failed"
	Conflict         Reason = "conflict"
	Cordoned         Reason = "cordoned"
	Deadline         Reason = "deadline"
	DifferentBody    Reason = "different_body"
	Expired          Reason = "expired"
	Leaving          Reason = "leaving"
	NeverArrived     Reason = "never_arrived"
	NoAgents         Reason = "no_agents"
	NotFound         Reason = "not_found"
	OtherRegion      Reason = "other_region"
	Overloaded       Reason = "overloaded"
	OwnerUnclear     Reason = "owner_unclear"
	QueueFull        Reason = "queue_full"
	RosterUnknown    Reason = "roster_unknown"
	Superseded       Reason = "superseded"
	TaskFailed       Reason = "task_failed"
	TooLarge         Reason = "too_large"
	Unauthorized     Reason = "unauthorized"
	UnknownService   Reason = "unknown_service"
	Unreachable      Reason = "unreachable"
	Unsupported      Reason = "unsupported"
	UpstreamLost     Reason = "upstream_lost"
	UpstreamRefused  Reason = "upstream_refused"
	Withdrawn        Reason = "withdrawn"
	WrongIncarnation Reason = "wrong_incarnation"
)

// Error is an error with a verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// Cause may be nil.
	Cause error
}

// New returns an Error with a message.
func New(v Verdict, r Reason, message string) *Error {
	return &Error{Verdict: v, Reason: r, Cause: errors.New(message)}
}

// Error prints reason and cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict that err carries. An error without one may have run: silence proves nothing.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
