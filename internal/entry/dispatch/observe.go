package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
)

// RunAt identifies a run and the agent that has it or may have it.
type RunAt struct {
	fleet.RunRef
	Agent ident.UpstreamName
}

// Stops lists runs of one job that are to be stopped, either because they are no longer wanted or because their tasks are to
// run at other upstreams.
type Stops struct {
	Job job.ID
	// RequestID is the newest caller's own id of its request.
	RequestID string
	Cause     StopCause
	// Requested lists the runs whose agents were asked to stop them. Unreachable lists the runs at agents that are not
	// linked; those agents stop them on their own.
	Requested, Unreachable []RunAt
}

// StopCause is the reason for stopping runs. For a job that has ended it is the reason of its answer.
type StopCause string

// The causes that are not reasons of answers.
const (
	// StopMoved: the task will finish sooner elsewhere.
	StopMoved = StopCause(fleet.Moved)
	// StopRepeated: the run continues after its link was reset, and an earlier request to stop it may have been lost.
	StopRepeated StopCause = "asked_before"
	// StopUnknownRun: the run continues after its link was reset, but this entry has given it up.
	StopUnknownRun StopCause = "not_known"
)

// RefusalCause tells what decided that a job is refused for lack of capacity.
type RefusalCause string

// The causes.
const (
	// RefusedAfterWait: no capacity came for as long as the job may wait.
	RefusedAfterWait RefusalCause = "waited"
	// RefusedQueueFull: too many jobs were waiting when it came.
	RefusedQueueFull RefusalCause = "queue_full"
)

// refusalCause tells what decided an answer; waited is set if the job was taken before. It is empty for answers that are no
// refusals for lack of capacity.
func refusalCause(a Answer, waited bool) RefusalCause {
	switch {
	case a.Verdict != verdict.NotRun || a.Reason != verdict.Overloaded:
		return ""
	case waited:
		return RefusedAfterWait
	}
	return RefusedQueueFull
}

// HeldJob is the state of a job that this entry holds when its caller submits it again.
type HeldJob struct {
	// FormerRequestID is the caller's own id of its previous request.
	FormerRequestID string
	// Since is the time since the job was taken.
	Since time.Duration
	// Callers counts the callers that wait for the answer, Runs the runs that are, or may be, at agents.
	Callers, Runs int
	// Ending is set if the job was answered or given up and its runs are being stopped.
	Ending bool
}

// holding returns the state of the job for the observer.
func (j *jobState) holding(now time.Time) HeldJob {
	return HeldJob{FormerRequestID: j.requestID, Since: now.Sub(j.submitted), Callers: len(j.callers), Runs: j.outstanding, Ending: j.ending}
}

// runAt identifies the task's newest run and its agent.
func (k *task) runAt() RunAt { return RunAt{k.runRef(), k.agent.Name} }

// unreachableRuns lists the job's runs at agents that are not linked.
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

// reportStops tells the observer which stops of one job were sent since the last call, and which runs are unreachable, so
// that no stop can be sent for them.
func (t *Table) reportStops(j *jobState, cause StopCause, unreachable []RunAt) {
	s := Stops{Job: j.id, RequestID: j.requestID, Cause: cause, Requested: t.unreportedStops, Unreachable: unreachable}
	t.unreportedStops = nil
	if len(s.Requested)+len(s.Unreachable) > 0 {
		t.observer.StopsRequested(s)
	}
}
