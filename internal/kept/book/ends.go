package book

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/notes"
	"hillreel/internal/kept/record"
)

// progressAfter is how long an end waits for its job's end to be stored with it. Most jobs end sooner; upstreams list
// ends again until they are stored, and no more than 500, which are ten seconds of a busy one's.
const progressAfter = time.Second

// RunEnded handles the end of a run that the table waited for.
func (b *Book) RunEnded(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := notes.End{Agent: agent, Run: fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := b.jobs[e.Task.Job]
	switch {
	case k != nil && k.phase == running:
		b.count(now, k, r, e)
	case b.ended.Has(e.Task.Job):
		// The job has ended, and nothing of it begins any more.
		b.notes.Stored(r)
	}
}

// count notes an end in a job's progress.
func (b *Book) count(now time.Time, k *keptJob, r notes.End, e fleet.End) {
	k.open.Count(e.Task, e.Run, e.Outcome == job.Failed, e.Checkpoint)
	k.unstore(now, r)
}

// unstore lets an end be noted once the next write is done.
func (k *keptJob) unstore(now time.Time, r notes.End) {
	if len(k.unstored) == 0 {
		k.dirtySince = now
	}
	k.unstored = append(k.unstored, r)
}

// counted tells whether the end of a run is in a job's progress.
func (k *keptJob) counted(r fleet.RunRef) bool {
	return k.open.Ends.Counted(r.Task.Step, r.Task.Index, r.Run)
}

// RunLost handles a run at an agent that is out of hearing. Its task may be placed again only once the store says that
// the run counts for nothing, or whoever takes the job over could count both.
func (b *Book) RunLost(_ time.Time, r fleet.RunRef) {
	k := b.jobs[r.Task.Job]
	if k == nil || k.phase != running {
		return
	}
	k.open.GiveUp(r.Task, r.Run)
	k.lost = append(k.lost, r.Task)
	if k.final == "" && !k.writing {
		b.rewrite(k)
	}
}

// StrayEnd handles the end of a kept job's run that the table does not wait for.
func (b *Book) StrayEnd(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := notes.End{Agent: agent, Run: fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := b.jobs[e.Task.Job]
	switch {
	case k == nil && b.ended.Counted(r.Run):
		b.notes.Stored(r)
	case k == nil && b.ended.Has(e.Task.Job):
		b.notes.Void(r)
	case k == nil || k.phase == asked || k.phase == accepting:
		b.notes.LookUp(r)
	case k.counted(r.Run):
		k.unstore(now, r)
	case k.phase == adopting && k.open.MayCount(e.Task, e.Run):
		b.count(now, k, r, e)
	default:
		// The task was placed again, since the agent was out of hearing for too long.
		b.event(logrus.InfoLevel, "end_came_too_late", logrus.Fields{"job": e.Task.Job, "task": e.Task, "run": e.Run})
		b.notes.Void(r)
	}
}

// Looked handles what the store has of a job whose ends this entry was told of.
func (b *Book) Looked(id job.ID, open, ended rows.Row, err error) {
	b.notes.Looked(id, open, ended, err)
}

// JobEnded handles the end of a job in the table.
func (b *Book) JobEnded(now time.Time, id job.ID, a dispatch.Answer) {
	if k := b.jobs[id]; k != nil && k.phase == running && k.final == "" {
		b.end(now, k, a.State)
	}
}

// Superseded handles that another entry is at a job: whose it is, the store tells.
func (b *Book) Superseded(now time.Time, id job.ID) {
	k := b.jobs[id]
	if k == nil || k.phase != running {
		return
	}
	b.table.Release(now, id, verdict.Superseded)
	k.phase, k.renew = adopting, true
	if k.final == "" && !k.writing {
		b.rewrite(k)
	}
}

// storeProgress writes ends that wait for their job's end for too long.
func (b *Book) storeProgress(now time.Time, k *keptJob) {
	due := len(k.unstored) > 0 && now.Sub(k.dirtySince) >= progressAfter
	if k.final == "" && !k.writing && due {
		b.rewrite(k)
	}
}

// rewrite writes a job's progress.
func (b *Book) rewrite(k *keptJob) {
	k.open.Sequence++
	renewing := k.renew
	if renewing {
		k.open.Generation++
		k.renew = false
	}
	k.writing = true
	k.storing, k.unstored = append(k.storing, k.unstored...), nil
	k.losing, k.lost = append(k.losing, k.lost...), nil
	written := k.open
	b.write(b.progressOp(k, written), func(now time.Time, r ledger.Result) {
		if b.handleWritten(now, k, written, r) {
			b.goOn(now, k, renewing)
		}
	})
}

// progressOp is the write that replaces the row of an open job.
func (b *Book) progressOp(k *keptJob, next record.Open) ledger.Op {
	key := b.opts.Layout.OpenKey(k.id)
	return ledger.JobOp(b.opts.Layout, k.id, rows.Txn{
		If:  []rows.Condition{{Key: key, Version: k.version}},
		Put: []rows.Row{{Key: key, Value: b.value(next)}},
	})
}

// goOn goes on with a job that is still this entry's after a write.
func (b *Book) goOn(now time.Time, k *keptJob, renewed bool) {
	placing := k.losing
	k.losing = nil
	switch {
	case k.final != "":
		b.writeEnd(now, k)
		return
	case k.renew || len(k.lost) > 0:
		b.rewrite(k)
	}
	if renewed {
		b.ask(now, []*keptJob{k})
	}
	for _, task := range placing {
		b.table.PlaceAgain(now, task)
	}
}

// handleWritten handles the end of a write of a job's open row, and tells whether the job is still this entry's.
func (b *Book) handleWritten(now time.Time, k *keptJob, written record.Open, r ledger.Result) bool {
	if b.jobs[k.id] != k {
		return false
	}
	k.writing = false
	version := r.Version
	if r.Outcome == ledger.Conflict {
		there := r.Present(b.opts.Log)
		switch {
		case there.Ended != nil:
			b.finish(now, k, there.Ended.State)
			return false
		case !there.Has(written):
			b.drop(now, k, "owned_by_another_entry")
			return false
		}
		version = there.Version
	}
	k.version = version
	b.notes.Stored(k.storing...)
	k.storing = nil
	return true
}

// end ends a job: its state is shown once it is stored.
func (b *Book) end(now time.Time, k *keptJob, s verdict.State) {
	k.final = s
	if !k.writing {
		b.writeEnd(now, k)
	}
}

// writeEnd writes how a job has ended.
func (b *Book) writeEnd(now time.Time, k *keptJob) {
	t, err := ledger.EndTxn(b.opts.Layout, k.id, k.version, k.how(), b.lease.Clock(now)+b.opts.Keep)
	b.unreadable(err)
	k.writing = true
	k.storing, k.unstored = append(k.storing, k.unstored...), nil
	b.write(ledger.JobOp(b.opts.Layout, k.id, t), func(now time.Time, r ledger.Result) {
		b.handleEnded(now, k, r)
	})
}

// how is the row of the job's end.
func (k *keptJob) how() record.Ended {
	e := record.Ended{State: k.final, By: k.open.Owner}
	for _, r := range k.open.Ends {
		if k.final == verdict.Complete && !r.Failed && r.Run != 1 {
			e.Runs = append(e.Runs, r)
		}
	}
	return e
}

// handleEnded handles the end of the write of a job's end.
func (b *Book) handleEnded(now time.Time, k *keptJob, r ledger.Result) {
	if b.jobs[k.id] != k {
		return
	}
	k.writing = false
	if r.Outcome == ledger.Done {
		b.finish(now, k, k.final)
		return
	}
	ended := r.Present(b.opts.Log).Ended
	if ended == nil {
		b.drop(now, k, "owned_by_another_entry")
		return
	}
	b.finish(now, k, ended.State)
}

// finish handles that a job's end is stored.
func (b *Book) finish(now time.Time, k *keptJob, s verdict.State) {
	b.forget(k)
	b.ended.Add(now, k.id, s, k.open.Ends)
	b.event(logrus.InfoLevel, "job_end_stored", logrus.Fields{"job": k.id, "state": s, "generation": k.open.Generation})
	b.notes.Stored(append(k.storing, k.unstored...)...)
	k.callers.answer(b.callers, accepted)
	k.cancels.answer(b.callers, dispatch.Answer{State: s, Verdict: verdict.Ran})
	k.watchers.answer(b.callers, dispatch.Answer{State: s, Verdict: verdict.Ran})
	b.table.Release(now, k.id, verdict.ByCaller)
}

// drop lets a job go that is another entry's.
func (b *Book) drop(now time.Time, k *keptJob, why string) {
	b.forget(k)
	b.event(logrus.WarnLevel, "job_let_go", logrus.Fields{"job": k.id, "why": why})
	a := dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.LeaseLost}
	k.callers.answer(b.callers, a)
	k.cancels.answer(b.callers, a)
	k.watchers.answer(b.callers, a)
	b.table.Release(now, k.id, verdict.LeaseLost)
}
