package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
)

// phase is the state of a task.
type phase string

const (
	// blocked: an earlier step has not finished.
	blocked phase = "blocked"
	// waiting: the task can be placed.
	waiting phase = "waiting"
	// placed: an agent has the task, or may have it.
	placed phase = "placed"
	// lost: the session with the agent has ended, and the task may still run there.
	lost phase = "lost"
	// awaitingStore: no run of the task remains, but the store must be consulted before it may run again: its last run may
	// have succeeded at an agent that is unreachable, or its crash must be stored first.
	awaitingStore phase = "doubtful"
	// finished: nothing remains to be done.
	finished phase = "over"
)

type task struct {
	id    job.TaskID
	job   *jobState
	phase phase
	// run is the number of the newest run, runID its id.
	run   job.Run
	runID fleet.RunID
	agent *agentState
	// placedAt is when the newest run was ordered.
	placedAt time.Time
	// declinedAt is when the task first declined room away from its data since it began to wait; zero if it has not.
	declinedAt time.Time
	// leftRoomAt is when the task first set an upstream with room aside since it began to wait; zero if it has not.
	leftRoomAt time.Time
	failures   int
	// stalls counts the runs of the task that were stopped because they made no progress.
	stalls uint32
	// checkpoint is the newest checkpoint that a run of the task has saved, or empty.
	checkpoint string
	// avoid lists the upstreams at which the task failed or stalled, or from which it was moved away. The task sets them
	// aside while another upstream could run it (preference).
	avoid []ident.UpstreamID
	// stopping is set once a stop was sent for the newest run, moving once that run was asked to end so that the task can
	// run elsewhere.
	stopping, moving bool
}

// avoidUpstream makes the task avoid an upstream.
func (k *task) avoidUpstream(upstream ident.UpstreamID) {
	if !slices.Contains(k.avoid, upstream) {
		k.avoid = append(k.avoid, upstream)
	}
}

// cpu returns the CPU that the task requires, in thousandths of a core.
func (k *task) cpu() int64 { return k.job.spec.Steps[k.id.Step].Each.CPU }

// runRef identifies the newest run.
func (k *task) runRef() fleet.RunRef { return fleet.RunRef{Task: k.id, Run: k.run} }

// orderedRun identifies the newest run to its agent.
func (k *task) orderedRun() fleet.OrderedRun {
	return fleet.OrderedRun{RunRef: k.runRef(), ID: k.runID}
}

// jobState is the state of one job.
type jobState struct {
	id    job.ID
	spec  *job.Spec
	route route.Route
	// kept: the job outlives its callers, and its results are reported to the Keeper.
	kept bool
	// generation counts the entries that have held a kept job, this one included; zero for other jobs.
	generation uint32
	// late is set for a kept job that can no longer meet its objective and for a job that was resent. Such jobs wait behind
	// those that can still be in time.
	late bool
	// callers lists the callers that wait for the answer. There are several if the job was submitted again while it was
	// held.
	callers   []CallerID
	requestID string
	submitted time.Time
	deadline  time.Time
	// announceAt is the next time at which other entries are told that this one holds the job.
	announceAt time.Time
	objective  time.Duration
	// waitUntil is the time until which the job waits for capacity. placeBy is the sort key among waiting jobs; it is
	// earlier for jobs with many tasks.
	waitUntil, placeBy time.Time

	steps []stepState
	// remaining counts the tasks that have not succeeded, waiting those that can be placed, and outstanding those that an
	// agent has or may have.
	remaining, waiting, outstanding int
	// runs counts the runs that were, or may have been, started. failures counts the failed ones.
	runs, failures int
	// longest is the run time of the longest run.
	longest time.Duration
	// blamed lists the upstreams at which a run failed, stalled or was lost.
	blamed []ident.UpstreamID
	// probedAt is when a task of the job was last placed as a probe.
	probedAt time.Time
	// firstAt is the time at which the first task was placed.
	firstAt time.Time
	// idleSince is when the job was submitted or when the last of its runs ended. It means nothing while runs are outstanding.
	idleSince time.Time
	// begun is set once a run was, or may have been, started.
	begun bool
	// ending is set once the job was answered or given up. Runs of it may still remain.
	ending bool
	// resubmitted lists later requests for the same id. They start the job anew once its present runs have ended.
	resubmitted []Request
}

// stepState is the state of one step of a job.
type stepState struct {
	tasks []*task
	// waiting lists the tasks that can be placed. left counts the tasks that have not succeeded.
	waiting []*task
	left    int
	// stalledAt lists the upstreams at which runs of the step have stalled since a task of it last succeeded.
	stalledAt upstreamSet
	// mostStalls is the highest number of stalls of one of the step's tasks.
	mostStalls uint32
}

// unblock queues the tasks of the steps whose preceding steps have all finished.
func (t *Table) unblock(j *jobState) {
	for i, step := range j.spec.Steps {
		ready := true
		for _, before := range step.After {
			ready = ready && j.steps[before].left == 0
		}
		if !ready {
			continue
		}
		for _, k := range j.steps[i].tasks {
			if k.phase == blocked {
				t.enqueue(k)
			}
		}
	}
}

// enqueue marks a task as waiting and adds its job to the queue if needed.
func (t *Table) enqueue(k *task) {
	k.phase, k.agent, k.stopping, k.moving = waiting, nil, false, false
	j := k.job
	step := &j.steps[k.id.Step]
	step.waiting = append(step.waiting, k)
	t.unplaced = true
	j.waiting++
	q := t.queue(j.route.Service)
	q.Sizes.Add(k.cpu())
	if j.waiting == 1 {
		q.Add(j)
	}
}

// dequeue removes a task from the waiting ones, and its job from the queue if no task of it waits any more.
func (t *Table) dequeue(k *task) {
	j := k.job
	step := &j.steps[k.id.Step]
	t.clearDeclined(k)
	k.leftRoomAt = time.Time{}
	if i := slices.Index(step.waiting, k); i >= 0 {
		step.waiting = slices.Delete(step.waiting, i, i+1)
	}
	j.waiting--
	q := t.queue(j.route.Service)
	q.Sizes.Remove(k.cpu())
	if j.waiting == 0 {
		q.Remove(j)
	}
}
