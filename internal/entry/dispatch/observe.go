package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// RunAt is a run, and the agent that has, or may have, it.
type RunAt struct {
	fleet.RunRef
	Agent ident.UpstreamName
}

// Stops are runs of one job that nobody wants any more, or not where they are.
type Stops struct {
	Job job.ID
	// Sender is the newest caller's own id of its request.
	RequestID string
	Cause     StopCause
	// Asked are the runs whose agents were asked to stop them, Unheard those at agents that are out of hearing, which give them up
	// by themselves.
	Requested, Unreachable []RunAt
}

// StopCause says why runs are to be stopped: for a job that has ended, the reason of its answer.
type StopCause string

// The causes beside the reasons of answers.
const (
	// Moving: the task will sooner be done elsewhere.
	StopMoved = StopCause(fleet.Moved)
	// AskedBefore: the run goes on after a link was reset, in which an earlier wish to stop it may have been lost.
	StopRepeated StopCause = "asked_before"
	// NotKnown: the run goes on after a link was reset, and was given up here.
	StopUnknownRun StopCause = "not_known"
)

// Holding is how a job that is held stands when its caller comes again.
type HeldJob struct {
	// Former is the caller's own id of the request before.
	FormerRequestID string
	// Since is how long ago the job was taken.
	Since time.Duration
	// Callers wait for its answer, Runs are, or may be, at agents.
	Callers, Runs int
	// Ending: the job was answered or given up, and its runs are being stopped.
	Ending bool
}

// holding tells how a job stands.
func (j *jobState) holding(now time.Time) HeldJob {
	return HeldJob{FormerRequestID: j.requestID, Since: now.Sub(j.submitted), Callers: len(j.callers), Runs: j.outstanding, Ending: j.ending}
}

// at is the task's newest run with its agent.
func (k *task) runAt() RunAt { return RunAt{k.runRef(), k.agent.Name} }

// unheard lists the runs of a job at agents that are out of hearing.
func (j *jobState) unreachableRuns() []RunAt {
	var out []RunAt
	for _, step := range j.steps {
		for _, k := range step.tasks {
			if k.phase == lost {
				out = append(out, k.runAt())
			}
		}
	}
	return out
}

// tellStops tells of the stops of one job that were sent since it was called last, and of runs that no stop can be sent for.
func (t *Table) reportStops(j *jobState, why StopCause, unheard []RunAt) {
	s := Stops{Job: j.id, RequestID: j.requestID, Cause: why, Requested: t.unreportedStops, Unreachable: unheard}
	t.unreportedStops = nil
	if len(s.Requested)+len(s.Unreachable) > 0 {
		t.observer.StopsRequested(s)
	}
}
