package owner

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// accepted is the answer once a job is stored.
var acceptedAnswer = dispatch.Answer{State: verdict.Accepted, Verdict: verdict.MayHaveRun}

// noSuchJob is the answer to a cancellation of a job that was not stored.
var noSuchJobAnswer = dispatch.Answer{State: verdict.Unknown, Verdict: verdict.NotRun, Reason: verdict.NotFound}

const (
	// acceptFor is how long a job waits for the store at least: two of its answers at sixty times their usual 4 ms. A job
	// with a longer objective waits for as long as that.
	minAcceptTimeout = 500 * time.Millisecond
	// refusedRetry is when a caller may come back whose job could not be stored: outages of the store last seconds.
	refusedRetryAfter = time.Second
)

// Submit takes a job that is to be kept. It is answered once it is stored. What is sent again under the id of a job that is
// known is not compared with it: the first one that is stored stays in force.
func (b *Owner) Submit(now time.Time, r dispatch.Request) {
	if k := b.jobs[r.Job]; k != nil && (k.phase == awaitingLease || k.phase == accepting) {
		k.callers.add(r.Caller, r.Deadline)
		return
	}
	if b.jobs[r.Job] != nil || b.endedJobs.Has(r.Job) {
		b.callers.Answer(r.Caller, acceptedAnswer)
		return
	}
	k := &keptJob{
		id: r.Job, record: record.Job{Spec: *r.Spec, Route: r.Route}, sender: r.RequestID, phase: awaitingLease, callers: waiters{{r.Caller, r.Deadline}},
		acceptDeadline: now.Add(max(minAcceptTimeout, r.Route.Objective(r.Spec.CriticalPath()))),
	}
	k.encodedRecord = b.encode(k.record)
	if len(k.encodedRecord) > b.opts.MaxRow {
		b.callers.Answer(r.Caller, dispatch.Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.TooLarge})
		return
	}
	if b.store.Unavailable() {
		b.callers.Answer(r.Caller, b.refuse(k, "store_away"))
		return
	}
	b.jobs[k.id] = k
	if !b.lease.Held(now) {
		b.lease.Request(now)
		return
	}
	b.accept(now, k)
}

// accept writes a job's rows.
func (b *Owner) accept(now time.Time, k *keptJob) {
	k.phase = accepting
	k.open = record.OpenJob{Owner: b.lease.ID(), Generation: 1, Sequence: 1}
	l := b.opts.Layout
	op := jobstore.JobOp(l, k.id, rows.Txn{
		If: []rows.Condition{{Key: l.JobKey(k.id)}},
		Put: []rows.Row{
			{Key: l.JobKey(k.id), Value: k.encodedRecord}, {Key: l.OpenKey(k.id), Value: b.encode(k.open)},
		},
	})
	op.GiveUpAt, k.encodedRecord = k.acceptDeadline, nil
	b.startWrite(op, func(now time.Time, r jobstore.Result) { b.handleAccepted(now, k, r) })
	if b.opts.Without.Has(rule.StoreFirst) {
		k.callers.answerAll(b.callers, acceptedAnswer)
	}
}

// handleAccepted handles the end of the write of a job's rows.
func (b *Owner) handleAccepted(now time.Time, k *keptJob, r jobstore.Result) {
	if b.jobs[k.id] != k {
		return // the lease was lost meanwhile; whoever takes it over finds the job
	}
	switch {
	case r.Outcome == jobstore.Done:
		b.startAccepted(now, k, r.Version)
	case r.Outcome == jobstore.Refused:
		delete(b.jobs, k.id)
		k.callers.answerAll(b.callers, b.refuse(k, "store_unavailable"))
		k.cancellers.answerAll(b.callers, noSuchJobAnswer)
	default:
		if there := r.Stored(b.opts.Log); there.IsOpenAs(k.open) {
			b.startAccepted(now, k, there.Version)
			return
		}
		// Another entry has the job, or it has ended.
		delete(b.jobs, k.id)
		k.callers.answerAll(b.callers, acceptedAnswer)
		k.cancellers.answerAll(b.callers, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Conflict})
	}
}

// begin lets a job that is stored run.
func (b *Owner) startAccepted(now time.Time, k *keptJob, v rows.Version) {
	b.logEvent(logrus.InfoLevel, "job_accepted", logrus.Fields{"job": k.id, "request": k.sender, "route": k.record.Route.Name, "tasks": k.record.Spec.TaskCount()})
	k.version = v
	k.callers.answerAll(b.callers, acceptedAnswer)
	if len(k.cancellers) > 0 {
		k.phase = running
		b.endJob(now, k, verdict.Cancelled)
		return
	}
	b.submitToTable(now, k)
}

// run hands a job to the table.
func (b *Owner) submitToTable(now time.Time, k *keptJob) {
	k.phase = running
	known := &dispatch.KeptState{
		Done: make(map[job.TaskID]bool), Failures: make(map[job.TaskID]int), Checkpoints: make(map[job.TaskID]string),
		LastRun: record.LastRunBefore(k.open.Generation), Late: k.open.Generation > 1,
		Crashes: k.open.CrashesOf(k.id),
	}
	for _, e := range k.open.Ends {
		task := job.TaskID{Job: k.id, Step: e.Step, Index: e.Index}
		if e.Failed {
			known.Failures[task]++
		} else {
			known.Done[task] = true
		}
		known.LastRun = max(known.LastRun, e.Run)
	}
	for _, c := range k.open.Checkpoints {
		known.Checkpoints[job.TaskID{Job: k.id, Step: c.Step, Index: c.Index}] = c.Text
	}
	b.table.Submit(now, dispatch.Request{Job: k.id, Spec: &k.record.Spec, Route: k.record.Route, RequestID: k.sender, Kept: known})
}

// unreadable logs a row that can't be decoded.
func (b *Owner) logUnreadable(err error) { record.LogUnreadable(b.opts.Log, err) }

// refused is the answer to a job that was not stored and never will be.
func (b *Owner) refuse(k *keptJob, why string) dispatch.Answer {
	b.logEvent(logrus.InfoLevel, "job_not_accepted", logrus.Fields{"job": k.id, "request": k.sender, "why": why})
	return dispatch.Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Overloaded, RetryAfter: refusedRetryAfter}
}

// giveUp answers callers of a job that is not stored in time. Once a write is under way, nothing is promised.
func (b *Owner) expireCallers(now time.Time, k *keptJob) {
	if k.phase == awaitingLease && now.After(k.acceptDeadline) {
		delete(b.jobs, k.id)
		k.callers.answerAll(b.callers, b.refuse(k, "no_lease"))
		k.cancellers.answerAll(b.callers, noSuchJobAnswer)
		return
	}
	k.callers.answerDue(now, b.callers, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Deadline})
}

// Abandon handles a caller that has gone; its job, if it was stored, runs all the same.
func (b *Owner) Abandon(id job.ID, c dispatch.CallerID) {
	if k := b.jobs[id]; k != nil {
		for _, list := range []*waiters{&k.callers, &k.cancellers, &k.watchers} {
			list.remove(c)
		}
	}
}

// State returns the state of a job that this entry knows, and whether it does.
func (b *Owner) State(id job.ID) (verdict.State, bool) {
	if s, ok := b.endedJobs.State(id); ok {
		return s, true
	}
	k := b.jobs[id]
	switch {
	case k == nil || k.phase != running:
		return "", false
	case k.finalState != "" && b.opts.Without.Has(rule.StoreFirst):
		return k.finalState, true
	}
	return verdict.Running, true
}

// Watch answers a caller with a job's state once it has ended, or else at a deadline; it tells whether this entry owns the
// job. A caller that asked just before the end would otherwise come back later than need be.
func (b *Owner) Watch(id job.ID, c dispatch.CallerID, deadline time.Time) bool {
	k := b.jobs[id]
	if k == nil || k.phase != running {
		return false
	}
	k.watchers.add(c, deadline)
	return true
}

// tellWatchers answers those whose deadline has come.
func (b *Owner) answerDueWatchers(now time.Time, k *keptJob) {
	k.watchers.answerDue(now, b.callers, dispatch.Answer{State: verdict.Running, Verdict: verdict.MayHaveRun})
}

// Cancel ends a job that this entry owns, and tells whether it does: then the caller is answered once it is stored.
func (b *Owner) Cancel(now time.Time, id job.ID, c dispatch.CallerID) bool {
	if s, ok := b.endedJobs.State(id); ok {
		b.callers.Answer(c, dispatch.Answer{State: s, Verdict: verdict.Ran})
		return true
	}
	k := b.jobs[id]
	if k == nil || k.phase == takingOver {
		return false
	}
	k.cancellers.add(c, time.Time{})
	if k.phase == running && k.finalState == "" {
		b.endJob(now, k, verdict.Cancelled)
	}
	return true
}

// CancelledElsewhere handles jobs that another entry has cancelled.
func (b *Owner) HandleRemoteCancellations(now time.Time, ids []job.ID) {
	for _, id := range ids {
		if k := b.jobs[id]; k != nil && k.phase != awaitingLease {
			b.finishJob(now, k, verdict.Cancelled)
		}
	}
}
