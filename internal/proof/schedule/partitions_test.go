package schedule

import (
	"math/rand/v2"
	"time"
)

// partitionsFrom is the first seed of the worlds in which entries are cut off from agents, callers and the store.
const partitionsFrom = 6_000_000_000

// callerPartitionsFrom is the first seed of the worlds in which entries are cut off from callers and the store but always
// reach agents.
const callerPartitionsFrom = 7_000_000_000

// partitions cuts entries off. It has a random source of its own, as operators has.
type partitions struct {
	w   *world
	rng *rand.Rand
}

func newPartitions(w *world) *partitions { return &partitions{w, rand.New(rand.NewPCG(w.seed, 7))} }

// between draws a duration.
func (c *partitions) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)+1))
}

// act plans which entries are cut off, and when.
func (c *partitions) act() {
	if !c.w.profile.partitions {
		return
	}
	for range 1 + c.rng.IntN(3) {
		e, d := c.w.entries[c.rng.IntN(len(c.w.entries))], c.between(100*time.Millisecond, 3*time.Second)
		c.w.After(c.between(0, activePeriod), func() { c.isolate(e, d) })
	}
}

// isolate cuts an entry off from callers and the store for a while, and from agents unless the world keeps agents
// reachable.
func (c *partitions) isolate(e *entryProc, d time.Duration) {
	w := c.w
	if e.callersCut {
		return
	}
	e.isolatedUntil = w.Now().Add(d)
	w.markAllDisturbed(d)
	w.setDuring(e.name+" is cut off from everything", d, func() { e.callersCut, e.storeCut = true, true }, func() { e.callersCut, e.storeCut = false, false })
	for _, p := range w.pairs {
		if p.e == e && !w.profile.agentsReachable {
			p.cutToAgent, p.cutToEntry = true, true
			w.After(d, p.heal)
		}
	}
}

// deliver delivers what a caller sends to its entry, in the order in which it was sent. What a partition drops is
// retransmitted with a pause that doubles each time. It therefore arrives after the partition, delayed by at most the time
// between its sending and the end of the partition. What was sent after it arrives right after it.
func (c *partitions) deliver(e *entryProc, a *attempt, arrive func()) {
	if !c.w.profile.partitions {
		c.w.After(callerDelay, arrive)
		return
	}
	a.inTransit = append(a.inTransit, arrive)
	if len(a.inTransit) == 1 {
		a.firstSent = c.w.Now()
		c.scheduleArrival(e, a)
	}
}

// callerDelay is how long a caller's message is in transit.
const callerDelay = 3 * time.Millisecond

// scheduleArrival schedules the arrival of the first message in transit of an attempt.
func (c *partitions) scheduleArrival(e *entryProc, a *attempt) {
	after := callerDelay
	if e.callersCut {
		after = e.isolatedUntil.Sub(c.w.Now()) + c.between(0, e.isolatedUntil.Sub(a.firstSent))
	}
	c.w.After(after, func() {
		if e.callersCut {
			c.scheduleArrival(e, a)
			return
		}
		arrive := a.inTransit[0]
		a.inTransit = a.inTransit[1:]
		if len(a.inTransit) > 0 {
			c.scheduleArrival(e, a)
		}
		arrive()
	})
}

// drawCallerWait returns how long a caller waits before it disconnects. In worlds with partitions that may be less than
// the time that it announced to its entry.
func (c *partitions) drawCallerWait(announced time.Duration) time.Duration {
	if !c.w.profile.partitions {
		return announced
	}
	return c.between(200*time.Millisecond, announced)
}

// logSent and logGone log what callers do, in worlds with partitions.
func (c *partitions) logSent(s *submission, e *entryProc) {
	if c.w.profile.partitions {
		c.w.logf("job %v is sent to %s", s.id, e.name)
	}
}

func (c *partitions) logGone(s *submission, e *entryProc) {
	if c.w.profile.partitions {
		c.w.logf("the caller of job %v is gone from %s", s.id, e.name)
	}
}
