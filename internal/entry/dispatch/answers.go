package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
)

// Abandon handles a caller that has disconnected. The job is given up when its last caller has gone.
func (t *Table) Abandon(now time.Time, id job.ID, c CallerID) {
	t.dropBelated(id, c)
	j := t.jobs[id]
	if j == nil || j.kept {
		return
	}
	j.resubmitted = slices.DeleteFunc(j.resubmitted, func(r Request) bool { return r.Caller == c })
	j.callers = slices.DeleteFunc(j.callers, func(have CallerID) bool { return have == c })
	if len(j.callers) == 0 && !j.ending {
		t.close(now, j, Answer{State: verdict.Unresolved, Verdict: unfinishedVerdict(j), Reason: verdict.CallerGone})
	}
	t.placeAll(now)
}

// Release gives up a kept job, either because another entry becomes responsible for it or because it was cancelled. Its
// runs are stopped.
func (t *Table) Release(now time.Time, id job.ID, why verdict.Reason) {
	j := t.jobs[id]
	if j == nil || !j.kept {
		return
	}
	j.resubmitted = nil // otherwise the job would start anew once its old runs had ended
	if j.ending {
		return
	}
	t.endJob(now, j, Answer{State: verdict.Unresolved, Verdict: unfinishedVerdict(j), Reason: why})
	t.placeAll(now)
}

// CloseAll prepares the entry's shutdown. It answers all jobs that are not kept, and from then on every new submission is
// refused. Runs that have started are stopped, so that they are gone when their caller submits the job again.
func (t *Table) CloseAll(now time.Time) {
	t.closing = true
	t.answerAllBelated(refused(verdict.Leaving)) // no run of them has started here
	for _, j := range t.sortedJobs() {
		t.answerResubmitted(j, EntryLeaving)
		switch {
		case j.ending || j.kept:
		case j.begun:
			t.close(now, j, EntryLeaving)
		default:
			t.close(now, j, refused(verdict.Leaving))
		}
	}
}

// sortedJobs lists all jobs in queue order, to make runs reproducible.
func (t *Table) sortedJobs() []*jobState { return slices.SortedFunc(maps.Values(t.jobs), compareJobs) }

// answerResubmitted answers the callers that have resubmitted a job which was given up, and prevents it from starting anew.
func (t *Table) answerResubmitted(j *jobState, a Answer) {
	requests := j.resubmitted
	j.resubmitted = nil
	for _, r := range requests {
		t.callers.Answer(r.Caller, a)
	}
}

// EntryLeaving is the answer to callers whose jobs may or may not have run when their entry shuts down.
var EntryLeaving = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Leaving}

// unfinishedVerdict returns the verdict on a job that is given up now.
func unfinishedVerdict(j *jobState) verdict.Verdict {
	if j.begun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// close gives a job its final answer and ends it. The Keeper is told of kept jobs.
func (t *Table) close(now time.Time, j *jobState, a Answer) {
	if j.kept {
		t.keeper.JobEnded(now, j.id, a)
	}
	t.endJob(now, j, a)
}

// endJob answers a job's callers, stops its remaining runs, and removes it once none is left.
func (t *Table) endJob(now time.Time, j *jobState, a Answer) {
	invariant.Check(!j.ending, invariant.AnsweredOnce, func() logrus.Fields { return logrus.Fields{"job": j.id} })
	invariant.Check(a.Verdict != verdict.NotRun || j.outstanding == 0, invariant.NotRunIsTrue, func() logrus.Fields {
		return logrus.Fields{"job": j.id, "runs": j.outstanding}
	})
	j.ending = true
	t.recordPressure(now, j, a)
	t.countRefused(now, &j.route, j.spec, a)
	s := t.summary(now, j)
	s.RefusedBy = refusalCause(a, true)
	if a.Verdict == verdict.NotRun {
		s.Room = t.roomLeft(now, j)
	}
	for _, c := range j.callers {
		t.callers.Answer(c, a)
	}
	j.callers = nil
	t.observer.Answered(j.id, &j.route, a, s)
	for _, step := range j.steps {
		for _, k := range step.tasks {
			t.drop(k)
		}
	}
	t.reportStops(j, StopCause(a.Reason), j.unreachableRuns())
	t.removeIfDone(now, j)
}

// summary describes how a job went.
func (t *Table) summary(now time.Time, j *jobState) Summary {
	s := Summary{
		RequestID: j.requestID, Took: now.Sub(j.submitted), Objective: j.objective, Tasks: j.spec.TaskCount(), Runs: j.runs, Failures: j.failures,
		Longest: j.longest, Blamed: j.blamed, Queued: t.waitingJobs(), Resent: j.resent(),
	}
	if !j.firstAt.IsZero() {
		s.Waited = j.firstAt.Sub(j.submitted)
	}
	return s
}

// roomLeft returns the capacity available for a job's waiting tasks.
func (t *Table) roomLeft(now time.Time, j *jobState) RoomLeft {
	r := RoomLeft{Closed: t.countClosed(now)}
	for s := range j.steps {
		n := len(j.steps[s].waiting)
		if n <= r.Tasks {
			continue
		}
		r.Tasks, r.TaskCPU = n, j.spec.Steps[s].Each.CPU
		r.Ready, r.Fits = t.countRoom(j.route.Service, &j.spec.Steps[s])
	}
	return r
}

// countRoom counts the upstreams that accept work, and the tasks of a step for which they have capacity.
func (t *Table) countRoom(service ident.Service, step *job.Step) (ready, fits int) {
	for _, a := range t.agentList {
		if !a.Serves(service, fleet.Ready) {
			continue
		}
		ready++
		if a.CanTake(service, step) && step.Each.CPU > 0 {
			fits += int(a.Free().CPU / step.Each.CPU)
		}
	}
	return ready, fits
}

// drop ends a task of a job that is being closed.
func (t *Table) drop(k *task) {
	switch k.phase {
	case waiting:
		t.dequeue(k)
		k.phase = finished
	case blocked, awaitingStore:
		k.phase = finished
	case placed:
		t.stop(k)
	}
}

// stop asks a task's agent to stop its run.
func (t *Table) stop(k *task) {
	if k.stopping {
		return
	}
	k.stopping = true
	t.unreportedStops = append(t.unreportedStops, k.runAt())
	t.agentsIO.Stop(k.agent.ID, k.orderedRun(), fleet.OnRequest)
}

// removeIfDone removes a closed job of which no run remains, and starts it anew if it was resubmitted.
func (t *Table) removeIfDone(now time.Time, j *jobState) {
	if !j.ending || j.outstanding > 0 && !(t.opts.Without.Has(rule.StopsFirst) && len(j.resubmitted) > 0) {
		return
	}
	if t.jobs[j.id] == j {
		delete(t.jobs, j.id)
		t.sendReplies(j.id)
	}
	requests := j.resubmitted
	j.resubmitted = nil
	for _, r := range requests {
		t.take(now, r)
	}
}
