package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/retry"
)

// minAttempts is how many failed runs at different upstreams it takes at least to fail a job that need not be
// kept. A bad upstream fails what it starts at once, so that a job's own two attempts could both meet one.
const minAttempts = 3

// attempts is after how many failed runs of a task the job has failed. For kept jobs the platform counts.
func (j *jobState) maxAttempts() int {
	if j.kept {
		return max(j.route.Attempts, 1)
	}
	return max(j.route.Attempts, minAttempts)
}

// usedStep is by how much a run's number rises when the upstream has seen it: the job was sent before, and its
// earlier entry has used numbers from 1 on.
const usedRunSkip = 8

// Ended handles the end of a run, and tells whether it was one that this entry waits for.
func (t *Table) HandleEnd(now time.Time, id ident.Incarnation, e fleet.End) bool {
	a := t.agents[id]
	if a == nil {
		return false
	}
	k := a.runs[e.Task]
	if k == nil || k.run != e.Run || k.runID != e.ID {
		return false
	}
	t.endRun(now, a, k, e)
	if t.unplaced {
		t.placeAll(now) // else there is nothing new to place, and news of the room follow
	}
	return true
}

// ended takes a run off its agent and decides what becomes of the task.
func (t *Table) endRun(now time.Time, a *agentState, k *task, e fleet.End) {
	delete(a.runs, k.id)
	j := k.job
	j.outstanding--
	j.longest = max(j.longest, e.Took)
	if e.Checkpoint != "" {
		k.checkpoint = e.Checkpoint
	}
	k.agent = nil
	if j.kept && (e.Outcome == job.Done || e.Outcome == job.Failed) {
		t.keeper.RunEnded(now, a.ID, e)
	}
	switch {
	case j.ending:
		k.phase = finished
		t.observer.Ended(a.Name, e, "given_up")
		t.removeIfDone(now, j)
	case e.Reason == fleet.Superseded && j.kept:
		t.observer.Ended(a.Name, e, "job_superseded")
		k.phase = finished
		t.keeper.Superseded(now, j.id)
	case e.Reason == fleet.Superseded:
		// The caller has sent the job to another entry; two entries that kept at it would stop each other's runs.
		t.observer.Ended(a.Name, e, "job_superseded")
		k.phase = finished
		t.close(now, j, superseded)
	default:
		if e.Reason == fleet.ZoneCordoned {
			t.recordCordonRefusal(a)
		}
		k.recordOutcome(a.Upstream.ID, e.Outcome)
		t.decideNext(now, a, k, e)
	}
}

// learn notes what a run's outcome says of its task, its job and the upstream.
func (k *task) recordOutcome(upstream ident.UpstreamID, o job.Outcome) {
	j := k.job
	if o == job.Failed || o == job.Stalled || o == job.Lost {
		j.blamed = append(j.blamed, upstream)
	}
	switch o {
	case job.Failed:
		j.failures++
		k.failures++
		k.avoidUpstream(upstream)
	case job.Stalled:
		k.avoidUpstream(upstream)
	case job.Used:
		k.run += usedRunSkip
		j.runs--
	case job.NotStarted:
		// Nothing was started: what this job has begun is unchanged.
		j.runs--
	}
}

// goOn ends a task, or its job, or lets the task be placed again.
func (t *Table) decideNext(now time.Time, a *agentState, k *task, e fleet.End) {
	j := k.job
	action := retry.Decide(retry.End{
		Outcome: e.Outcome, Reason: e.Reason, Failures: k.failures, MaxAttempts: j.maxAttempts(), Kept: j.kept, StoreFirst: t.mustStoreCrash(k, e.Outcome),
	})
	t.observer.Ended(a.Name, e, string(action))
	switch action {
	case retry.Done:
		t.completeTask(now, k)
	case retry.FailJob:
		k.phase = finished
		t.close(now, j, Answer{State: verdict.Failed, Verdict: verdict.Ran, Reason: verdict.TaskFailed})
	case retry.AwaitStore:
		k.phase = awaitingStore
		t.keeper.RunLost(now, k.runRef())
	case retry.Retry:
		j.begun = j.begun && (j.runs > 0)
		t.enqueue(k)
	}
}

// PlaceAgain lets a task of a kept job be placed whose last run was lost.
func (t *Table) PlaceAgain(now time.Time, id job.TaskID) {
	j := t.jobs[id.Job]
	if j == nil || j.ending {
		return
	}
	if k := j.task(id); k != nil && k.phase == awaitingStore {
		t.enqueue(k)
		t.placeAll(now)
	}
}

// done ends a task well, and its job with the last one.
func (t *Table) completeTask(now time.Time, k *task) {
	j := k.job
	k.phase = finished
	j.remaining--
	step := &j.steps[k.id.Step]
	step.left--
	if j.remaining == 0 {
		t.close(now, j, Answer{State: verdict.Complete, Verdict: verdict.Ran})
		return
	}
	if step.left == 0 {
		t.unblock(j)
	}
}

// Tick does what time alone brings about.
func (t *Table) Tick(now time.Time) {
	t.contact.countListening(now)
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > t.opts.Timing.Silence {
		t.pausedFrom, t.pausedUntil = t.lastTick, now
		t.contact.recordPause(now)
	}
	if t.firstTick.IsZero() {
		t.firstTick = now
	}
	t.lastTick = now
	t.giveUpSilentCallers(now)
	t.settleSilent(now)
	t.submitBelated(now)
	t.announceHeld(now)
	t.refuseAllCordoned(now)
	for _, j := range t.dueJobs(now) {
		t.giveUpIfDue(now, j)
	}
	t.placeAll(now)
}

// expired tells whether a job's caller waits no longer.
func (j *jobState) expired(now time.Time) bool {
	return !j.kept && !j.deadline.IsZero() && now.After(j.deadline)
}

// tooLate tells whether a job has waited for as long as it may, and nothing of it was offered to an upstream.
func (j *jobState) waitedTooLong(now time.Time) bool { return !j.begun && now.After(j.waitUntil) }

// giveUp answers a job that can't be served any more.
func (t *Table) giveUpIfDue(now time.Time, j *jobState) {
	switch {
	case j.ending:
		return
	case j.expired(now):
		t.expireJob(now, j)
	case !j.waitedTooLong(now):
		return
	case j.kept:
		t.demote(j)
	default:
		t.close(now, j, refused(verdict.Overloaded))
	}
}

// fallBehind lets a kept job that can't be in time any more wait behind those that can.
func (t *Table) demote(j *jobState) {
	if j.late {
		return
	}
	q := t.queue(j.route.Service)
	if j.waiting > 0 {
		q.Remove(j)
	}
	j.late = true
	if j.waiting > 0 {
		q.Add(j)
	}
}

// expireJob gives up a job whose caller waits no longer.
func (t *Table) expireJob(now time.Time, j *jobState) {
	if j.begun {
		t.close(now, j, Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Deadline})
		return
	}
	t.close(now, j, refused(verdict.Deadline))
}

// settleSilent settles agents that have been lost for so long that nothing runs there any more.
func (t *Table) settleSilent(now time.Time) {
	for _, a := range slices.Clone(t.agentList) {
		if !a.Linked && now.Sub(a.ClockReadAt) >= t.opts.Timing.SettleAfter() {
			t.settle(now, a, fleet.AgentSilent)
		}
	}
}

// dueJobs lists the jobs that may have to be given up, or to wait behind others, the most urgent first.
func (t *Table) dueJobs(now time.Time) []*jobState {
	var due []*jobState
	for _, j := range t.jobs {
		if !j.ending && (j.expired(now) || !(j.kept && j.late) && j.waitedTooLong(now)) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, compareJobs)
	return due
}
