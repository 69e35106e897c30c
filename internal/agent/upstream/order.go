package upstream

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// sortedRuns returns all runs sorted by their tasks, so that the state machine is deterministic.
func (u *Controller) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(u.runs), func(a, b *run) int { return a.task.Compare(b.task) })
}

// Order handles an entry's order.
func (u *Controller) Order(now time.Time, entry ident.Incarnation, o fleet.Order) {
	s := u.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	s.seq, s.dirty = o.Seq, true
	for i := range o.Tasks {
		u.orderTask(now, pendingOrder{owner: entry, epoch: s.epoch, order: o, index: i})
	}
}

// orderTask starts one task of an order, refuses it, or makes it wait: for the end of an earlier run, or until it can be started alone.
func (u *Controller) orderTask(now time.Time, p pendingOrder) {
	task := p.order.Task(p.index)
	s := u.sessions[p.owner]
	fresh := u.acceptsOrdersOf(now, s) || u.without.Has(rule.FreshSession)
	if !fresh || s.epoch != p.epoch {
		u.refuse(p, fleet.StaleSession)
		return
	}
	if !p.order.Kept && u.owners.IsRefused(now, p.order.Job, p.owner) {
		u.refuse(p, fleet.Superseded)
		return
	}
	u.dropAlone(fleet.Superseded, func(have *pendingOrder) bool { return have.order.Task(have.index) == task })
	if r := u.runs[task]; r != nil && !u.without.Has(rule.SameTaskWaits) {
		if r.owner == p.owner && r.ordered() == p.ordered() && r.epoch == p.epoch {
			return
		}
		// The caller has sent the job again after its entry was lost. The old run must end first.
		if r.successor != nil {
			u.refuse(*r.successor, fleet.Superseded)
		}
		r.successor = &p
		u.stopRun(now, r, stopState{outcome: job.Stopped, reason: fleet.Superseded, cause: SentAgain})
		return
	}
	if p.order.Kept && u.answerFromWithheldEnd(p) {
		return
	}
	switch state := u.stateFor(now, p.owner); {
	case state == fleet.Cordoned:
		u.refuseCordoned(p)
		return
	case !state.Accepts():
		u.refuse(p, fleet.NotAccepting)
		return
	}
	if !p.order.Each.Fits(u.free()) || !p.order.Each.Fits(u.availableTo(p.owner)) {
		u.refuse(p, fleet.NoRoom)
		return
	}
	if p.aloneFor() > 0 && !p.readyAlone {
		u.awaitAlone(now, p)
		return
	}
	u.startRun(now, p)
}

func (u *Controller) refuse(p pendingOrder, why fleet.Reason) {
	u.sendNotStarted(p.owner, p.ordered(), why)
}

// sendNotStarted tells an entry that one of its runs is not here and was not started.
func (u *Controller) sendNotStarted(to ident.Incarnation, r fleet.OrderedRun, why fleet.Reason) {
	u.sendEnd(to, fleet.End{Task: r.Task, Run: r.Run, ID: r.ID, Outcome: job.NotStarted, Reason: why})
}

func (u *Controller) startRun(now time.Time, p pendingOrder) {
	t := p.order.Tasks[p.index]
	r := &run{
		task: p.order.Task(p.index), number: t.Run, id: t.ID, owner: p.owner, epoch: p.epoch, spec: p.order.Spec,
		resources: p.order.Each, estimate: p.order.RunTime(), priorFailures: t.Failures, priorStalls: t.Stalls, checkpoint: t.Checkpoint, kept: p.order.Kept,
		phase: starting, startedAt: now, aloneFor: min(t.AloneFor, maxAlone),
	}
	r.beginProgress(now, u.restoreTime)
	u.runs[r.task] = r
	u.claims.Use(r.owner)
	if r.aloneFor > 0 {
		u.aloneRun = r
		u.suspects++
	}
	invariant.Check(job.Resources{}.Fits(u.free()), invariant.RoomKept, func() logrus.Fields {
		return logrus.Fields{"upstream": u.life, "task": r.task, "free": u.free()}
	})
	u.health.RecordStart()
	u.callStart(now, r)
	u.markAllDirty()
	u.reportSuspects()
}

func (u *Controller) callStart(now time.Time, r *run) {
	u.caller.Start(call.Start{
		Header: u.header(now), Task: r.task, Run: r.number, Spec: r.spec, Checkpoint: r.checkpoint, LeaseUntil: u.lease.Extend(now),
	})
}

// StopTask handles an entry's request to stop a run, because nobody wants it any more or, if why is fleet.Moved, to place its task
// elsewhere. The entry is sent the end of the run when it is certain.
func (u *Controller) StopTask(now time.Time, entry ident.Incarnation, wanted fleet.OrderedRun, why fleet.Reason) {
	r := u.runs[wanted.Task]
	if r != nil && r.successor != nil && r.successor.owner == entry && r.successor.ordered() == wanted {
		u.refuse(*r.successor, fleet.OnRequest)
		r.successor = nil
		return
	}
	u.dropAlone("", func(p *pendingOrder) bool { return p.owner == entry && p.ordered() == wanted })
	if r == nil || r.owner != entry || r.ordered() != wanted {
		u.sendNotStarted(entry, wanted, fleet.NotListed)
		return
	}
	u.stopRun(now, r, stopState{outcome: job.Stopped, reason: why, cause: StopCause(why), unwanted: why != fleet.Moved})
}

// stopRun begins to stop a run, or marks a run that is already being stopped as unwanted. why.urgentSince defaults to now.
func (u *Controller) stopRun(now time.Time, r *run, why stopState) {
	if why.urgentSince.IsZero() {
		why.urgentSince = now
	}
	if r.stop != nil {
		if why.unwanted && !r.stop.unwanted {
			r.stop.unwanted, r.stop.urgentSince = true, why.urgentSince
		}
		return
	}
	why.askedAt = now
	r.stop = &why
	u.callStop(now, r)
}

const (
	// stopRetry is the pause after which an unanswered stop is sent again.
	stopRetry = 30 * time.Millisecond
	// ackedRetry is the pause after which an answered stop is sent again: the upstream should have ended the run within 50 ms.
	ackedRetry = 300 * time.Millisecond
)

func (u *Controller) callStop(now time.Time, r *run) {
	if !u.hasLife {
		return
	}
	r.stop.sentAt, r.stop.inFlight = now, true
	u.caller.Stop(call.Stop{Header: u.header(now), Task: r.task, Run: r.number})
}

// StartDone handles the answer to a Start.
func (u *Controller) StartDone(now time.Time, c call.Start, a call.Answer, clock call.Clock) {
	if c.Life() != u.life || !u.hasLife {
		return
	}
	if a == call.OK {
		u.recordAnswer(now, c.Sent, 0)
		u.lease.RecordClock(now, clock)
	}
	r := u.runs[c.Task]
	if a == call.WrongInstance {
		u.endLife(now)
		u.markAllDirty()
		return
	}
	if r == nil || r.number != c.Run || r.phase != starting {
		return
	}
	switch a {
	case call.OK:
		r.phase, r.provableFrom = running, now
		r.beginProgress(now, u.restoreTime)
	case call.Unanswered:
		u.handleUnsureStart(now, r)
	case call.Unclear:
		u.health.RecordFailure(now)
		u.handleUnsureStart(now, r)
	case call.Fenced:
		u.handleFencedStart(now, r, c)
	case call.Used:
		u.finish(now, r, job.Used, fleet.Refused, "")
	case call.Full:
		u.finish(now, r, job.NotStarted, fleet.NoRoom, "")
	default:
		u.health.RecordFailure(now)
		u.finish(now, r, job.NotStarted, fleet.Refused, "")
	}
}

// handleUnsureStart handles a start that the upstream may have carried out, or may still carry out. Only its listing in the answer to a
// call with a newer token shows which.
func (u *Controller) handleUnsureStart(now time.Time, r *run) {
	u.observer.StartUnsure(r.task, r.number)
	if u.without.Has(rule.FenceUnsure) {
		u.finish(now, r, job.NotStarted, fleet.NeverArrived, "")
		return
	}
	u.lease.RaiseToken(now)
	r.phase, r.provableFrom = unsure, now
	u.callPoll(now)
}

// handleFencedStart sends a start again that was refused because this agent has used a newer token since: the upstream has not carried it
// out.
func (u *Controller) handleFencedStart(now time.Time, r *run, c call.Start) {
	if r.stop != nil {
		u.finish(now, r, r.stop.outcome, r.stop.reason, "")
		return
	}
	u.lease.RaiseTokenAbove(now, c.Token)
	switch {
	case u.isCordoned():
		u.observer.OrderGated(r.task, r.owner)
		u.finish(now, r, job.NotStarted, fleet.ZoneCordoned, "")
	case u.mustLetLeaseLapse(now):
		u.finish(now, r, job.NotStarted, fleet.NotAccepting, "") // another start would extend the lease
	default:
		u.callStart(now, r)
	}
}

// StopDone handles the answer to a Stop.
func (u *Controller) StopDone(now time.Time, c call.Stop, a call.Answer, clock call.Clock) {
	if c.Life() != u.life || !u.hasLife {
		return
	}
	if a == call.OK {
		u.recordAnswer(now, c.Sent, 0)
		u.lease.RecordClock(now, clock)
	}
	if at, ok := u.strays[fleet.RunRef{Task: c.Task, Run: c.Run}]; ok && a == call.OK && at.IsZero() {
		u.strays[fleet.RunRef{Task: c.Task, Run: c.Run}] = now
	}
	r := u.runs[c.Task]
	if r == nil || r.number != c.Run || r.stop == nil {
		return
	}
	r.stop.inFlight = false
	switch a {
	case call.OK:
		// Only the first answer counts. A hold is compared with its time, and with the time of a later answer no hold would ever be
		// recent enough.
		if r.stop.ackedAt.IsZero() {
			r.stop.ackedAt, r.phase, r.provableFrom = now, running, now
		}
	case call.Fenced:
		u.lease.RaiseTokenAbove(now, c.Token)
		u.callStop(now, r)
	}
}

// finish removes a run from the present runs, reports its end, and then handles the next order for its task if one waits.
func (u *Controller) finish(now time.Time, r *run, o job.Outcome, why fleet.Reason, checkpoint string) {
	delete(u.runs, r.task)
	u.idleSince = now
	if u.aloneRun == r {
		u.aloneRun = nil
	}
	if r.aloneFor > 0 {
		u.suspects--
	}
	e := fleet.End{Task: r.task, Run: r.number, ID: r.id, Outcome: o, Took: now.Sub(r.startedAt), Checkpoint: checkpoint, Reason: why}
	if o == job.NotStarted || o == job.Used {
		e.Took = 0
	}
	if r.kept && o != job.NotStarted && o != job.Used {
		u.finishedUnlisted[r.ref()] = true
	}
	if r.kept && (o == job.Done || o == job.Failed) && !u.without.Has(rule.WithholdEnds) {
		e.Kept = true
		u.ends.Withhold(now, r.owner, e)
	}
	u.updateHealth(now, r, e)
	u.observer.RunEnded(u.ending(now, r, e))
	u.sendRunEnd(now, r, e)
	u.sendSettled(r.owner)
	u.markAllDirty()
	if r.successor != nil {
		u.orderTask(now, *r.successor)
	}
}

// updateHealth updates the health and the pace of the upstream after the end of a run.
func (u *Controller) updateHealth(now time.Time, r *run, e fleet.End) {
	switch e.Outcome {
	case job.Done:
		u.health.RecordSuccess(now)
		if !r.restoring {
			u.recordProgress(now, r, 100)
		}
	case job.Failed:
		// The failure of a job that has failed before says nothing about this upstream.
		if r.priorFailures == 0 {
			u.health.RecordFailure(now)
		}
	case job.Stalled:
		if u.countsAsFailure(now, r) {
			u.health.RecordFailure(now)
		}
	}
}
