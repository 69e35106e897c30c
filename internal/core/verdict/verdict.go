// Package verdict says whether a request may have run. Every error that reaches a caller has a verdict.
package verdict

import "github.com/pkg/errors"

// Verdict says whether a task, or any part of a whole request, has run.
type Verdict string

// The verdicts.
const (
	// Ran: the upstream received the task and answered.
	Ran Verdict = "ran"
	// NotRun: no part of the task or request has run, or will run because of this request.
	NotRun Verdict = "not_run"
	// MayHaveRun: no remaining process knows whether the task or a part of the request has run.
	MayHaveRun Verdict = "may_have_run"
)

// State is the state of a job, as callers read it.
type State string

// The states. Complete and Failed are a job's outcome; the others describe the moment of the answer.
const (
	// Complete: every task ran and succeeded.
	Complete State = "complete"
	// Failed: a task has failed as often as the job allows.
	Failed State = "failed"
	// Accepted: the job is stored, and will end whatever happens to hillreel's processes.
	Accepted State = "accepted"
	// Pending: as far as the entry knows, no part of the job has begun.
	Pending State = "pending"
	// Running: parts of the job have begun and the job has not ended.
	Running State = "running"
	// Cancelled: the job was cancelled; no part of it starts any more.
	Cancelled State = "cancelled"
	// Unresolved: the entry has given the job up without a result. If it is sent again under the same ID, it may still end.
	Unresolved State = "unresolved"
	// Refused: this request was refused. A job that exists under its ID is not affected.
	Refused State = "refused"
	// Unknown: the entry that received the request has no job with this ID.
	Unknown State = "unknown"
)

// Reason explains a verdict or a state in one word.
type Reason string

// The reasons, as they appear in answers, logs and metrics.
const (
	BadID      Reason = "bad_id"
	BadRequest Reason = "bad_request"
	CallerGone Reason = "caller_gone"
	ByCaller   Reason = "cancelled"
	// Cordoned: operators have cordoned all upstreams that could run the job.
	Cordoned Reason = "cordoned"
	Conflict Reason = "conflict"
	// CrashesUpstreams: a task crashes the upstreams that start it.
	CrashesUpstreams Reason = "crashes_upstreams"
	Deadline         Reason = "deadline"
	DifferentBody    Reason = "different_body"
	LeaseLost        Reason = "lease_lost"
	Leaving          Reason = "entry_leaving"
	NotFound         Reason = "not_found"
	// OutOfTouch: the entry was paused or cut off, and does not know whether the caller is still there.
	OutOfTouch Reason = "out_of_touch"
	Overloaded Reason = "overloaded"
	// OverShare: the job's team asks for more than its share.
	OverShare    Reason = "over_share"
	Superseded   Reason = "superseded"
	TaskFailed   Reason = "task_failed"
	TooLarge     Reason = "too_large"
	Unauthorized Reason = "unauthorized"
	Unreachable  Reason = "unreachable"
	Unsupported  Reason = "unsupported"
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

// Error returns the reason, followed by the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict of err. Without one it returns MayHaveRun: a missing answer does not prove that nothing ran.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
