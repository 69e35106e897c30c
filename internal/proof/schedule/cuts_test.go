package schedule

import (
	"math/rand/v2"
	"time"
)

// cutsFrom is the first seed of the worlds in which entries are cut off from everything.
const partitionsFrom = 6_000_000_000

// callersFrom is the first seed of the worlds in which entries are cut off from callers and the store, and hear agents all the time.
const callerPartitionsFrom = 7_000_000_000

// cuts does so. It draws by itself, like operators.
type partitions struct {
	w   *world
	rng *rand.Rand
}

func newPartitions(w *world) *partitions { return &partitions{w, rand.New(rand.NewPCG(w.seed, 7))} }

// between draws a time.
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

// off cuts an entry off from agents, callers and the store for a while; from agents not in worlds in which they are always heard.
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

// carry lets what a caller has sent reach its entry, in the order in which it was sent. What is lost in a cut is sent again after pauses that
// double, so that it arrives within as much time again after the cut as it was sent before its end; what was sent behind it comes right behind it.
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

// way is how long what callers send takes.
const callerDelay = 3 * time.Millisecond

// arriveLater lets what an attempt has sent arrive.
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

// waits is how long a caller waits that tells its entry a time.
func (c *partitions) drawCallerWait(told time.Duration) time.Duration {
	if !c.w.profile.partitions {
		return told
	}
	return c.between(200*time.Millisecond, told)
}

// noteSent and noteGone log what callers do, where that matters.
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
