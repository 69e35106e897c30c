package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/entry/queue"
)

// noRoom is the size of a task that fits at none of the agents whose capacity is being offered. Capacity only decreases
// meanwhile, so larger tasks need not be tried. The zero value rules out nothing.
type noRoom struct {
	each job.Resources
	set  bool
}

// add records that a task fits nowhere. Of sizes that can't be compared, the first is kept.
func (n *noRoom) add(each job.Resources) {
	if !n.set || each.Fits(n.each) {
		n.each, n.set = each, true
	}
}

// covers reports whether a task is at least as large as one that fits nowhere.
func (n *noRoom) covers(each job.Resources) bool { return n.set && n.each.Fits(each) }

// offerRoom offers the free capacity of some agents to the jobs of one queue, until none has room for the smallest task or a
// job comes that may not be passed.
func (t *Table) offerRoom(now time.Time, q *queue.Queue[*jobState], among []*agentState) {
	t.noRoom = noRoom{}
	q.Offer(func(j *jobState) bool {
		waits := t.placeJob(now, j, among)
		return !t.nothingFits(q) && !(waits && t.holdsRoom(now, q, j, among))
	})
	t.noRoom = noRoom{}
}

// nothingFits reports whether even the smallest waiting task fits nowhere.
func (t *Table) nothingFits(q *queue.Queue[*jobState]) bool {
	smallest, waits := q.Sizes.Smallest()
	return waits && t.noRoom.covers(job.Resources{CPU: smallest})
}

// anyRoom reports whether one of the agents accepts work and has room for the smallest task of a queue, as far as CPU goes.
func anyRoom(q *queue.Queue[*jobState], among []*agentState) bool {
	smallest, waits := q.Sizes.Smallest()
	return waits && slices.ContainsFunc(among, func(a *agentState) bool {
		return a.AcceptsWork() && a.Upstream.Service == q.Service && a.Free().CPU >= smallest
	})
}

// holdRatio is how many times as large as the smallest waiting task a task must be to have capacity left to it. Such a task
// fits only after several runs have ended at one upstream and nothing has started there. Smaller tasks fit as soon as a run
// or two have ended, so that capacity left to them would only stay idle.
const holdRatio = 4

// holdsRoom reports whether the capacity of some agents is left to a job that waits, since its tasks are too large for what
// is free. Capacity that the job does not want is not left to it, nor is an upstream that could not take its tasks if it
// were empty.
func (t *Table) holdsRoom(now time.Time, q *queue.Queue[*jobState], j *jobState, among []*agentState) bool {
	if !j.Rank().Holds(now) {
		return false
	}
	smallest, _ := q.Sizes.Smallest()
	return slices.ContainsFunc(j.steps, func(s stepState) bool {
		if len(s.waiting) == 0 {
			return false
		}
		first := s.waiting[0]
		isWide := first.cpu() >= holdRatio*smallest && t.noRoom.covers(t.step(first).Each)
		return isWide && t.anyWouldSuit(now, first, among)
	})
}

// anyWouldSuit reports whether a task would take one of the upstreams that accept work if nothing else ran there.
func (t *Table) anyWouldSuit(now time.Time, k *task, among []*agentState) bool {
	prefer := t.preferenceOf(now, k)
	return slices.ContainsFunc(among, func(a *agentState) bool {
		return a.AcceptsWork() && t.suits(a, k) && !prefer.setsAside(a)
	})
}
