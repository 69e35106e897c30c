package upstream

import (
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
)

// A task that may have crashed an upstream is started alone: the upstream takes nothing else while what is there ends, and for a while
// after the task's start. What may crash an upstream at once has then done so by itself, and takes little with it.

// aloneWait is how long the end of other runs is waited for before a task is started alone. Those that still go on are then older than
// crash.Seasoned, and not to blame if the upstream is lost promptly; to wait for their end would keep others out for longer.
const aloneWait = crash.SafeAge

// aloneLook is how long a look waits at the upstream while a task is alone. One look follows the other, so that the task's age is known to
// within this and an answer's way if the upstream is lost.
const aloneLookWait = 8 * time.Millisecond

// aloneOrder is an order of a task that is to be started alone.
type aloneOrder struct {
	pendingOrder
	since time.Time
	// asked is when the upstream was asked last whether it lives, before the start; zero is not yet.
	askedAt time.Time
}

// aloneFor is for how long after its start an ordered task is alone; zero is not at all.
func (w *pendingOrder) aloneFor() time.Duration { return w.order.Tasks[w.index].AloneFor }

// closed tells whether nothing may be started, because a task is alone, or is about to be.
func (k *Controller) isReservedForAlone(now time.Time) bool {
	return k.aloneOrder != nil || k.aloneRun != nil && now.Sub(k.aloneRun.startedAt) < k.aloneRun.aloneFor
}

// awaitAlone lets an order wait until its task can be started alone.
func (k *Controller) awaitAlone(now time.Time, w pendingOrder) {
	k.aloneOrder = &aloneOrder{pendingOrder: w, since: now}
	k.markAllDirty()
}

// startAlone starts the task that waits to be started alone once it is time: the upstream has nothing else that is young, and has
// answered a question that was put after that. Without the answer, a task that is ordered just after its upstream was lost
// would count as one that was alone there.
func (k *Controller) startAlone(now time.Time) {
	n := k.aloneOrder
	if n == nil {
		return
	}
	switch {
	case !k.stateFor(now, n.owner).Accepts():
		k.aloneOrder = nil
		k.refuse(n.pendingOrder, fleet.NotAccepting)
		k.markAllDirty()
	case len(k.runs) > 0 && now.Sub(n.since) < aloneWait:
	case !n.askedAt.IsZero() && k.lastAnswerAt.After(n.askedAt):
		k.aloneOrder = nil
		n.readyAlone = true
		k.orderTask(now, n.pendingOrder)
		k.markAllDirty()
	case !k.looking && !now.Before(k.nextLookAt):
		n.askedAt = now
		k.callLook(now)
	}
}

// dropAlone forgets the order that waits to be started alone if it meets a condition, and tells its entry why unless that is empty.
func (k *Controller) dropAlone(why fleet.Reason, when func(w *pendingOrder) bool) {
	n := k.aloneOrder
	if n == nil || !when(&n.pendingOrder) {
		return
	}
	k.aloneOrder = nil
	if why != "" {
		k.refuse(n.pendingOrder, why)
	}
	k.markAllDirty()
}

// watchAlone asks again and again whether the upstream lives while a task is alone, so that it is known at which point of the task's run
// an upstream was lost, and lets others be started again once the task has been alone for long enough.
func (k *Controller) watchAlone(now time.Time) {
	switch {
	case k.aloneRun == nil:
	case now.Sub(k.aloneRun.startedAt) >= k.aloneRun.aloneFor:
		k.aloneRun = nil
		k.markAllDirty()
	case !now.Before(k.nextLookAt):
		k.callLook(now)
	}
}

// wasAlone tells whether a run was alone when it had an age.
func (r *run) wasAlone(age time.Duration) bool { return r.aloneFor > 0 && age <= r.aloneFor }

// mostAlone bounds how long a task is alone, whatever an entry asks for.
const maxAlone = 100 * crash.SafeAge
