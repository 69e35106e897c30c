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

// progressAfter is how long an end waits for its job's end to be stored with it. Most jobs end sooner; upstreams list
// ends again until they are stored, and no more than 500, which are ten seconds of a busy one's.
const maxProgressDelay = time.Second

// RunEnded handles the end of a run that the table waited for.
func (b *Owner) RunEnded(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := acks.End{Agent: agent, Run: fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := b.jobs[e.Task.Job]
	switch {
	case k != nil && k.phase == running:
		b.countEnd(now, k, r, e)
	case b.endedJobs.Has(e.Task.Job):
		// The job has ended, and nothing of it begins any more.
		b.acks.AckStored(r)
	}
}

// count notes an end in a job's progress.
func (b *Owner) countEnd(now time.Time, k *keptJob, r acks.End, e fleet.End) {
	k.open.AddEnd(e.Task, e.Run, e.Outcome == job.Failed, e.Checkpoint)
	k.addUnstored(now, r)
}

// unstore lets an end be noted once the next write is done.
func (k *keptJob) addUnstored(now time.Time, r acks.End) {
	if len(k.unstoredEnds) == 0 {
		k.unstoredSince = now
	}
	k.unstoredEnds = append(k.unstoredEnds, r)
}

// counted tells whether the end of a run is in a job's progress.
func (k *keptJob) hasCounted(r fleet.RunRef) bool {
	return k.open.Ends.Contains(r.Task.Step, r.Task.Index, r.Run)
}

// RunLost handles a run at an agent that is out of hearing. Its task may be placed again only once the store says that
// the run counts for nothing, or whoever takes the job over could count both.
func (b *Owner) RunLost(_ time.Time, r fleet.RunRef) {
	k := b.jobs[r.Task.Job]
	if k == nil || k.phase != running {
		return
	}
	k.open.VoidRun(r.Task, r.Run)
	k.lostTasks = append(k.lostTasks, r.Task)
	if k.finalState == "" && !k.writing {
		b.writeProgress(k)
	}
}

// StrayEnd handles the end of a kept job's run that the table does not wait for.
func (b *Owner) HandleStrayEnd(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := acks.End{Agent: agent, Run: fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := b.jobs[e.Task.Job]
	switch {
	case k == nil && b.endedJobs.Counted(r.Run):
		b.acks.AckStored(r)
	case k == nil && b.endedJobs.Has(e.Task.Job):
		b.acks.AckVoid(r)
	case k == nil || k.phase == awaitingLease || k.phase == accepting:
		b.acks.LookUp(r)
	case k.hasCounted(r.Run):
		k.addUnstored(now, r)
	case k.phase == takingOver && k.open.MayCount(e.Task, e.Run):
		b.countEnd(now, k, r, e)
	default:
		// The task was placed again, since the agent was out of hearing for too long.
		b.logEvent(logrus.InfoLevel, "end_came_too_late", logrus.Fields{"job": e.Task.Job, "task": e.Task, "run": e.Run})
		b.acks.AckVoid(r)
	}
}

// Looked handles what the store has of a job whose ends this entry was told of.
func (b *Owner) HandleLookUp(id job.ID, open, ended rows.Row, err error) {
	b.acks.HandleLookUp(id, open, ended, err)
}

// JobEnded handles the end of a job in the table.
func (b *Owner) JobEnded(now time.Time, id job.ID, a dispatch.Answer) {
	if k := b.jobs[id]; k != nil && k.phase == running && k.finalState == "" {
		b.endJob(now, k, a.State)
	}
}

// Superseded handles that another entry is at a job: whose it is, the store tells.
func (b *Owner) Superseded(now time.Time, id job.ID) {
	k := b.jobs[id]
	if k == nil || k.phase != running {
		return
	}
	b.table.Release(now, id, verdict.Superseded)
	k.phase, k.newGeneration = takingOver, true
	if k.finalState == "" && !k.writing {
		b.writeProgress(k)
	}
}

// storeProgress writes ends that wait for their job's end for too long.
func (b *Owner) storeProgress(now time.Time, k *keptJob) {
	due := len(k.unstoredEnds) > 0 && now.Sub(k.unstoredSince) >= maxProgressDelay
	if k.finalState == "" && !k.writing && due {
		b.writeProgress(k)
	}
}

// rewrite writes a job's progress.
func (b *Owner) writeProgress(k *keptJob) {
	k.open.Sequence++
	renewing := k.newGeneration
	if renewing {
		k.open.Generation++
		k.newGeneration = false
	}
	k.writing = true
	k.endsInWrite, k.unstoredEnds = append(k.endsInWrite, k.unstoredEnds...), nil
	k.lostTasksInWrite, k.lostTasks = append(k.lostTasksInWrite, k.lostTasks...), nil
	written := k.open
	b.startWrite(b.progressOp(k, written), func(now time.Time, r jobstore.Result) {
		if b.handleProgressWritten(now, k, written, r) {
			b.continueAfterWrite(now, k, renewing)
		}
	})
}

// progressOp is the write that replaces the row of an open job.
func (b *Owner) progressOp(k *keptJob, next record.OpenJob) jobstore.Op {
	key := b.opts.Layout.OpenKey(k.id)
	return jobstore.JobOp(b.opts.Layout, k.id, rows.Txn{
		If:  []rows.Condition{{Key: key, Version: k.version}},
		Put: []rows.Row{{Key: key, Value: b.encode(next)}},
	})
}

// goOn goes on with a job that is still this entry's after a write.
func (b *Owner) continueAfterWrite(now time.Time, k *keptJob, renewed bool) {
	placing := k.lostTasksInWrite
	k.lostTasksInWrite = nil
	switch {
	case k.finalState != "":
		b.writeEnd(now, k)
		return
	case k.newGeneration || len(k.lostTasks) > 0:
		b.writeProgress(k)
	}
	if renewed {
		b.askForEnds(now, []*keptJob{k})
	}
	for _, task := range placing {
		b.table.PlaceAgain(now, task)
	}
}

// handleWritten handles the end of a write of a job's open row, and tells whether the job is still this entry's.
func (b *Owner) handleProgressWritten(now time.Time, k *keptJob, written record.OpenJob, r jobstore.Result) bool {
	if b.jobs[k.id] != k {
		return false
	}
	k.writing = false
	version := r.Version
	if r.Outcome == jobstore.Conflict {
		there := r.Stored(b.opts.Log)
		switch {
		case there.Ended != nil:
			b.finishJob(now, k, there.Ended.State)
			return false
		case !there.IsOpenAs(written):
			b.dropJob(now, k, "owned_by_another_entry")
			return false
		}
		version = there.Version
	}
	k.version = version
	b.acks.AckStored(k.endsInWrite...)
	k.endsInWrite = nil
	return true
}

// end ends a job: its state is shown once it is stored.
func (b *Owner) endJob(now time.Time, k *keptJob, s verdict.State) {
	k.finalState = s
	if !k.writing {
		b.writeEnd(now, k)
	}
}

// writeEnd writes how a job has ended.
func (b *Owner) writeEnd(now time.Time, k *keptJob) {
	t, err := jobstore.EndTxn(b.opts.Layout, k.id, k.version, k.endedRecord(), b.lease.Clock(now)+b.opts.Retention)
	b.logUnreadable(err)
	k.writing = true
	k.endsInWrite, k.unstoredEnds = append(k.endsInWrite, k.unstoredEnds...), nil
	b.startWrite(jobstore.JobOp(b.opts.Layout, k.id, t), func(now time.Time, r jobstore.Result) {
		b.handleEndWritten(now, k, r)
	})
}

// how is the row of the job's end.
func (k *keptJob) endedRecord() record.EndedJob {
	e := record.EndedJob{State: k.finalState, By: k.open.Owner}
	for _, r := range k.open.Ends {
		if k.finalState == verdict.Complete && !r.Failed && r.Run != 1 {
			e.Runs = append(e.Runs, r)
		}
	}
	return e
}

// handleEnded handles the end of the write of a job's end.
func (b *Owner) handleEndWritten(now time.Time, k *keptJob, r jobstore.Result) {
	if b.jobs[k.id] != k {
		return
	}
	k.writing = false
	if r.Outcome == jobstore.Done {
		b.finishJob(now, k, k.finalState)
		return
	}
	ended := r.Stored(b.opts.Log).Ended
	if ended == nil {
		b.dropJob(now, k, "owned_by_another_entry")
		return
	}
	b.finishJob(now, k, ended.State)
}

// finish handles that a job's end is stored.
func (b *Owner) finishJob(now time.Time, k *keptJob, s verdict.State) {
	b.remove(k)
	b.endedJobs.Add(now, k.id, s, k.open.Ends)
	b.logEvent(logrus.InfoLevel, "job_end_stored", logrus.Fields{"job": k.id, "state": s, "generation": k.open.Generation})
	b.acks.AckStored(append(k.endsInWrite, k.unstoredEnds...)...)
	k.callers.answerAll(b.callers, acceptedAnswer)
	k.cancellers.answerAll(b.callers, dispatch.Answer{State: s, Verdict: verdict.Ran})
	k.watchers.answerAll(b.callers, dispatch.Answer{State: s, Verdict: verdict.Ran})
	b.table.Release(now, k.id, verdict.ByCaller)
}

// drop lets a job go that is another entry's.
func (b *Owner) dropJob(now time.Time, k *keptJob, why string) {
	b.remove(k)
	b.logEvent(logrus.WarnLevel, "job_let_go", logrus.Fields{"job": k.id, "why": why})
	a := dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.LeaseLost}
	k.callers.answerAll(b.callers, a)
	k.cancellers.answerAll(b.callers, a)
	k.watchers.answerAll(b.callers, a)
	b.table.Release(now, k.id, verdict.LeaseLost)
}
