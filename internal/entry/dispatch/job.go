package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
)

// phase is where a task stands.
type phase string

const (
	// blocked: a step before it has not ended.
	blocked phase = "blocked"
	// waiting: it can be placed.
	waiting phase = "waiting"
	// placed: an agent has, or may have, it.
	placed phase = "placed"
	// lost: its agent is lost, and it may still run there.
	lost phase = "lost"
	// doubtful: nothing of it runs, but its last run may have ended well at an agent that is out of hearing.
	awaitingStore phase = "doubtful"
	// over: nothing remains to be done.
	finished phase = "over"
)

// task is one task of a job.
type task struct {
	id    job.TaskID
	job   *jobState
	phase phase
	// run is the newest run's number, runID its id.
	run      job.Run
	runID    fleet.RunID
	agent    *agentState
	failures int
	// checkpoint is the newest one that a run has saved; empty is none.
	checkpoint string
	// avoid lists upstreams that failed or stalled the task, or from which it was moved.
	avoid []ident.UpstreamID
	// stopping is true once a stop was sent for the newest run, moving once that run was asked to make way for another.
	stopping, moving bool
}

// shun lets the task avoid an upstream.
func (k *task) avoidUpstream(upstream ident.UpstreamID) {
	if !slices.Contains(k.avoid, upstream) {
		k.avoid = append(k.avoid, upstream)
	}
}

// ref names the newest run.
func (k *task) runRef() fleet.RunRef { return fleet.RunRef{Task: k.id, Run: k.run} }

// ordered names the newest run to its agent.
func (k *task) orderedRun() fleet.OrderedRun {
	return fleet.OrderedRun{RunRef: k.runRef(), ID: k.runID}
}

// jobState is one job.
type jobState struct {
	id    job.ID
	spec  *job.Spec
	route route.Route
	// kept: the job outlives its callers, and its Keeper hears of its ends.
	kept bool
	// late: a kept job that can't be in time any more, or one that was sent before; jobs that can go first.
	late bool
	// callers wait for the answer; there are several when the job was sent again while it was held.
	callers   []CallerID
	requestID string
	submitted time.Time
	deadline  time.Time
	// tellAt is when other entries are told next that this one holds the job.
	announceAt time.Time
	objective  time.Duration
	// startBy is until when the job waits for room, goesBy orders those that wait: it is earlier for wide ones.
	waitUntil, placeBy time.Time

	steps []stepState
	// remaining counts the tasks that have not ended well, waiting those that can be placed, out those that an agent
	// has or may have.
	remaining, waiting, outstanding int
	// runs counts the runs that were, or may have been, started; failures those that have failed.
	runs, failures int
	// longest is the run time of the longest run.
	longest time.Duration
	// blamed are the upstreams that failed, stalled or lost a run.
	blamed []ident.UpstreamID
	// firstAt is when the first task was placed.
	firstAt time.Time
	// begun is true once a run was, or may have been, started.
	begun bool
	// ending is true once the job was answered or given up, while runs of it may remain.
	ending bool
	// again was submitted meanwhile, under the same id.
	resubmitted []Request
}

// stepState is one step of a job.
type stepState struct {
	tasks []*task
	// waiting are the tasks that can be placed, left counts those that have not ended well.
	waiting []*task
	left    int
}

// unblock queues the tasks of steps whose earlier steps have all ended.
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

// wait queues a task.
func (t *Table) enqueue(k *task) {
	k.phase, k.agent, k.stopping, k.moving = waiting, nil, false, false
	j := k.job
	step := &j.steps[k.id.Step]
	step.waiting = append(step.waiting, k)
	t.unplaced = true
	j.waiting++
	if j.waiting == 1 {
		t.queue(j.route.Service).Add(j)
	}
}

// unwait takes a task out of its queue.
func (t *Table) dequeue(k *task) {
	j := k.job
	step := &j.steps[k.id.Step]
	if i := slices.Index(step.waiting, k); i >= 0 {
		step.waiting = slices.Delete(step.waiting, i, i+1)
	}
	j.waiting--
	if j.waiting == 0 {
		t.queue(j.route.Service).Remove(j)
	}
}
