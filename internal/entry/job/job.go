package job

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// mode is what this entry does about a job.
type mode string

const (
	// active: tasks are placed and started.
	active mode = "active"
	// seeking: an adopter asks its peers for the job's roster.
	seeking mode = "seeking"
	// sealing: an adopter waits for the agents of the roster.
	sealing mode = "sealing"
	// bodyNeeded: sealed, but no caller has sent the job's body, so that the rest can't be started.
	bodyNeeded mode = "body_needed"
	// stopping: it will fail; queued tasks are being withdrawn.
	stopping mode = "stopping"
	// recording: the decision is frozen and on its way to an agent.
	recording mode = "recording"
	// ended: the outcome is known and can be told.
	ended mode = "ended"
	// lost: a newer generation answers for the job.
	lost mode = "lost"
)

type taskState string

const (
	todo taskState = "todo"
	sent taskState = "sent"
	// done: ran, and the upstream answered with success.
	done taskState = "done"
	// bad: ran, and the upstream answered with a failure.
	bad taskState = "bad"
	// unsure: may have run, and is never sent again unless the caller marked it repeatable.
	unsure taskState = "unsure"
)

type task struct {
	state taskState
	// agent is the one incarnation that was asked to start the task; set while state is sent, done, bad or unsure.
	agent ident.Incarnation
	// attempt numbers the placement at agent.
	attempt uint32
	// last is the highest attempt known; it only grows.
	last uint32
	// repeats counts placements after one that may have run; only a repeatable task has any.
	repeats int
	// result is set in state done and bad, and in unsure if an agent said so.
	result *wire.Result
	reason verdict.Reason
}

type job struct {
	id  ident.JobID
	key ident.Key
	// gen only grows; every message to an agent carries it.
	gen  ident.Generation
	mode mode
	// since is when mode was set.
	since time.Time
	// spec is nil until a caller sent the body, and released once ended.
	spec *wire.JobSpec
	// digest of the body; nil while no body was seen.
	digest []byte
	tasks  []task
	// left counts the tasks that are not done.
	left   int
	roster *roster
	// queue holds the indexes of tasks in state todo.
	queue []uint32
	// work is the expected run time of the tasks in queue.
	work time.Duration
	// place is the job's place in the table's wait heap, or notWaiting.
	place    int
	priority time.Duration
	// begun and deadline count from the table's start; ideal is the expected run time of the longest task.
	begun, deadline, ideal time.Duration
	// tag is when the job may begin by its team's share, and retryAfter what a refused caller is told.
	tag, retryAfter time.Duration
	// sealed holds the answers so far, in mode sealing.
	sealed map[ident.Incarnation]*wire.Sealed
	// withdrawing holds the agents whose answer is awaited, in mode stopping.
	withdrawing map[ident.Incarnation]bool
	// decision is frozen when mode becomes recording, and never changes.
	decision *wire.Decision
	recorder ident.Incarnation
	why      verdict.Reason
	// newest is the generation that fenced this one, in mode lost.
	newest ident.Generation
	// outcome is set exactly when mode is ended.
	outcome *outcome

	waiters  []waiting
	messages uint32
}

// notWaiting is the place of a job that is not in the wait heap.
const notWaiting = -1

// waiting is one caller who waits for a job's outcome.
type waiting struct {
	req   Request
	since time.Time
}

// Op is what a request asks of a job.
type Op string

// The operations.
const (
	// OpSubmit runs the job, or attaches to it, and waits for the outcome.
	OpSubmit Op = "submit"
	// OpRead answers at once with what is known.
	OpRead Op = "read"
	// OpWait waits for the outcome of a job submitted before.
	OpWait Op = "wait"
	// OpCancel withdraws what has not started.
	OpCancel Op = "cancel"
)

// Request is one caller's request about one job.
type Request struct {
	ID   ident.JobID
	Op   Op
	Spec *wire.JobSpec
	// Hops counts the entries that passed it on.
	Hops uint32
	// Adopt: the entry that passed it on found that nobody answers for the job.
	Adopt  bool
	Answer Waiter
}

// Digest identifies a job's body: two bodies with the same digest are the same job.
func Digest(spec *wire.JobSpec) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(spec)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(b)
	return sum[:16]
}

func (j *job) repeatable() bool { return j.spec != nil && j.spec.GetRepeatable() }

// setBody gives the job its body and makes its task list if no agent told its length before.
func (j *job) setBody(spec *wire.JobSpec) {
	j.spec = spec
	j.digest = Digest(spec)
	j.setCount(len(spec.GetTasks()))
}

func (j *job) setCount(n int) {
	for len(j.tasks) < n {
		j.tasks = append(j.tasks, task{state: todo})
		j.left++
	}
}

// set moves a task to a new state and keeps the count of those not done.
func (j *job) set(index uint32, s taskState) *task {
	t := &j.tasks[index]
	if t.state != done && s == done {
		j.left--
	}
	t.state = s
	return t
}

func (j *job) verdicts() []string {
	out := make([]string, len(j.tasks))
	for i, t := range j.tasks {
		out[i] = string(t.verdict())
	}
	return out
}

func (t *task) verdict() verdict.Verdict {
	switch {
	case t.state == done || t.state == bad:
		return verdict.Ran
	case t.state == todo && t.repeats == 0:
		return verdict.NotRun
	}
	// Also a repeatable task that waits to be placed again.
	return verdict.MayHaveRun
}
