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
const aloneWait = crash.Seasoned

// aloneLook is how long a look waits at the upstream while a task is alone. One look follows the other, so that the task's age is known to
// within this and an answer's way if the upstream is lost.
const aloneLook = 8 * time.Millisecond

// aloneOrder is an order of a task that is to be started alone.
type aloneOrder struct {
	waiting
	since time.Time
	// asked is when the upstream was asked last whether it lives, before the start; zero is not yet.
	asked time.Time
}

// aloneFor is for how long after its start an ordered task is alone; zero is not at all.
func (w *waiting) aloneFor() time.Duration { return w.order.Tasks[w.index].Alone }

// closed tells whether nothing may be started, because a task is alone, or is about to be.
func (k *Keeper) closed(now time.Time) bool {
	return k.aloneOrder != nil || k.aloneRun != nil && now.Sub(k.aloneRun.begun) < k.aloneRun.alone
}

// awaitAlone lets an order wait until its task can be started alone.
func (k *Keeper) awaitAlone(now time.Time, w waiting) {
	k.aloneOrder = &aloneOrder{waiting: w, since: now}
	k.touchAll()
}

// startAlone starts the task that waits to be started alone once it is time: the upstream has nothing else that is young, and has
// answered a question that was put after that. Without the answer, a task that is ordered just after its upstream was lost
// would count as one that was alone there.
func (k *Keeper) startAlone(now time.Time) {
	n := k.aloneOrder
	if n == nil {
		return
	}
	switch {
	case !k.stateFor(now, n.owner).Accepts():
		k.aloneOrder = nil
		k.refuse(n.waiting, fleet.NotAccepting)
		k.touchAll()
	case len(k.runs) > 0 && now.Sub(n.since) < aloneWait:
	case !n.asked.IsZero() && k.heardAt.After(n.asked):
		k.aloneOrder = nil
		n.ready = true
		k.orderTask(now, n.waiting)
		k.touchAll()
	case !k.looking && !now.Before(k.lookAt):
		n.asked = now
		k.look(now)
	}
}

// dropAlone forgets the order that waits to be started alone if it meets a condition, and tells its entry why unless that is empty.
func (k *Keeper) dropAlone(why fleet.Reason, when func(w *waiting) bool) {
	n := k.aloneOrder
	if n == nil || !when(&n.waiting) {
		return
	}
	k.aloneOrder = nil
	if why != "" {
		k.refuse(n.waiting, why)
	}
	k.touchAll()
}

// watchAlone asks again and again whether the upstream lives while a task is alone, so that it is known at which point of the task's run
// an upstream was lost, and lets others be started again once the task has been alone for long enough.
func (k *Keeper) watchAlone(now time.Time) {
	switch {
	case k.aloneRun == nil:
	case now.Sub(k.aloneRun.begun) >= k.aloneRun.alone:
		k.aloneRun = nil
		k.touchAll()
	case !now.Before(k.lookAt):
		k.look(now)
	}
}

// wasAlone tells whether a run was alone when it had an age.
func (r *run) wasAlone(age time.Duration) bool { return r.alone > 0 && age <= r.alone }

// mostAlone bounds how long a task is alone, whatever an entry asks for.
const mostAlone = 100 * crash.Seasoned
