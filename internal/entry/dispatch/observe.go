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
	Sender string
	Why    StopCause
	// Asked are the runs whose agents were asked to stop them, Unheard those at agents that are out of hearing, which give them up
	// by themselves.
	Asked, Unheard []RunAt
}

// StopCause says why runs are to be stopped: for a job that has ended, the reason of its answer.
type StopCause string

// The causes beside the reasons of answers.
const (
	// Moving: the task will sooner be done elsewhere.
	Moving = StopCause(fleet.Moved)
	// AskedBefore: the run goes on after a link was reset, in which an earlier wish to stop it may have been lost.
	AskedBefore StopCause = "asked_before"
	// NotKnown: the run goes on after a link was reset, and was given up here.
	NotKnown StopCause = "not_known"
)

// Holding is how a job that is held stands when its caller comes again.
type Holding struct {
	// Former is the caller's own id of the request before.
	Former string
	// Since is how long ago the job was taken.
	Since time.Duration
	// Callers wait for its answer, Runs are, or may be, at agents.
	Callers, Runs int
	// Ending: the job was answered or given up, and its runs are being stopped.
	Ending bool
}

// holding tells how a job stands.
func (j *jobState) holding(now time.Time) Holding {
	return Holding{Former: j.sender, Since: now.Sub(j.submitted), Callers: len(j.callers), Runs: j.out, Ending: j.ending}
}

// at is the task's newest run with its agent.
func (k *task) at() RunAt { return RunAt{k.ref(), k.agent.Name} }

// unheard lists the runs of a job at agents that are out of hearing.
func (j *jobState) unheard() []RunAt {
	var out []RunAt
	for _, step := range j.steps {
		for _, k := range step.tasks {
			if k.phase == lost {
				out = append(out, k.at())
			}
		}
	}
	return out
}

// tellStops tells of the stops of one job that were sent since it was called last, and of runs that no stop can be sent for.
func (t *Table) tellStops(j *jobState, why StopCause, unheard []RunAt) {
	s := Stops{Job: j.id, Sender: j.sender, Why: why, Asked: t.stopped, Unheard: unheard}
	t.stopped = nil
	if len(s.Asked)+len(s.Unheard) > 0 {
		t.observer.StopsAsked(s)
	}
}
