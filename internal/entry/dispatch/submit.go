package dispatch

import (
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/admission"
	"hillreel/internal/entry/holders"
)

// Submit takes a job, or answers at once why it is refused. A request that may have been delayed is held back first.
func (t *Table) Submit(now time.Time, r Request) {
	r.Deadline = t.deadline(now, r)
	if !t.holdBelated(now, r) {
		t.take(now, r)
	}
}

// take takes a job whose caller is assumed to be connected, or answers at once why it is refused.
func (t *Table) take(now time.Time, r Request) {
	if j := t.jobs[r.Job]; j != nil {
		t.resubmit(now, j, r)
		return
	}
	t.countDemand(now, &r)
	if a, ok := t.refusal(now, r); ok {
		t.countRefused(now, &r.Route, r.Spec, a)
		t.callers.Answer(r.Caller, a)
		t.observer.Answered(r.Job, &r.Route, a, Summary{
			RequestID: r.RequestID, Tasks: r.Spec.TaskCount(), Queued: t.waitingJobs(), RefusedBy: refusalCause(a, false),
		})
		return
	}
	t.observer.Taken(&r)
	t.addJob(now, r)
	t.placeAll(now)
}

// pauseWindow is how long after a pause of the process a request may be one that arrived during the pause.
const pauseWindow = 200 * time.Millisecond

// deadline returns the time after which a request's caller has certainly stopped waiting. A request that arrived while the
// process was paused may have waited for the whole pause, and its caller may be about to submit it elsewhere. The pause is
// therefore deducted.
func (t *Table) deadline(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() || t.pausedUntil.IsZero() || now.Sub(t.pausedUntil) > pauseWindow {
		return r.Deadline
	}
	return r.Deadline.Add(-now.Sub(t.pausedFrom))
}

// refusal returns the answer to a job that can't be taken, and whether that is the case.
func (t *Table) refusal(now time.Time, r Request) (Answer, bool) {
	switch {
	case t.closing:
		return refused(verdict.Leaving), true
	case r.Spec.Unsupported != "" || !r.Spec.BestEffort && r.Kept == nil:
		return refused(verdict.Unsupported), true
	case r.Spec.TaskCount() > t.opts.MaxTasks:
		return refused(verdict.TooLarge), true
	case r.Kept == nil && t.waitingJobs() >= t.opts.MaxQueue:
		return refused(verdict.Overloaded), true
	case r.Kept == nil && t.allCordoned(now, r.Route.Service):
		return cordonedAnswer, true
	case !r.Deadline.IsZero() && !now.Before(r.Deadline):
		return refused(verdict.Deadline), true
	}
	return t.overShare(now, &r)
}

// refused is the answer to a job of which nothing has run and nothing will run.
func refused(why verdict.Reason) Answer {
	return Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: why, RetryAfter: admission.RefusedRetry}
}

// resubmit handles a request for a job id that this entry already holds. Two requests are for the same job if their text
// and their number of tasks are equal. Steps and queues are not compared, and those of the first request remain in force.
func (t *Table) resubmit(now time.Time, j *jobState, r Request) {
	t.observer.Resubmitted(&r, j.holding(now))
	switch {
	case r.Kept != nil && !j.kept:
		// The caller has submitted the id before as a job that is not kept. The kept job starts once that job has ended.
		j.resubmitted = append(j.resubmitted, r)
		t.removeIfDone(now, j)
	case j.spec.Text != r.Spec.Text || j.spec.TaskCount() != r.Spec.TaskCount():
		t.callers.Answer(r.Caller, Answer{State: verdict.Refused, Verdict: verdict.MayHaveRun, Reason: verdict.DifferentBody})
	case j.ending:
		// The old runs are being stopped. The job may start anew only after that.
		j.resubmitted = append(j.resubmitted, r)
		t.removeIfDone(now, j)
	default:
		j.callers = append(j.callers, r.Caller)
		j.requestID = r.RequestID
		if r.Deadline.After(j.deadline) {
			j.deadline = r.Deadline
		}
	}
}

// addJob creates a job's state and queues its first steps.
func (t *Table) addJob(now time.Time, r Request) {
	criticalPath := r.Spec.CriticalPath()
	j := &jobState{
		id: r.Job, spec: r.Spec, route: r.Route, kept: r.Kept != nil, requestID: r.RequestID, submitted: now, idleSince: now, deadline: r.Deadline,
		objective: r.Route.Objective(criticalPath), steps: make([]stepState, len(r.Spec.Steps)),
	}
	if !j.kept {
		j.callers, j.announceAt = []CallerID{r.Caller}, now.Add(holders.AnnounceAfter)
	}
	if !j.kept && !r.Deadline.IsZero() {
		j.late = t.resends.Observe(r.Route.Name, j.objective, r.Deadline.Sub(now))
	}
	t.setWaitLimits(now, j, criticalPath)
	for i, step := range r.Spec.Steps {
		for k := range step.Count {
			id := job.TaskID{Job: r.Job, Step: uint32(i), Index: k}
			j.steps[i].tasks = append(j.steps[i].tasks, &task{id: id, job: j, phase: blocked})
		}
		j.steps[i].left = int(step.Count)
		j.remaining += int(step.Count)
	}
	t.jobs[j.id] = j
	if r.Kept != nil {
		j.restore(r.Kept)
		t.restoreCrashes(now, j, r.Kept.Crashes)
		t.restoreUnconfirmed(now, r.Kept.Unconfirmed, r.Kept.Beside)
	}
	if !t.finishIfDone(now, j) {
		t.unblock(j)
	}
}

// restore applies the stored state of a kept job to its tasks.
func (j *jobState) restore(known *KeptState) {
	j.late, j.generation = known.Late, known.Generation
	for i := range j.steps {
		step := &j.steps[i]
		for _, k := range step.tasks {
			k.run, k.failures, k.checkpoint = known.LastRun, known.Failures[k.id], known.Checkpoints[k.id]
			j.failures += k.failures
			if known.Done[k.id] {
				k.phase = finished
				step.left--
				j.remaining--
			}
		}
	}
}

// finishIfDone closes a job if no task remains, or if a task has failed too often or crashes upstreams. It reports whether
// it did so.
func (t *Table) finishIfDone(now time.Time, j *jobState) bool {
	for _, step := range j.steps {
		for _, k := range step.tasks {
			switch {
			case k.phase == finished:
			case k.failures >= j.maxAttempts():
				t.close(now, j, Answer{State: verdict.Failed, Verdict: verdict.Ran, Reason: verdict.TaskFailed})
				return true
			case t.crashes.Finding(k.id) == crash.Proven:
				t.close(now, j, crashesUpstreams)
				return true
			}
		}
	}
	if j.remaining == 0 {
		t.close(now, j, Answer{State: verdict.Complete, Verdict: verdict.Ran})
	}
	return j.remaining == 0
}
