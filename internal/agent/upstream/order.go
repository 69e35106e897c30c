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

// sorted returns all runs in the order of their ids, so that runs of the state machine repeat.
func (k *Controller) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(k.runs), func(a, b *run) int { return a.task.Compare(b.task) })
}

// Order handles an entry's order.
func (k *Controller) Order(now time.Time, entry ident.Incarnation, o fleet.Order) {
	s := k.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	s.seq, s.dirty = o.Seq, true
	for i := range o.Tasks {
		k.orderTask(now, pendingOrder{owner: entry, epoch: s.epoch, order: o, index: i})
	}
}

// orderTask starts one task of an order, refuses it, or lets it wait for the end of an earlier run.
func (k *Controller) orderTask(now time.Time, w pendingOrder) {
	task := w.order.Task(w.index)
	s := k.sessions[w.owner]
	fresh := k.acceptsOrdersOf(now, s) || k.without.Has(rule.FreshSession)
	if !fresh || s.epoch != w.epoch {
		k.refuse(w, fleet.StaleSession)
		return
	}
	if !w.order.Kept && k.owners.IsRefused(now, w.order.Job, w.owner) {
		k.refuse(w, fleet.Superseded)
		return
	}
	k.dropAlone(fleet.Superseded, func(have *pendingOrder) bool { return have.order.Task(have.index) == task })
	if r := k.runs[task]; r != nil && !k.without.Has(rule.SameTaskWaits) {
		if r.owner == w.owner && r.ordered() == w.ordered() && r.epoch == w.epoch {
			return
		}
		// The caller has sent the job again after its entry was lost: the old run must be gone first.
		if r.successor != nil {
			k.refuse(*r.successor, fleet.Superseded)
		}
		r.successor = &w
		k.stopRun(now, r, stopState{outcome: job.Stopped, reason: fleet.Superseded, cause: SentAgain})
		return
	}
	if w.order.Kept && k.answerFromWithheldEnd(w) {
		return
	}
	switch state := k.stateFor(now, w.owner); {
	case state == fleet.Cordoned:
		k.refuseCordoned(w)
		return
	case !state.Accepts():
		k.refuse(w, fleet.NotAccepting)
		return
	}
	if k.isReservedForAlone(now) || !w.order.Each.Fits(k.free()) {
		k.refuse(w, fleet.NoRoom)
		return
	}
	if w.aloneFor() > 0 && !w.readyAlone {
		k.awaitAlone(now, w)
		return
	}
	k.startRun(now, w)
}

func (k *Controller) refuse(w pendingOrder, why fleet.Reason) {
	k.sendNotStarted(w.owner, w.ordered(), why)
}

// tellNotStarted tells an entry that a run is not here.
func (k *Controller) sendNotStarted(to ident.Incarnation, r fleet.OrderedRun, why fleet.Reason) {
	k.sendEnd(to, fleet.End{Task: r.Task, Run: r.Run, ID: r.ID, Outcome: job.NotStarted, Reason: why})
}

func (k *Controller) startRun(now time.Time, w pendingOrder) {
	t := w.order.Tasks[w.index]
	r := &run{
		task: w.order.Task(w.index), number: t.Run, id: t.ID, owner: w.owner, epoch: w.epoch, spec: w.order.Spec,
		resources: w.order.Each, estimate: w.order.Estimate, priorFailures: t.Failures, checkpoint: t.Checkpoint, kept: w.order.Kept,
		phase: starting, startedAt: now, progressAt: now, aloneFor: min(t.AloneFor, maxAlone),
	}
	k.runs[r.task] = r
	if r.aloneFor > 0 {
		k.aloneRun = r
	}
	invariant.Check(job.Resources{}.Fits(k.free()), invariant.RoomKept, func() logrus.Fields {
		return logrus.Fields{"upstream": k.life, "task": r.task, "free": k.free()}
	})
	k.health.RecordStart()
	k.callStart(now, r)
	k.markAllDirty()
}

func (k *Controller) callStart(now time.Time, r *run) {
	k.caller.Start(call.Start{
		Header: k.header(now), Task: r.task, Run: r.number, Spec: r.spec, Checkpoint: r.checkpoint, LeaseUntil: k.lease.Extend(now),
	})
}

// StopTask handles an entry's wish to stop a run, because nobody wants it any more or, with Moved, to place its task
// elsewhere. Its end is told when it is certain.
func (k *Controller) StopTask(now time.Time, entry ident.Incarnation, wanted fleet.OrderedRun, why fleet.Reason) {
	r := k.runs[wanted.Task]
	if r != nil && r.successor != nil && r.successor.owner == entry && r.successor.ordered() == wanted {
		k.refuse(*r.successor, fleet.OnRequest)
		r.successor = nil
		return
	}
	k.dropAlone("", func(w *pendingOrder) bool { return w.owner == entry && w.ordered() == wanted })
	if r == nil || r.owner != entry || r.ordered() != wanted {
		k.sendNotStarted(entry, wanted, fleet.NotListed)
		return
	}
	k.stopRun(now, r, stopState{outcome: job.Stopped, reason: why, cause: StopCause(why), unwanted: why != fleet.Moved})
}

// stopRun begins to stop a run, or makes a stop under way more urgent. It is wanted from now on, unless why says since when.
func (k *Controller) stopRun(now time.Time, r *run, why stopState) {
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
	k.callStop(now, r)
}

const (
	// stopRetry is after how long an unanswered stop is sent again.
	stopRetry = 30 * time.Millisecond
	// ackedRetry is after how long a stop that was answered is sent again: the upstream should have ended the run
	// within 50 ms.
	ackedRetry = 300 * time.Millisecond
)

func (k *Controller) callStop(now time.Time, r *run) {
	if !k.hasLife {
		return
	}
	r.stop.sentAt, r.stop.inFlight = now, true
	k.caller.Stop(call.Stop{Header: k.header(now), Task: r.task, Run: r.number})
}

// StartDone handles the answer to a Start.
func (k *Controller) StartDone(now time.Time, c call.Start, a call.Answer, clock call.Clock) {
	if c.Life() != k.life || !k.hasLife {
		return
	}
	if a == call.OK {
		k.recordAnswer(now, c.Sent, 0)
		k.lease.RecordClock(now, clock)
	}
	r := k.runs[c.Task]
	if a == call.WrongInstance {
		k.endLife(now)
		k.markAllDirty()
		return
	}
	if r == nil || r.number != c.Run || r.phase != starting {
		return
	}
	switch a {
	case call.OK:
		r.phase, r.provableFrom, r.progressAt = running, now, now
	case call.Unanswered:
		k.handleUnsureStart(now, r)
	case call.Unclear:
		k.health.RecordFailure(now)
		k.handleUnsureStart(now, r)
	case call.Fenced:
		k.handleFencedStart(now, r, c)
	case call.Used:
		k.finish(now, r, job.Used, fleet.Refused, "")
	case call.Full:
		k.finish(now, r, job.NotStarted, fleet.NoRoom, "")
	default:
		k.health.RecordFailure(now)
		k.finish(now, r, job.NotStarted, fleet.Refused, "")
	}
}

// startUnsure handles that a start may have been carried out, or may be later: only what the upstream lists after a call under a newer
// token tells.
func (k *Controller) handleUnsureStart(now time.Time, r *run) {
	k.observer.StartUnsure(r.task, r.number)
	if k.without.Has(rule.FenceUnsure) {
		k.finish(now, r, job.NotStarted, fleet.NeverArrived, "")
		return
	}
	k.lease.RaiseToken(now)
	r.phase, r.provableFrom = unsure, now
	k.callLook(now)
}

// fenced sends a start again that a newer token of this agent has overtaken: the upstream has done nothing.
func (k *Controller) handleFencedStart(now time.Time, r *run, c call.Start) {
	if r.stop != nil {
		k.finish(now, r, r.stop.outcome, r.stop.reason, "")
		return
	}
	k.lease.RaiseTokenAbove(now, c.Token)
	switch {
	case k.isCordoned():
		k.observer.OrderGated(r.task, r.owner)
		k.finish(now, r, job.NotStarted, fleet.ZoneCordoned, "")
	case k.mustLetLeaseLapse(now):
		k.finish(now, r, job.NotStarted, fleet.NotAccepting, "") // it would extend the lease
	default:
		k.callStart(now, r)
	}
}

// StopDone handles the answer to a Stop.
func (k *Controller) StopDone(now time.Time, c call.Stop, a call.Answer, clock call.Clock) {
	if c.Life() != k.life || !k.hasLife {
		return
	}
	if a == call.OK {
		k.recordAnswer(now, c.Sent, 0)
		k.lease.RecordClock(now, clock)
	}
	if at, ok := k.strays[fleet.RunRef{Task: c.Task, Run: c.Run}]; ok && a == call.OK && at.IsZero() {
		k.strays[fleet.RunRef{Task: c.Task, Run: c.Run}] = now
	}
	r := k.runs[c.Task]
	if r == nil || r.number != c.Run || r.stop == nil {
		return
	}
	r.stop.inFlight = false
	switch a {
	case call.OK:
		// Only the first answer counts: a hold is compared with it, and a later one would outdate every hold.
		if r.stop.ackedAt.IsZero() {
			r.stop.ackedAt, r.phase, r.provableFrom = now, running, now
		}
	case call.Fenced:
		k.lease.RaiseTokenAbove(now, c.Token)
		k.callStop(now, r)
	}
}

// finish takes a run out of the account, tells its entry, and lets the task's next run begin.
func (k *Controller) finish(now time.Time, r *run, o job.Outcome, why fleet.Reason, checkpoint string) {
	delete(k.runs, r.task)
	k.idleSince = now
	if k.aloneRun == r {
		k.aloneRun = nil
	}
	e := fleet.End{Task: r.task, Run: r.number, ID: r.id, Outcome: o, Took: now.Sub(r.startedAt), Checkpoint: checkpoint, Reason: why}
	if o == job.NotStarted || o == job.Used {
		e.Took = 0
	}
	if r.kept && o != job.NotStarted && o != job.Used {
		k.finishedUnlisted[r.ref()] = true
	}
	if r.kept && (o == job.Done || o == job.Failed) && !k.without.Has(rule.WithholdEnds) {
		e.Kept = true
		k.ends.Withhold(now, r.owner, e)
	}
	k.updateHealth(now, r, e)
	k.observer.RunEnded(k.ending(now, r, e))
	k.sendRunEnd(now, r, e)
	k.sendSettled(r.owner)
	k.markAllDirty()
	if r.successor != nil {
		k.orderTask(now, *r.successor)
	}
}

// judge learns from the end of a run.
func (k *Controller) updateHealth(now time.Time, r *run, e fleet.End) {
	switch e.Outcome {
	case job.Done:
		k.health.RecordSuccess(now)
		k.recordProgress(now, r, 100)
	case job.Failed:
		// A job that has failed elsewhere says nothing of this upstream.
		if r.priorFailures == 0 {
			k.health.RecordFailure(now)
		}
	case job.Stalled:
		k.health.RecordFailure(now)
	}
}
