// Package verdict says whether a request may have run. Every error that reaches a caller carries a verdict.
package verdict

import "github.com/pkg/errors"

// Verdict tells what is known of a task or of a whole request.
type Verdict string

// The verdicts.
const (
	// Ran: the upstream received the task and answered it.
	Ran Verdict = "ran"
	// NotRun: nothing of it has run or will run under this request.
	NotRun Verdict = "not_run"
	// MayHaveRun: nobody who is left can tell.
	MayHaveRun Verdict = "may_have_run"
)

// State is where a job stands, as callers read it.
type State string

// The states. Complete and Failed are a job's outcome, the others are answers for now.
const (
	// Complete: every task ran and succeeded.
	Complete State = "complete"
	// Failed: a task has failed as often as its job allows.
	Failed State = "failed"
	// Accepted: the job is kept, and will end whatever happens to hillreel's processes.
	Accepted State = "accepted"
	// Pending: nothing of the job is known to have begun.
	Pending State = "pending"
	// Running: work goes on.
	Running State = "running"
	// Cancelled: the job was cancelled; nothing of it begins any more.
	Cancelled State = "cancelled"
	// Unresolved: the entry has given the job up without a result; sent again under the same id, it may still end.
	Unresolved State = "unresolved"
	// Refused: this request was not taken; the job, if there is one, is untouched by it.
	Refused State = "refused"
	// Unknown: the entry that was asked holds no job under this id.
	Unknown State = "unknown"
)

// Reason says why, in one word, beside a verdict or a state.
type Reason string

// The reasons, as they stand in answers, logs and metrics.
const (
	BadID      Reason = "bad_id"
	BadRequest Reason = "bad_request"
	CallerGone Reason = "caller_gone"
	ByCaller   Reason = "cancelled"
	// Cordoned: operators have cordoned all upstreams that could serve.
	Cordoned Reason = "cordoned"
	Conflict Reason = "conflict"
	// CrashesUpstreams: a task crashes the upstreams that start it.
	CrashesUpstreams Reason = "crashes_upstreams"
	Deadline         Reason = "deadline"
	DifferentBody    Reason = "different_body"
	LeaseLost        Reason = "lease_lost"
	Leaving          Reason = "entry_leaving"
	NotFound         Reason = "not_found"
	// OutOfTouch: the entry stood still or was cut off, and can't tell whether the caller is still there.
	OutOfTouch   Reason = "out_of_touch"
	Overloaded   Reason = "overloaded"
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
