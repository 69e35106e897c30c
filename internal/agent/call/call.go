// Package call has the calls that an agent makes to the upstream beside it, and their answers, in hillreel's own words;
// package platform speaks them over the wire.
package call

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Clock is a reading of the upstream's steady clock, as a time since it started.
type Clock time.Duration

// Token is a fencing token: the upstream does nothing for one lower than the highest that it has seen.
type Token uint64

// Header is what every call to an upstream carries.
type Header struct {
	// Instance is the upstream that is meant: another one refuses the call. Born tells the agent which of its lives; the wire
	// doesn't carry it, so that the next life under the same id takes the call for its own.
	Instance ident.UpstreamID
	Born     ident.Born
	Token    Token
	// Sent is when the call was made.
	Sent time.Time
}

// Life is the life that is meant.
func (h Header) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: h.Instance, Born: h.Born} }

// Start starts one run.
type Start struct {
	Header
	Task       job.TaskID
	Run        job.Run
	Spec       string
	Checkpoint string
	// Until is the lease that the start extends to.
	LeaseUntil Clock
}

// Stop stops one run, or makes sure that it never starts.
type Stop struct {
	Header
	Task job.TaskID
	Run  job.Run
}

// Hold extends the lease and asks what runs and what has ended.
type Hold struct {
	Header
	// Until is the lease; zero leaves it as it is.
	LeaseUntil Clock
	// Seen acknowledges ends up to this number.
	Seen uint64
	// Wait is how long the upstream may hold the answer back until a run ends.
	Wait time.Duration
	// Look: the call waits shortly or not at all, and another that does may be under way.
	Poll bool
}

// Answer says what a call brought.
type Answer string

// The answers.
const (
	// OK: done.
	OK Answer = "ok"
	// Fenced: the token is too low.
	Fenced Answer = "fenced"
	// Used: the upstream knows this run, or a higher one, as ended.
	Used Answer = "used"
	// Full: the upstream guards its own room and has none.
	Full Answer = "full"
	// Declined: the upstream did nothing, for another reason that it has told.
	Declined Answer = "declined"
	// WrongInstance: another life of the upstream answered.
	WrongInstance Answer = "wrong_instance"
	// Unanswered: nothing is known.
	Unanswered Answer = "unanswered"
	// Unclear: the upstream has answered, but not with what it has done, as by a server's error.
	Unclear Answer = "unclear"
)

// Listed is a run that the upstream lists as running.
type Running struct {
	Task       job.TaskID
	Run        job.Run
	Checkpoint string
	// Percent of its work that is done.
	Percent int
}

// Finished is an end that the upstream lists.
type Finished struct {
	// N rises from 1 in each life of the upstream.
	Number     uint64
	Task       job.TaskID
	Run        job.Run
	Result     Result
	Checkpoint string
}

// How says how a run ended at the upstream.
type Result string

// The ends that occur.
const (
	ResultDone    Result = "done"
	ResultFailed  Result = "failed"
	ResultStopped Result = "stopped"
	ResultLapsed  Result = "lapsed"
)

// Held is the result of a Hold.
type HoldResult struct {
	Answer Answer
	Clock  Clock
	// Born is when the life began that has answered; zero is not told.
	Born     ident.Born
	Running  []Running
	Finished []Finished
}
