package owner

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/acks"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// maxProgressDelay is how long the end of a run waits to be stored in the same write as the end of its job. Most jobs end
// sooner. The delay is bounded because upstreams list ends again until they are stored, and list at most 500 of them: about
// ten seconds' worth at a busy upstream.
const maxProgressDelay = time.Second

// RunEnded handles the end of a run that the dispatch table waited for.
func (o *Owner) RunEnded(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := acks.End{Agent: agent, Run: fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := o.jobs[e.Task.Job]
	switch {
	case k != nil && k.phase == running:
		o.countEnd(now, k, r, e)
	case o.endedJobs.Has(e.Task.Job):
		// The job has ended, and no run of it starts any more.
		o.acks.AckStored(r)
	}
}

// countEnd adds an end to a job's progress.
func (o *Owner) countEnd(now time.Time, k *keptJob, r acks.End, e fleet.End) {
	k.open.AddEnd(e.Task, e.Run, e.Outcome == job.Failed, e.Checkpoint)
	k.addUnstored(now, r)
}

// addUnstored registers an end to be acknowledged once the next write is done.
func (k *keptJob) addUnstored(now time.Time, r acks.End) {
	if len(k.unstoredEnds) == 0 {
		k.unstoredSince = now
	}
	k.unstoredEnds = append(k.unstoredEnds, r)
}

// hasCounted reports whether the end of a run is in a job's progress.
func (k *keptJob) hasCounted(r fleet.RunRef) bool {
	return k.open.Ends.Contains(r.Task.Step, r.Task.Index, r.Run)
}

// RunLost handles a run at an agent that can't be reached. Its task may be placed again only after the store has recorded
// the run as void. Otherwise an entry that takes the job over could count both runs.
func (o *Owner) RunLost(_ time.Time, r fleet.RunRef) {
	k := o.jobs[r.Task.Job]
	if k == nil || k.phase != running {
		return
	}
	k.open.VoidRun(r.Task, r.Run)
	k.lostTasks = append(k.lostTasks, r.Task)
	if k.finalState == "" && !k.writing {
		o.writeProgress(k)
	}
}

// HandleStrayEnd handles the end of a kept job's run that the dispatch table does not wait for.
func (o *Owner) HandleStrayEnd(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := acks.End{Agent: agent, Run: fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := o.jobs[e.Task.Job]
	switch {
	case k == nil && o.endedJobs.Counted(r.Run):
		o.acks.AckStored(r)
	case k == nil && o.endedJobs.Has(e.Task.Job):
		o.acks.AckVoid(r)
	case k == nil || k.phase == awaitingLease || k.phase == accepting:
		o.acks.LookUp(r)
	case k.hasCounted(r.Run):
		k.addUnstored(now, r)
	case k.phase == takingOver && k.open.MayCount(e.Task, e.Run):
		o.countEnd(now, k, r, e)
	default:
		// The task was placed again because the agent was unreachable for too long.
		o.logEvent(logrus.InfoLevel, "end_came_too_late", logrus.Fields{"job": e.Task.Job, "task": e.Task, "run": e.Run})
		o.acks.AckVoid(r)
	}
}

// HandleLookUp handles the stored rows of an unknown job of which agents reported ends.
func (o *Owner) HandleLookUp(id job.ID, open, ended rows.Row, err error) {
	o.acks.HandleLookUp(id, open, ended, err)
}

// JobEnded handles the end of a job in the dispatch table.
func (o *Owner) JobEnded(now time.Time, id job.ID, a dispatch.Answer) {
	if k := o.jobs[id]; k != nil && k.phase == running && k.finalState == "" {
		o.endJob(now, k, a.State)
	}
}

// Superseded handles the report that another entry acts for a job. The next write decides which entry owns it: the write
// starts a new generation, and fails if the other entry has taken the job over.
func (o *Owner) Superseded(now time.Time, id job.ID) {
	k := o.jobs[id]
	if k == nil || k.phase != running {
		return
	}
	o.table.Release(now, id, verdict.Superseded)
	k.phase, k.newGeneration = takingOver, true
	if k.finalState == "" && !k.writing {
		o.writeProgress(k)
	}
}

// storeProgress writes a job's progress if its oldest unstored end has waited for maxProgressDelay.
func (o *Owner) storeProgress(now time.Time, k *keptJob) {
	due := len(k.unstoredEnds) > 0 && now.Sub(k.unstoredSince) >= maxProgressDelay
	if k.finalState == "" && !k.writing && due {
		o.writeProgress(k)
	}
}

// writeProgress writes a job's open row.
func (o *Owner) writeProgress(k *keptJob) {
	k.open.Sequence++
	renewing := k.newGeneration
	if renewing {
		k.open.Generation++
		k.newGeneration = false
	}
	k.writing, k.mustWrite = true, false
	k.endsInWrite, k.unstoredEnds = append(k.endsInWrite, k.unstoredEnds...), nil
	k.lostTasksInWrite, k.lostTasks = append(k.lostTasksInWrite, k.lostTasks...), nil
	written := k.open
	o.startWrite(o.progressOp(k, written), func(now time.Time, r jobstore.Result) {
		if o.handleProgressWritten(now, k, written, r) {
			o.continueAfterWrite(now, k, renewing)
		}
	})
}

// progressOp returns the write that replaces the row of an open job.
func (o *Owner) progressOp(k *keptJob, next record.OpenJob) jobstore.Op {
	key := o.opts.Layout.OpenKey(k.id)
	return jobstore.JobOp(o.opts.Layout, k.id, rows.Txn{
		If:  []rows.Condition{{Key: key, Version: k.version}},
		Put: []rows.Row{{Key: key, Value: o.encode(next)}},
	})
}

// continueAfterWrite continues a job that this entry still owns after a write of its progress. renewed is true if that write
// started a new generation.
func (o *Owner) continueAfterWrite(now time.Time, k *keptJob, renewed bool) {
	placing := k.lostTasksInWrite
	k.lostTasksInWrite = nil
	switch {
	case k.finalState != "":
		o.writeEnd(now, k)
		return
	case k.newGeneration || k.mustWrite || len(k.lostTasks) > 0:
		o.writeProgress(k)
	}
	if renewed {
		o.askForEnds(now, []*keptJob{k})
	}
	for _, task := range placing {
		o.table.PlaceAgain(now, task)
	}
}

// handleProgressWritten handles the result of a write of a job's open row. It reports whether this entry still owns the job.
func (o *Owner) handleProgressWritten(now time.Time, k *keptJob, written record.OpenJob, r jobstore.Result) bool {
	if o.jobs[k.id] != k {
		return false
	}
	k.writing = false
	version := r.Version
	if r.Outcome == jobstore.Conflict {
		stored := r.Stored(o.opts.Log)
		switch {
		case stored.Ended != nil:
			o.finishJob(now, k, stored.Ended.State)
			return false
		case !stored.IsOpenAs(written):
			o.dropJob(now, k, "owned_by_another_entry")
			return false
		}
		version = stored.Version
	}
	k.version = version
	o.acks.AckStored(k.endsInWrite...)
	k.endsInWrite = nil
	return true
}

// endJob ends a job. Its final state is visible once it is stored.
func (o *Owner) endJob(now time.Time, k *keptJob, s verdict.State) {
	k.finalState = s
	if !k.writing {
		o.writeEnd(now, k)
	}
}

// writeEnd starts the write of a job's end. It must not be called while another write of the job is in progress.
func (o *Owner) writeEnd(now time.Time, k *keptJob) {
	t, err := jobstore.EndTxn(o.opts.Layout, k.id, k.version, k.endedRecord(), o.lease.Clock(now)+o.opts.Retention)
	o.logUnreadable(err)
	k.writing = true
	k.endsInWrite, k.unstoredEnds = append(k.endsInWrite, k.unstoredEnds...), nil
	o.startWrite(jobstore.JobOp(o.opts.Layout, k.id, t), func(now time.Time, r jobstore.Result) {
		o.handleEndWritten(now, k, r)
	})
}

// endedRecord returns the row that stores the job's end.
func (k *keptJob) endedRecord() record.EndedJob {
	e := record.EndedJob{State: k.finalState, By: k.open.Owner}
	for _, r := range k.open.Ends {
		if k.finalState == verdict.Complete && !r.Failed && r.Run != 1 {
			e.Runs = append(e.Runs, r)
		}
	}
	return e
}

// handleEndWritten handles the result of the write of a job's end.
func (o *Owner) handleEndWritten(now time.Time, k *keptJob, r jobstore.Result) {
	if o.jobs[k.id] != k {
		return
	}
	k.writing = false
	if r.Outcome == jobstore.Done {
		o.finishJob(now, k, k.finalState)
		return
	}
	ended := r.Stored(o.opts.Log).Ended
	if ended == nil {
		o.dropJob(now, k, "owned_by_another_entry")
		return
	}
	o.finishJob(now, k, ended.State)
}

// finishJob removes a job whose end is stored, and answers all callers and agents that wait for this.
func (o *Owner) finishJob(now time.Time, k *keptJob, s verdict.State) {
	o.remove(k)
	o.endedJobs.Add(now, k.id, s, k.open.Ends)
	o.logEvent(logrus.InfoLevel, "job_end_stored", logrus.Fields{"job": k.id, "state": s, "generation": k.open.Generation})
	o.acks.AckStored(append(k.endsInWrite, k.unstoredEnds...)...)
	k.callers.answerAll(o.callers, acceptedAnswer)
	k.cancellers.answerAll(o.callers, dispatch.Answer{State: s, Verdict: verdict.Ran})
	k.watchers.answerAll(o.callers, dispatch.Answer{State: s, Verdict: verdict.Ran})
	o.table.Release(now, k.id, verdict.ByCaller)
}

// dropJob stops acting for a job that this entry may no longer own. why is logged.
func (o *Owner) dropJob(now time.Time, k *keptJob, why string) {
	o.remove(k)
	if k.phase == accepting {
		o.unsettled[k.id]++
	}
	o.logEvent(logrus.WarnLevel, "job_let_go", logrus.Fields{"job": k.id, "why": why})
	a := dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.LeaseLost}
	k.callers.answerAll(o.callers, a)
	k.cancellers.answerAll(o.callers, a)
	k.watchers.answerAll(o.callers, a)
	o.table.Release(now, k.id, verdict.LeaseLost)
}
