// Package call defines the calls that an agent makes to the upstream next to it, and their answers. Package platform encodes them for the
// wire.
package call

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Clock is a reading of the upstream's monotonic clock, as the time since the upstream started.
type Clock time.Duration

// Token is a fencing token: an upstream refuses every call with a token lower than the highest that it has seen.
type Token uint64

// Header is the part that all calls to an upstream share.
type Header struct {
	// Instance is the ID of the upstream that the call is for; an upstream with another ID refuses the call. Born tells the agent which
	// life of the upstream the call is for. It is not sent, so a later life with the same ID accepts the call.
	Instance ident.UpstreamID
	Born     ident.Born
	Token    Token
	// Sent is the time of the call.
	Sent time.Time
}

// Life returns the life of the upstream that the call is for.
func (h Header) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: h.Instance, Born: h.Born} }

// Start starts one run.
type Start struct {
	Header
	Task       job.TaskID
	Run        job.Run
	Spec       string
	Checkpoint string
	// LeaseUntil is the time to which the start extends the lease.
	LeaseUntil Clock
}

// Stop stops one run, or ensures that it never starts.
type Stop struct {
	Header
	Task job.TaskID
	Run  job.Run
}

// Hold extends the lease, and asks which runs are active and which have ended.
type Hold struct {
	Header
	// LeaseUntil is the time to which the call extends the lease; zero leaves the lease unchanged.
	LeaseUntil Clock
	// Seen acknowledges all ends up to this number.
	Seen uint64
	// Wait is how long the upstream may delay the answer until a run ends.
	Wait time.Duration
	// Poll: the call waits only briefly or not at all, and a call that waits longer may be under way at the same time.
	Poll bool
}

// Answer is the result of a call.
type Answer string

// The answers.
const (
	// OK: the upstream has carried out the call.
	OK Answer = "ok"
	// Fenced: the token is too low.
	Fenced Answer = "fenced"
	// Used: the upstream knows that this run, or a later run of the task, has ended.
	Used Answer = "used"
	// Full: the upstream checks its own room and has none.
	Full Answer = "full"
	// Declined: the upstream did nothing, for another reason that it gave.
	Declined Answer = "declined"
	// WrongInstance: an upstream with another ID answered, and refused the call.
	WrongInstance Answer = "wrong_instance"
	// Unanswered: there was no answer, so it is unknown whether the call was carried out.
	Unanswered Answer = "unanswered"
	// Unclear: the upstream answered, but the answer does not say what it did; an example is a server error.
	Unclear Answer = "unclear"
)

// Running is an active run, as the upstream lists it.
type Running struct {
	Task       job.TaskID
	Run        job.Run
	Checkpoint string
	// Percent is how much of the run's work is done.
	Percent int
}

// Finished is a run that has ended, as the upstream lists it.
type Finished struct {
	// Number numbers the ends of one life of the upstream, starting at 1.
	Number     uint64
	Task       job.TaskID
	Run        job.Run
	Result     Result
	Checkpoint string
}

// Result is how a run ended on the upstream.
type Result string

// The results.
const (
	ResultDone    Result = "done"
	ResultFailed  Result = "failed"
	ResultStopped Result = "stopped"
	ResultLapsed  Result = "lapsed"
)

// HoldResult is the answer to a Hold.
type HoldResult struct {
	Answer Answer
	Clock  Clock
	// Born is when the life that answered began; zero is unknown.
	Born     ident.Born
	Running  []Running
	Finished []Finished
	// Partial: something that runs is missing from Running, because it could not be decoded.
	Partial bool
}
