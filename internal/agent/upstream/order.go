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
func (k *Keeper) sorted() []*run {
	return slices.SortedFunc(maps.Values(k.runs), func(a, b *run) int { return a.task.Compare(b.task) })
}

// Order handles an entry's order.
func (k *Keeper) Order(now time.Time, entry ident.Incarnation, o fleet.Order) {
	s := k.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	s.seq, s.dirty = o.Seq, true
	for i := range o.Tasks {
		k.orderTask(now, waiting{owner: entry, epoch: s.epoch, order: o, index: i})
	}
}

// orderTask starts one task of an order, refuses it, or lets it wait for the end of an earlier run.
func (k *Keeper) orderTask(now time.Time, w waiting) {
	task := w.order.Task(w.index)
	s := k.sessions[w.owner]
	fresh := k.fresh(now, s) || k.without.Off(rule.FreshSession)
	if !fresh || s.epoch != w.epoch {
		k.refuse(w, fleet.StaleSession)
		return
	}
	if !w.order.Kept && k.owners.Refuses(now, w.order.Job, w.owner) {
		k.refuse(w, fleet.Superseded)
		return
	}
	k.dropAlone(fleet.Superseded, func(have *waiting) bool { return have.order.Task(have.index) == task })
	if r := k.runs[task]; r != nil && !k.without.Off(rule.SameTaskWaits) {
		if r.owner == w.owner && r.ordered() == w.ordered() && r.epoch == w.epoch {
			return
		}
		// The caller has sent the job again after its entry was lost: the old run must be gone first.
		if r.next != nil {
			k.refuse(*r.next, fleet.Superseded)
		}
		r.next = &w
		k.stopRun(now, r, stopping{outcome: job.Stopped, reason: fleet.Superseded, cause: SentAgain})
		return
	}
	if w.order.Kept && k.hasEnded(w) {
		return
	}
	switch state := k.stateFor(now, w.owner); {
	case state == fleet.Cordoned:
		k.gate(w)
		return
	case !state.Accepts():
		k.refuse(w, fleet.NotAccepting)
		return
	}
	if k.closed(now) || !w.order.Each.Fits(k.free()) {
		k.refuse(w, fleet.NoRoom)
		return
	}
	if w.aloneFor() > 0 && !w.ready {
		k.awaitAlone(now, w)
		return
	}
	k.startRun(now, w)
}

func (k *Keeper) refuse(w waiting, why fleet.Reason) {
	k.tellNotStarted(w.owner, w.ordered(), why)
}

// tellNotStarted tells an entry that a run is not here.
func (k *Keeper) tellNotStarted(to ident.Incarnation, r fleet.OrderedRun, why fleet.Reason) {
	k.tell(to, fleet.End{Task: r.Task, Run: r.Run, ID: r.ID, Outcome: job.NotStarted, Reason: why})
}

func (k *Keeper) startRun(now time.Time, w waiting) {
	t := w.order.Tasks[w.index]
	r := &run{
		task: w.order.Task(w.index), number: t.Run, id: t.ID, owner: w.owner, epoch: w.epoch, spec: w.order.Spec,
		each: w.order.Each, estimate: w.order.Estimate, earlier: t.Failures, checkpoint: t.Checkpoint, kept: w.order.Kept,
		phase: starting, begun: now, advanced: now, alone: min(t.Alone, mostAlone),
	}
	k.runs[r.task] = r
	if r.alone > 0 {
		k.aloneRun = r
	}
	invariant.Check(job.Resources{}.Fits(k.free()), invariant.RoomKept, func() logrus.Fields {
		return logrus.Fields{"upstream": k.life, "task": r.task, "free": k.free()}
	})
	k.health.Started()
	k.callStart(now, r)
	k.touchAll()
}

func (k *Keeper) callStart(now time.Time, r *run) {
	k.caller.Start(call.Start{
		Header: k.header(now), Task: r.task, Run: r.number, Spec: r.spec, Checkpoint: r.checkpoint, Until: k.lease.Extend(now),
	})
}

// StopTask handles an entry's wish to stop a run, because nobody wants it any more or, with Moved, to place its task
// elsewhere. Its end is told when it is certain.
func (k *Keeper) StopTask(now time.Time, entry ident.Incarnation, wanted fleet.OrderedRun, why fleet.Reason) {
	r := k.runs[wanted.Task]
	if r != nil && r.next != nil && r.next.owner == entry && r.next.ordered() == wanted {
		k.refuse(*r.next, fleet.OnRequest)
		r.next = nil
		return
	}
	k.dropAlone("", func(w *waiting) bool { return w.owner == entry && w.ordered() == wanted })
	if r == nil || r.owner != entry || r.ordered() != wanted {
		k.tellNotStarted(entry, wanted, fleet.NotListed)
		return
	}
	k.stopRun(now, r, stopping{outcome: job.Stopped, reason: why, cause: StopCause(why), unwanted: why != fleet.Moved})
}

// stopRun begins to stop a run, or makes a stop under way more urgent. It is wanted from now on, unless why says since when.
func (k *Keeper) stopRun(now time.Time, r *run, why stopping) {
	if why.since.IsZero() {
		why.since = now
	}
	if r.stop != nil {
		if why.unwanted && !r.stop.unwanted {
			r.stop.unwanted, r.stop.since = true, why.since
		}
		return
	}
	why.asked = now
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

func (k *Keeper) callStop(now time.Time, r *run) {
	if !k.known {
		return
	}
	r.stop.sent, r.stop.calling = now, true
	k.caller.Stop(call.Stop{Header: k.header(now), Task: r.task, Run: r.number})
}

// StartDone handles the answer to a Start.
func (k *Keeper) StartDone(now time.Time, c call.Start, a call.Answer, clock call.Clock) {
	if c.Life() != k.life || !k.known {
		return
	}
	if a == call.OK {
		k.heard(now, c.Sent, 0)
		k.lease.Read(now, clock)
	}
	r := k.runs[c.Task]
	if a == call.WrongInstance {
		k.end(now)
		k.touchAll()
		return
	}
	if r == nil || r.number != c.Run || r.phase != starting {
		return
	}
	switch a {
	case call.OK:
		r.phase, r.sure, r.advanced = running, now, now
	case call.Unanswered:
		k.startUnsure(now, r)
	case call.Unclear:
		k.health.Bad(now)
		k.startUnsure(now, r)
	case call.Fenced:
		k.fenced(now, r, c)
	case call.Used:
		k.finish(now, r, job.Used, fleet.Refused, "")
	case call.Full:
		k.finish(now, r, job.NotStarted, fleet.NoRoom, "")
	default:
		k.health.Bad(now)
		k.finish(now, r, job.NotStarted, fleet.Refused, "")
	}
}

// startUnsure handles that a start may have been carried out, or may be later: only what the upstream lists after a call under a newer
// token tells.
func (k *Keeper) startUnsure(now time.Time, r *run) {
	k.observer.Unsure(r.task, r.number)
	if k.without.Off(rule.FenceUnsure) {
		k.finish(now, r, job.NotStarted, fleet.NeverArrived, "")
		return
	}
	k.lease.Raise(now)
	r.phase, r.sure = unsure, now
	k.look(now)
}

// fenced sends a start again that a newer token of this agent has overtaken: the upstream has done nothing.
func (k *Keeper) fenced(now time.Time, r *run, c call.Start) {
	if r.stop != nil {
		k.finish(now, r, r.stop.outcome, r.stop.reason, "")
		return
	}
	k.lease.Outbid(now, c.Token)
	switch {
	case k.cordoned():
		k.observer.Gated(r.task, r.owner)
		k.finish(now, r, job.NotStarted, fleet.ZoneCordoned, "")
	case k.mustLapse(now):
		k.finish(now, r, job.NotStarted, fleet.NotAccepting, "") // it would extend the lease
	default:
		k.callStart(now, r)
	}
}

// StopDone handles the answer to a Stop.
func (k *Keeper) StopDone(now time.Time, c call.Stop, a call.Answer, clock call.Clock) {
	if c.Life() != k.life || !k.known {
		return
	}
	if a == call.OK {
		k.heard(now, c.Sent, 0)
		k.lease.Read(now, clock)
	}
	if at, ok := k.strays[fleet.RunRef{Task: c.Task, Run: c.Run}]; ok && a == call.OK && at.IsZero() {
		k.strays[fleet.RunRef{Task: c.Task, Run: c.Run}] = now
	}
	r := k.runs[c.Task]
	if r == nil || r.number != c.Run || r.stop == nil {
		return
	}
	r.stop.calling = false
	switch a {
	case call.OK:
		// Only the first answer counts: a hold is compared with it, and a later one would outdate every hold.
		if r.stop.acked.IsZero() {
			r.stop.acked, r.phase, r.sure = now, running, now
		}
	case call.Fenced:
		k.lease.Outbid(now, c.Token)
		k.callStop(now, r)
	}
}

// finish takes a run out of the account, tells its entry, and lets the task's next run begin.
func (k *Keeper) finish(now time.Time, r *run, o job.Outcome, why fleet.Reason, checkpoint string) {
	delete(k.runs, r.task)
	k.idleSince = now
	if k.aloneRun == r {
		k.aloneRun = nil
	}
	e := fleet.End{Task: r.task, Run: r.number, ID: r.id, Outcome: o, Took: now.Sub(r.begun), Checkpoint: checkpoint, Reason: why}
	if o == job.NotStarted || o == job.Used {
		e.Took = 0
	}
	if r.kept && o != job.NotStarted && o != job.Used {
		k.given[r.ref()] = true
	}
	if r.kept && (o == job.Done || o == job.Failed) && !k.without.Off(rule.WithholdEnds) {
		e.Kept = true
		k.ends.Withhold(now, r.owner, e)
	}
	k.judge(now, r, e)
	k.observer.Ended(k.ending(now, r, e))
	k.tellRun(now, r, e)
	k.settle(r.owner)
	k.touchAll()
	if r.next != nil {
		k.orderTask(now, *r.next)
	}
}

// judge learns from the end of a run.
func (k *Keeper) judge(now time.Time, r *run, e fleet.End) {
	switch e.Outcome {
	case job.Done:
		k.health.Good(now)
		k.advance(now, r, 100)
	case job.Failed:
		// A job that has failed elsewhere says nothing of this upstream.
		if r.earlier == 0 {
			k.health.Bad(now)
		}
	case job.Stalled:
		k.health.Bad(now)
	}
}
