package dispatch

import (
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/admission"
	"hillreel/internal/entry/holders"
)

// Submit takes a job, or answers at once why not.
func (t *Table) Submit(now time.Time, r Request) {
	r.Deadline = t.deadline(now, r)
	if !t.holdBelated(now, r) {
		t.take(now, r)
	}
}

// take takes a job whose caller is taken for present, or answers at once why not.
func (t *Table) take(now time.Time, r Request) {
	if j := t.jobs[r.Job]; j != nil {
		t.resubmit(now, j, r)
		return
	}
	if a, ok := t.refusal(now, r); ok {
		t.callers.Answer(r.Caller, a)
		t.observer.Answered(r.Job, &r.Route, a, Summary{RequestID: r.RequestID, Tasks: r.Spec.TaskCount(), Queued: t.waitingJobs()})
		return
	}
	t.observer.Taken(&r)
	t.addJob(now, r)
	t.placeAll(now)
}

// wakeWindow is how long after a standstill a request may be one that came during it.
const pauseWindow = 200 * time.Millisecond

// deadline is when a request's caller surely waits no longer. A request that came while the process stood still
// may have waited all that time; its caller may be about to send it elsewhere.
func (t *Table) deadline(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() || t.pausedUntil.IsZero() || now.Sub(t.pausedUntil) > pauseWindow {
		return r.Deadline
	}
	return r.Deadline.Add(-now.Sub(t.pausedFrom))
}

// refusal says why a job can't be taken.
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
	return Answer{}, false
}

// refused is the answer to a job of which nothing has run, and nothing will.
func refused(why verdict.Reason) Answer {
	return Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: why, RetryAfter: admission.RefusedRetry}
}

// submitAgain handles a job whose id is held already. Two requests are taken for the same job when their texts and their
// numbers of tasks are: steps and queues are not compared, and those of the first request stay in force.
func (t *Table) resubmit(now time.Time, j *jobState, r Request) {
	t.observer.Resubmitted(&r, j.holding(now))
	switch {
	case r.Kept != nil && !j.kept:
		// The caller has sent the id first as a job that need not be kept. The kept one begins once that has ended.
		j.resubmitted = append(j.resubmitted, r)
		t.removeIfDone(now, j)
	case j.spec.Text != r.Spec.Text || j.spec.TaskCount() != r.Spec.TaskCount():
		t.callers.Answer(r.Caller, Answer{State: verdict.Refused, Verdict: verdict.MayHaveRun, Reason: verdict.DifferentBody})
	case j.ending:
		// Its old runs are being stopped; only then may it run anew.
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

// begin makes a job's state and queues its first steps.
func (t *Table) addJob(now time.Time, r Request) {
	chain := r.Spec.CriticalPath()
	j := &jobState{
		id: r.Job, spec: r.Spec, route: r.Route, kept: r.Kept != nil, requestID: r.RequestID, submitted: now, deadline: r.Deadline,
		objective: r.Route.Objective(chain), steps: make([]stepState, len(r.Spec.Steps)),
	}
	if !j.kept {
		j.callers, j.announceAt = []CallerID{r.Caller}, now.Add(holders.AnnounceAfter)
	}
	if !j.kept && !r.Deadline.IsZero() {
		j.late = t.resends.Observe(r.Route.Name, j.objective, r.Deadline.Sub(now))
	}
	t.setWaitLimits(now, j, chain)
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
	}
	if !t.finishIfDone(now, j) {
		t.unblock(j)
	}
}

// resume takes over what is known of a job's tasks.
func (j *jobState) restore(known *KeptState) {
	j.late = known.Late
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

// endIfOver ends a job of which nothing is left to do, or a task of which has failed too often or crashes upstreams.
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
