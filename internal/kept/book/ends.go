package book

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/record"
)

// progressAfter is how long an end waits for its job's end to be stored with it. Most jobs end sooner; upstreams list
// ends again until they are stored, and no more than 500, which are ten seconds of a busy one's.
const progressAfter = time.Second

// RunEnded handles the end of a run that the table waited for.
func (b *Book) RunEnded(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := ref{agent, fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := b.jobs[e.Task.Job]
	switch {
	case k != nil && k.phase == running:
		b.count(now, k, r, e)
	case b.ended.Has(e.Task.Job):
		// The job has ended, and nothing of it begins any more.
		b.note([]ref{r}, false)
	}
}

// count notes an end in a job's progress.
func (b *Book) count(now time.Time, k *keptJob, r ref, e fleet.End) {
	k.open.Ends = append(k.open.Ends, record.End{
		Step: e.Task.Step, Index: e.Task.Index, Run: e.Run, Failed: e.Outcome == job.Failed,
	})
	if e.Checkpoint != "" {
		k.open.Checkpoints = slices.DeleteFunc(k.open.Checkpoints, func(c record.Checkpoint) bool {
			return c.Step == e.Task.Step && c.Index == e.Task.Index
		})
		k.open.Checkpoints = append(k.open.Checkpoints, record.Checkpoint{Step: e.Task.Step, Index: e.Task.Index, Text: e.Checkpoint})
	}
	k.unstore(now, r)
}

// unstore lets an end be noted once the next write is done.
func (k *keptJob) unstore(now time.Time, r ref) {
	if len(k.unstored) == 0 {
		k.dirtySince = now
	}
	k.unstored = append(k.unstored, r)
}

// counted tells whether the end of a run is in a job's progress.
func (k *keptJob) counted(r fleet.RunRef) bool {
	return k.open.Ends.Counted(r.Task.Step, r.Task.Index, r.Run)
}

// mayCount tells whether an end that nobody has stored still counts while a job is being taken over: it is one of the
// generation before, and its task was not placed again since.
func (k *keptJob) mayCount(r fleet.RunRef) bool {
	for _, e := range k.open.Ends {
		if e.Step == r.Task.Step && e.Index == r.Task.Index && (!e.Failed || e.Run >= r.Run) {
			return false
		}
	}
	for _, v := range k.open.Void {
		if v.Step == r.Task.Step && v.Index == r.Task.Index && v.Run >= r.Run {
			return false
		}
	}
	return r.Run > runsBefore(k.open.Generation-1)
}

// RunLost handles a run at an agent that is out of hearing. Its task may be placed again only once the store says that
// the run counts for nothing, or whoever takes the job over could count both.
func (b *Book) RunLost(_ time.Time, r fleet.RunRef) {
	k := b.jobs[r.Task.Job]
	if k == nil || k.phase != running {
		return
	}
	k.open.Void = slices.DeleteFunc(k.open.Void, func(v record.TaskRun) bool {
		return v.Step == r.Task.Step && v.Index == r.Task.Index
	})
	k.open.Void = append(k.open.Void, record.TaskRun{Step: r.Task.Step, Index: r.Task.Index, Run: r.Run})
	k.lost = append(k.lost, r.Task)
	if k.final == "" && !k.writing {
		b.rewrite(k)
	}
}

// StrayEnd handles the end of a kept job's run that the table does not wait for.
func (b *Book) StrayEnd(now time.Time, agent ident.Incarnation, e fleet.End) {
	r := ref{agent, fleet.RunRef{Task: e.Task, Run: e.Run}}
	k := b.jobs[e.Task.Job]
	switch {
	case k == nil && b.ended.Has(e.Task.Job):
		b.note([]ref{r}, !b.ended.Counted(r.run))
	case k == nil || k.phase == asked || k.phase == accepting:
		b.lookUp(r)
	case k.counted(r.run):
		k.unstore(now, r)
	case k.phase == adopting && k.mayCount(r.run):
		b.count(now, k, r, e)
	default:
		// The task was placed again, since the agent was out of hearing for too long.
		b.event(logrus.InfoLevel, "end_came_too_late", logrus.Fields{"job": e.Task.Job, "task": e.Task, "run": e.Run})
		b.note([]ref{r}, true)
	}
}

// lookUp asks the store about the job of an end that this entry does not know.
func (b *Book) lookUp(r ref) {
	id := r.run.Task.Job
	if b.unknown[id] == nil {
		b.store.Look(id)
	}
	b.unknown[id] = append(b.unknown[id], r)
}

// Looked handles what the store has of a job whose ends this entry was told of.
func (b *Book) Looked(id job.ID, open, ended rows.Row, err error) {
	refs := b.unknown[id]
	delete(b.unknown, id)
	if err != nil || open.Version != 0 {
		return // agents tell the end again, and its job's owner will hear of it
	}
	var e record.Ended
	if ended.Version != 0 {
		if e, err = record.Read[record.Ended](ended); err != nil {
			b.unreadable(err)
			return
		}
	}
	for _, r := range refs {
		counted := e.Counted(r.run.Task.Step, r.run.Task.Index, r.run.Run)
		b.note([]ref{r}, !counted)
	}
}

// note tells agents that ends are stored or, with void, that they count for nothing.
func (b *Book) note(refs []ref, void bool) {
	var agents []ident.Incarnation
	runs := make(map[ident.Incarnation][]fleet.RunRef)
	for _, r := range refs {
		if runs[r.agent] == nil {
			agents = append(agents, r.agent)
		}
		runs[r.agent] = append(runs[r.agent], r.run)
	}
	for _, a := range agents {
		b.agents.Noted(a, runs[a], void)
	}
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
	return b.op(k.id, rows.Txn{
		If:  []rows.Condition{{Key: key, Version: k.version}},
		Put: []rows.Row{{Key: key, Value: b.value(next)}},
	})
}

// op is a write of a job's rows, after whose conflict found tells what is there.
func (b *Book) op(id job.ID, t rows.Txn) ledger.Op {
	l := b.opts.Layout
	return ledger.Op{Part: l.Part(id), Look: []rows.Key{l.OpenKey(id), l.EndedKey(id)}, Txn: t}
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
		open, ended := b.found(r)
		switch {
		case ended != nil:
			b.finish(now, k, ended.State)
			return false
		case !isWrite(open, written):
			b.drop(now, k, "owned_by_another_entry")
			return false
		}
		// An attempt without an answer was done.
		version = r.Found[0].Version
	}
	k.version = version
	b.note(k.storing, false)
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
	b.write(b.op(k.id, t), func(now time.Time, r ledger.Result) {
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
	_, ended := b.found(r)
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
	b.note(append(k.storing, k.unstored...), false)
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
