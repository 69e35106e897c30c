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

// acceptedAnswer is the answer to a submission once the job is stored.
var acceptedAnswer = dispatch.Answer{State: verdict.Accepted, Verdict: verdict.MayHaveRun}

// noSuchJobAnswer is the answer to a cancellation of a job that was not stored.
var noSuchJobAnswer = dispatch.Answer{State: verdict.Unknown, Verdict: verdict.NotRun, Reason: verdict.NotFound}

const (
	// minAcceptTimeout is the minimum time that a job waits for the store: time for two answers, each sixty times slower
	// than the usual 4 ms. A job with a longer objective waits for the time of its objective.
	minAcceptTimeout = 500 * time.Millisecond
	// refusedRetryAfter is when a caller may retry whose job could not be stored. Outages of the store last seconds.
	refusedRetryAfter = time.Second
)

// Submit accepts a kept job. The caller is answered once the job is stored. A submission with the id of a known job is not
// compared with that job: the submission that is stored first stays in force.
func (o *Owner) Submit(now time.Time, r dispatch.Request) {
	if o.IsAccepting(r.Job) {
		o.jobs[r.Job].callers.add(r.Caller, r.Deadline)
		return
	}
	if o.jobs[r.Job] != nil || o.endedJobs.Has(r.Job) {
		o.callers.Answer(r.Caller, acceptedAnswer)
		return
	}
	k := &keptJob{
		id: r.Job, record: record.Job{Spec: *r.Spec, Route: r.Route}, requestID: r.RequestID, phase: awaitingLease,
		callers:        waiters{{r.Caller, r.Deadline}},
		acceptDeadline: now.Add(max(minAcceptTimeout, r.Route.Objective(r.Spec.CriticalPath()))),
	}
	k.encodedRecord = o.encode(k.record)
	if len(k.encodedRecord) > o.opts.MaxRow {
		o.callers.Answer(r.Caller, dispatch.Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.TooLarge})
		return
	}
	if o.store.Unavailable() {
		o.callers.Answer(r.Caller, o.refuse(k, "store_away", verdict.Overloaded))
		return
	}
	o.jobs[k.id] = k
	if !o.lease.Held(now) {
		o.lease.Request(now)
		return
	}
	o.accept(now, k)
}

// accept starts the write of a new job's rows.
func (o *Owner) accept(now time.Time, k *keptJob) {
	k.phase = accepting
	k.open = record.OpenJob{Owner: o.lease.ID(), Generation: 1, Sequence: 1}
	l := o.opts.Layout
	op := jobstore.JobOp(l, k.id, rows.Txn{
		If: []rows.Condition{{Key: l.JobKey(k.id)}},
		Put: []rows.Row{
			{Key: l.JobKey(k.id), Value: k.encodedRecord}, {Key: l.OpenKey(k.id), Value: o.encode(k.open)},
		},
	})
	op.GiveUpAt, k.encodedRecord = k.acceptDeadline, nil
	o.startWrite(op, func(now time.Time, r jobstore.Result) { o.handleAccepted(now, k, r) })
	if o.opts.Without.Has(rule.StoreFirst) {
		k.callers.answerAll(o.callers, acceptedAnswer)
	}
}

// handleAccepted handles the result of the write of a new job's rows.
func (o *Owner) handleAccepted(now time.Time, k *keptJob, r jobstore.Result) {
	if o.jobs[k.id] != k {
		o.handleLateAccepted(k, r)
		return
	}
	switch {
	case r.Outcome == jobstore.Done:
		o.startAccepted(now, k, r.Version)
	case r.Outcome == jobstore.Refused:
		delete(o.jobs, k.id)
		k.callers.answerAll(o.callers, o.refuse(k, "store_unavailable", verdict.Overloaded))
		k.cancellers.answerAll(o.callers, noSuchJobAnswer)
	default:
		stored := r.Stored(o.opts.Log)
		if stored.IsOpenAs(k.open) {
			o.startAccepted(now, k, stored.Version)
			return
		}
		delete(o.jobs, k.id)
		if stored.Ended != nil && stored.Ended.IsTombstone() {
			k.callers.answerAll(o.callers, o.refuse(k, "cancelled_before", verdict.ByCaller))
			k.cancellers.answerAll(o.callers, noSuchJobAnswer)
			return
		}
		// Another entry owns the job, or the job has ended.
		k.callers.answerAll(o.callers, acceptedAnswer)
		k.cancellers.answerAll(o.callers, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Conflict})
	}
}

// handleLateAccepted handles the result of the write of a new job's rows after this entry has let the job go. If the job is stored, the
// entry that claims the lease finds it.
func (o *Owner) handleLateAccepted(k *keptJob, r jobstore.Result) {
	f := logrus.Fields{"job": k.id, "lease": k.open.Owner, "outcome": r.Outcome}
	if r.Outcome == jobstore.Conflict {
		stored := r.Stored(o.opts.Log)
		f["stored_by_this_write"], f["ended"] = stored.IsOpenAs(k.open), stored.Ended != nil
	}
	o.logEvent(logrus.WarnLevel, "job_write_settled_late", f)
	if o.unsettled[k.id]--; o.unsettled[k.id] <= 0 {
		delete(o.unsettled, k.id)
	}
}

// IsUnsettled reports whether a job may still be stored by a write of this entry, which has let the job go.
func (o *Owner) IsUnsettled(id job.ID) bool { return o.unsettled[id] > 0 }

// startAccepted answers the callers of a job that is stored, and runs the job.
func (o *Owner) startAccepted(now time.Time, k *keptJob, v rows.Version) {
	o.logEvent(logrus.InfoLevel, "job_accepted", logrus.Fields{
		"job": k.id, "request": k.requestID, "route": k.record.Route.Name, "tasks": k.record.Spec.TaskCount(),
	})
	k.version = v
	k.callers.answerAll(o.callers, acceptedAnswer)
	if len(k.cancellers) > 0 {
		k.phase = running
		o.endJob(now, k, verdict.Cancelled)
		return
	}
	o.submitToTable(now, k)
}

// submitToTable submits a job to the dispatch table, with the progress that is known of it.
func (o *Owner) submitToTable(now time.Time, k *keptJob) {
	k.phase = running
	known := &dispatch.KeptState{
		Done: make(map[job.TaskID]bool), Failures: make(map[job.TaskID]int), Checkpoints: make(map[job.TaskID]string),
		LastRun: record.LastRunBefore(k.open.Generation), Late: k.open.Generation > 1,
		Crashes: k.open.CrashesOf(k.id), Unconfirmed: k.open.UnconfirmedOf(k.id), Beside: k.open.Bystanders(), Generation: k.open.Generation,
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
	o.table.Submit(now, dispatch.Request{Job: k.id, Spec: &k.record.Spec, Route: k.record.Route, RequestID: k.requestID, Kept: known})
}

// logUnreadable logs the error of a row that can't be decoded; a nil error is not logged.
func (o *Owner) logUnreadable(err error) { record.LogUnreadable(o.opts.Log, err) }

// refuse logs a job that was not stored and never will be, and returns the answer for its callers. why is only logged. If an earlier write
// may still store the job, the answer says so.
func (o *Owner) refuse(k *keptJob, why string, reason verdict.Reason) dispatch.Answer {
	if reason != verdict.ByCaller && o.IsUnsettled(k.id) {
		o.logEvent(logrus.InfoLevel, "job_not_settled", logrus.Fields{"job": k.id, "request": k.requestID, "why": why})
		return dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.LeaseLost}
	}
	o.logEvent(logrus.InfoLevel, "job_not_accepted", logrus.Fields{"job": k.id, "request": k.requestID, "why": why})
	return dispatch.Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: reason, RetryAfter: refusedRetryAfter}
}

// expireCallers answers callers of a job that was not stored in time. The job is refused if its write has not started. Once
// the write has started, the job may be stored and run, and callers whose deadline has passed are told so.
func (o *Owner) expireCallers(now time.Time, k *keptJob) {
	if k.phase == awaitingLease && now.After(k.acceptDeadline) {
		delete(o.jobs, k.id)
		k.callers.answerAll(o.callers, o.refuse(k, "no_lease", verdict.Overloaded))
		k.cancellers.answerAll(o.callers, noSuchJobAnswer)
		return
	}
	k.callers.answerDue(now, o.callers, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Deadline})
}

// Abandon removes a caller that has disconnected. Its job still runs if it was stored.
func (o *Owner) Abandon(id job.ID, c dispatch.CallerID) {
	if k := o.jobs[id]; k != nil {
		for _, list := range []*waiters{&k.callers, &k.cancellers, &k.watchers} {
			list.remove(c)
		}
	}
}

// State returns the state of a job, and whether this entry knows the job.
func (o *Owner) State(id job.ID) (verdict.State, bool) {
	if s, ok := o.endedJobs.State(id); ok {
		return s, true
	}
	k := o.jobs[id]
	switch {
	case k == nil || k.phase != running:
		return "", false
	case k.finalState != "" && o.opts.Without.Has(rule.StoreFirst):
		return k.finalState, true
	}
	return verdict.Running, true
}

// IsAccepting reports whether this entry has a job that is not known to be stored yet.
func (o *Owner) IsAccepting(id job.ID) bool {
	k := o.jobs[id]
	return k != nil && (k.phase == awaitingLease || k.phase == accepting)
}

// Watch answers a caller with a job's state when the job ends, or at the deadline if that is earlier. It reports whether
// this entry runs the job; if not, the caller is not answered. Without Watch, a caller that asks just before the end would
// learn of it only at its next poll.
func (o *Owner) Watch(id job.ID, c dispatch.CallerID, deadline time.Time) bool {
	k := o.jobs[id]
	if k == nil || k.phase != running {
		return false
	}
	k.watchers.add(c, deadline)
	return true
}

// answerDueWatchers answers the watchers whose deadline has passed.
func (o *Owner) answerDueWatchers(now time.Time, k *keptJob) {
	k.watchers.answerDue(now, o.callers, dispatch.Answer{State: verdict.Running, Verdict: verdict.MayHaveRun})
}

// Cancel cancels a job and answers the caller once that is stored. It reports whether this entry owns the job or remembers
// its end; if not, nothing is done and the caller is not answered.
func (o *Owner) Cancel(now time.Time, id job.ID, c dispatch.CallerID) bool {
	if s, ok := o.endedJobs.State(id); ok {
		o.callers.Answer(c, dispatch.Answer{State: s, Verdict: verdict.Ran})
		return true
	}
	k := o.jobs[id]
	if k == nil || k.phase == takingOver {
		return false
	}
	k.cancellers.add(c, time.Time{})
	if k.phase == running && k.finalState == "" {
		o.endJob(now, k, verdict.Cancelled)
	}
	return true
}

// HandleRemoteCancellations handles jobs that another entry has cancelled.
func (o *Owner) HandleRemoteCancellations(now time.Time, ids []job.ID) {
	for _, id := range ids {
		if k := o.jobs[id]; k != nil && k.phase != awaitingLease {
			o.finishJob(now, k, verdict.Cancelled)
		}
	}
}
