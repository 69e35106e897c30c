package upstream

import (
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// A task that may have crashed an upstream is started alone: the upstream gets no other task while its present runs end, and for a time
// after the start of this task. A task that crashes an upstream promptly then does so by itself, and few other runs are lost with it.

// aloneWait is the longest wait for other runs to end before a task is started alone. Runs that still go on are then older than
// crash.SafeAge, so that a prompt loss of the upstream isn't attributed to them. A longer wait would keep other tasks out for longer.
const aloneWait = crash.SafeAge

// alonePollWait is how long the upstream may delay its answer to a poll while a task is alone. Polls follow each other without a pause,
// so that the age of the task at a loss is known to within this time plus the time that an answer travels.
const alonePollWait = 8 * time.Millisecond

// aloneOrder is an order for a task that is to be started alone. since is when it began to wait.
type aloneOrder struct {
	pendingOrder
	since time.Time
	// askedAt is when the poll was made whose answer is to show, before the start, that the upstream is alive; zero if there was none.
	askedAt time.Time
}

// aloneFor returns for how long after its start the ordered task is to be alone; zero if it needn't be.
func (p *pendingOrder) aloneFor() time.Duration { return p.order.Tasks[p.index].AloneFor }

// isReservedForAlone reports whether nothing else may be started, because a task is alone or waits to be started alone.
func (u *Controller) isReservedForAlone() bool {
	return u.aloneOrder != nil || u.aloneRun != nil && !u.hasOutlivedAlone(u.aloneRun)
}

// awaitAlone makes an order wait until its task can be started alone.
func (u *Controller) awaitAlone(now time.Time, p pendingOrder) {
	u.aloneOrder = &aloneOrder{pendingOrder: p, since: now}
	u.markAllDirty()
}

// startAlone starts the waiting task once nothing else runs or aloneWait is over, and the upstream has answered a call that was made
// after that. Without the answer, a task that is ordered just after its upstream was lost would be recorded as one that was alone there.
func (u *Controller) startAlone(now time.Time) {
	a := u.aloneOrder
	if a == nil {
		return
	}
	switch {
	case !u.stateFor(now, a.owner).Accepts():
		u.aloneOrder = nil
		u.refuse(a.pendingOrder, fleet.NotAccepting)
		u.markAllDirty()
	case len(u.runs) > 0 && now.Sub(a.since) < aloneWait:
	case !a.askedAt.IsZero() && u.lastAnswerAt.After(a.askedAt):
		u.aloneOrder = nil
		a.readyAlone = true
		u.orderTask(now, a.pendingOrder)
		u.markAllDirty()
	case !u.polling && !now.Before(u.nextPollAt):
		a.askedAt = now
		u.callPoll(now)
	}
}

// dropAlone removes the order that waits to be started alone if when returns true for it. The order's entry is sent a refusal with the
// reason why, unless why is empty.
func (u *Controller) dropAlone(why fleet.Reason, when func(p *pendingOrder) bool) {
	a := u.aloneOrder
	if a == nil || !when(&a.pendingOrder) {
		return
	}
	u.aloneOrder = nil
	if why != "" {
		u.refuse(a.pendingOrder, why)
	}
	u.markAllDirty()
}

// watchAlone keeps polling the upstream while a task is alone, so that the age of the task at a loss is known. It
// admits other tasks again once the task has been alone for long enough.
func (u *Controller) watchAlone(now time.Time) {
	switch {
	case u.aloneRun == nil:
	case u.hasOutlivedAlone(u.aloneRun):
		u.aloneRun = nil
		u.markAllDirty()
	case !now.Before(u.nextPollAt):
		u.callPoll(now)
	}
}

// suspectsOf returns the entry's runs that were started alone.
func (u *Controller) suspectsOf(entry ident.Incarnation) []fleet.SuspectRun {
	if u.suspects == 0 {
		return nil
	}
	var out []fleet.SuspectRun
	for _, r := range u.sortedRuns() {
		if r.owner == entry && r.aloneFor > 0 {
			age := max(u.lastAliveAt.Sub(r.startedAt), 0)
			alone := r.wasAlone(age)
			out = append(out, fleet.SuspectRun{RunRef: r.ref(), Age: age, Alone: alone, OnlyRun: alone && len(u.runs) == 1})
		}
	}
	return out
}

// reportSuspects makes Flush tell the entries of suspects how far their runs have come. They need it if this process is lost together with
// the upstream. While a run is alone, they are told of each answer of the upstream.
func (u *Controller) reportSuspects() {
	if u.suspects == 0 {
		return
	}
	for _, r := range u.runs {
		if s := u.sessions[r.owner]; s != nil && r.aloneFor > 0 {
			s.dirty, s.urgent = true, s.urgent || r == u.aloneRun
		}
	}
}

// hasOutlivedAlone reports whether the upstream has answered since the time for which the run had to be alone was over. Without that
// answer, the upstream may have been lost before.
func (u *Controller) hasOutlivedAlone(r *run) bool {
	return u.lastAliveAt.Sub(r.startedAt) >= r.aloneFor
}

// wasAlone reports whether the run was still alone at an age.
func (r *run) wasAlone(age time.Duration) bool { return r.aloneFor > 0 && age <= r.aloneFor }

// maxAlone bounds how long a task is alone, whatever an entry asks for.
const maxAlone = 100 * crash.SafeAge
