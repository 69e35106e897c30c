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
	if !t.hold(now, r) {
		t.take(now, r)
	}
}

// take takes a job whose caller is taken for present, or answers at once why not.
func (t *Table) take(now time.Time, r Request) {
	if j := t.jobs[r.Job]; j != nil {
		t.submitAgain(now, j, r)
		return
	}
	if a, ok := t.refusal(now, r); ok {
		t.callers.Answer(r.Caller, a)
		t.observer.Answered(r.Job, &r.Route, a, Summary{Sender: r.Sender, Tasks: r.Spec.Tasks(), Queued: t.waitingJobs()})
		return
	}
	t.observer.Taken(&r)
	t.begin(now, r)
	t.pump(now)
}

// wakeWindow is how long after a standstill a request may be one that came during it.
const wakeWindow = 200 * time.Millisecond

// deadline is when a request's caller surely waits no longer. A request that came while the process stood still
// may have waited all that time; its caller may be about to send it elsewhere.
func (t *Table) deadline(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() || t.woke.IsZero() || now.Sub(t.woke) > wakeWindow {
		return r.Deadline
	}
	return r.Deadline.Add(-now.Sub(t.stoodFrom))
}

// refusal says why a job can't be taken.
func (t *Table) refusal(now time.Time, r Request) (Answer, bool) {
	switch {
	case t.closing:
		return refused(verdict.Leaving), true
	case r.Spec.Unsupported != "" || !r.Spec.BestEffort && r.Kept == nil:
		return refused(verdict.Unsupported), true
	case r.Spec.Tasks() > t.opts.MaxTasks:
		return refused(verdict.TooLarge), true
	case r.Kept == nil && t.waitingJobs() >= t.opts.MaxQueue:
		return refused(verdict.Overloaded), true
	case r.Kept == nil && t.nowhere(now, r.Route.Service):
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
func (t *Table) submitAgain(now time.Time, j *jobState, r Request) {
	t.observer.CameAgain(&r, j.holding(now))
	switch {
	case r.Kept != nil && !j.kept:
		// The caller has sent the id first as a job that need not be kept. The kept one begins once that has ended.
		j.again = append(j.again, r)
		t.forget(now, j)
	case j.spec.Text != r.Spec.Text || j.spec.Tasks() != r.Spec.Tasks():
		t.callers.Answer(r.Caller, Answer{State: verdict.Refused, Verdict: verdict.MayHaveRun, Reason: verdict.DifferentBody})
	case j.ending:
		// Its old runs are being stopped; only then may it run anew.
		j.again = append(j.again, r)
		t.forget(now, j)
	default:
		j.callers = append(j.callers, r.Caller)
		j.sender = r.Sender
		if r.Deadline.After(j.deadline) {
			j.deadline = r.Deadline
		}
	}
}

// begin makes a job's state and queues its first steps.
func (t *Table) begin(now time.Time, r Request) {
	chain := r.Spec.Chain()
	j := &jobState{
		id: r.Job, spec: r.Spec, route: r.Route, kept: r.Kept != nil, sender: r.Sender, submitted: now, deadline: r.Deadline,
		objective: r.Route.Objective(chain), steps: make([]stepState, len(r.Spec.Steps)),
	}
	if !j.kept {
		j.callers, j.tellAt = []CallerID{r.Caller}, now.Add(holders.TellAfter)
	}
	if !j.kept && !r.Deadline.IsZero() {
		j.late = t.patient.SentBefore(r.Route.Name, j.objective, r.Deadline.Sub(now))
	}
	t.takeTurn(now, j, chain)
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
		j.resume(r.Kept)
		t.resumeCrashes(now, j, r.Kept.Crashes)
	}
	if !t.endIfOver(now, j) {
		t.unblock(j)
	}
}

// resume takes over what is known of a job's tasks.
func (j *jobState) resume(known *Kept) {
	j.late = known.Late
	for i := range j.steps {
		step := &j.steps[i]
		for _, k := range step.tasks {
			k.run, k.failures, k.checkpoint = known.Runs, known.Failures[k.id], known.Checkpoints[k.id]
			j.failures += k.failures
			if known.Done[k.id] {
				k.phase = over
				step.left--
				j.remaining--
			}
		}
	}
}

// endIfOver ends a job of which nothing is left to do, or a task of which has failed too often or crashes upstreams.
func (t *Table) endIfOver(now time.Time, j *jobState) bool {
	for _, step := range j.steps {
		for _, k := range step.tasks {
			switch {
			case k.phase == over:
			case k.failures >= j.attempts():
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
