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

// minAttempts is the minimum number of failed runs, each at a different upstream, after which a job that is not kept fails.
// A bad upstream fails every run at once, so with only the two attempts that jobs usually have, both could meet a bad
// upstream.
const minAttempts = 3

// maxAttempts returns the number of failed runs of a task after which its job fails. For kept jobs the platform counts, so
// the queue's own number of attempts applies without that minimum.
func (j *jobState) maxAttempts() int {
	if j.kept {
		return max(j.route.Attempts, 1)
	}
	return max(j.route.Attempts, minAttempts)
}

// usedRunSkip is added to a run number that the upstream has already seen. In that case the job was submitted before, and
// its earlier entry has used numbers starting from 1.
const usedRunSkip = 8

// HandleEnd handles the end of a run. It reports whether this entry was waiting for that run.
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
		t.placeAll(now) // otherwise there is nothing new to place, and a report of the free capacity follows
	}
	return true
}

// endRun removes a run from its agent and decides what happens to its task.
func (t *Table) endRun(now time.Time, a *agentState, k *task, e fleet.End) {
	delete(a.runs, k.id)
	j := k.job
	j.outstanding--
	j.idleSince = now
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
		// The caller has submitted the job to another entry. If both entries went on, they would keep stopping each other's
		// runs.
		t.observer.Ended(a.Name, e, "job_superseded")
		k.phase = finished
		t.close(now, j, superseded)
	default:
		if e.Reason == fleet.ZoneCordoned {
			t.recordCordonRefusal(a)
		}
		k.recordOutcome(a.Upstream.ID, e.Outcome)
		t.forgetStart(now, k, e.Outcome)
		t.decideNext(now, a, k, e)
	}
}

// recordOutcome records what a run's outcome says about its task, its job and the upstream.
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
		k.recordStall(upstream)
		k.avoidUpstream(upstream)
	case job.Used:
		k.run += usedRunSkip
		j.runs--
	case job.NotStarted:
		// Nothing was started, so the job's count of started runs is unchanged.
		j.runs--
	}
}

// decideNext finishes a task, fails its job, waits for the store, or queues the task again.
func (t *Table) decideNext(now time.Time, a *agentState, k *task, e fleet.End) {
	j := k.job
	action := retry.Decide(retry.End{
		Outcome: e.Outcome, Reason: e.Reason, Failures: k.failures, MaxAttempts: j.maxAttempts(), Kept: j.kept,
		StoreFirst: t.mustStoreCrash(k, e.Outcome),
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

// PlaceAgain queues a task of a kept job whose last run was lost, once the store allows it.
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

// completeTask finishes a task that has succeeded, and its job if it was the last task.
func (t *Table) completeTask(now time.Time, k *task) {
	j := k.job
	k.phase = finished
	j.remaining--
	step := &j.steps[k.id.Step]
	step.stalledAt = nil
	step.left--
	if j.remaining == 0 {
		t.close(now, j, Answer{State: verdict.Complete, Verdict: verdict.Ran})
		return
	}
	if step.left == 0 {
		t.unblock(j)
	}
}

// Tick does everything that depends only on the passage of time.
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
	t.tellUnconfirmed()
	t.updateShares(now)
	t.countClosed(now)
	t.reportSuspects(now)
	t.refuseAllCordoned(now)
	for _, j := range t.dueJobs(now) {
		t.giveUpIfDue(now, j)
	}
	t.placeAll(now)
	t.reportWaiting(now)
}

// expired reports whether the job's deadline has passed, so that its caller no longer waits.
func (j *jobState) expired(now time.Time) bool {
	return !j.kept && !j.deadline.IsZero() && now.After(j.deadline)
}

// waitedTooLong reports whether a job has waited for as long as it may without any of its tasks being sent to an upstream.
func (j *jobState) waitedTooLong(now time.Time) bool { return !j.begun && now.After(j.waitUntil) }

// giveUpIfDue ends a job that has expired or has waited too long. A kept job is only moved behind the others.
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
	case t.isListening() || !t.placeAtLast(now, j): // after a pause, the job's caller may have submitted it elsewhere
		t.close(now, j, refused(verdict.Overloaded))
	}
}

// placeAtLast offers all free capacity to a job that would otherwise be refused. It reports whether the job has begun.
func (t *Table) placeAtLast(now time.Time, j *jobState) bool {
	t.noRoom = noRoom{}
	t.placeJob(now, j, t.agentList)
	return j.begun
}

// demote moves a kept job that can no longer meet its objective behind those that can.
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

// expireJob gives up a job whose deadline has passed.
func (t *Table) expireJob(now time.Time, j *jobState) {
	if j.begun {
		t.close(now, j, Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Deadline})
		return
	}
	t.close(now, j, refused(verdict.Deadline))
}

// settleSilent settles the agents that have been lost for so long that no run remains there.
func (t *Table) settleSilent(now time.Time) {
	for _, a := range slices.Clone(t.agentList) {
		if !a.Linked && now.Sub(a.ClockReadAt) >= t.opts.Timing.SettleAfter() {
			t.settle(now, a, fleet.AgentSilent)
		}
	}
}

// dueJobs lists the jobs that may have to be given up or demoted, in queue order.
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
