package schedule

import (
	"math/rand/v2"
	"time"
)

// cutsFrom is the first seed of the worlds in which entries are cut off from everything.
const cutsFrom = 6_000_000_000

// callersFrom is the first seed of the worlds in which entries are cut off from callers and the store, and hear agents all the time.
const callersFrom = 7_000_000_000

// cuts does so. It draws by itself, like operators.
type cuts struct {
	w   *world
	rng *rand.Rand
}

func newCuts(w *world) *cuts { return &cuts{w, rand.New(rand.NewPCG(w.seed, 7))} }

// between draws a time.
func (c *cuts) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)+1))
}

// act plans which entries are cut off, and when.
func (c *cuts) act() {
	if !c.w.odds.cutOff {
		return
	}
	for range 1 + c.rng.IntN(3) {
		e, d := c.w.entries[c.rng.IntN(len(c.w.entries))], c.between(100*time.Millisecond, 3*time.Second)
		c.w.After(c.between(0, busy), func() { c.off(e, d) })
	}
}

// off cuts an entry off from agents, callers and the store for a while; from agents not in worlds in which they are always heard.
func (c *cuts) off(e *entryProc, d time.Duration) {
	w := c.w
	if e.clientCut {
		return
	}
	e.cutUntil = w.Now().Add(d)
	w.disturbAll(d)
	w.window(e.name+" is cut off from everything", d, func() { e.clientCut, e.storeCut = true, true }, func() { e.clientCut, e.storeCut = false, false })
	for _, p := range w.pairs {
		if p.e == e && !w.odds.agentsHeard {
			p.toAgent, p.toEnt = true, true
			w.After(d, p.heal)
		}
	}
}

// carry lets what a caller has sent reach its entry, in the order in which it was sent. What is lost in a cut is sent again after pauses that
// double, so that it arrives within as much time again after the cut as it was sent before its end; what was sent behind it comes right behind it.
func (c *cuts) carry(e *entryProc, a *attempt, arrive func()) {
	if !c.w.odds.cutOff {
		c.w.After(way, arrive)
		return
	}
	a.sent = append(a.sent, arrive)
	if len(a.sent) == 1 {
		a.since = c.w.Now()
		c.arriveLater(e, a)
	}
}

// way is how long what callers send takes.
const way = 3 * time.Millisecond

// arriveLater lets what an attempt has sent arrive.
func (c *cuts) arriveLater(e *entryProc, a *attempt) {
	after := way
	if e.clientCut {
		after = e.cutUntil.Sub(c.w.Now()) + c.between(0, e.cutUntil.Sub(a.since))
	}
	c.w.After(after, func() {
		if e.clientCut {
			c.arriveLater(e, a)
			return
		}
		arrive := a.sent[0]
		a.sent = a.sent[1:]
		if len(a.sent) > 0 {
			c.arriveLater(e, a)
		}
		arrive()
	})
}

// waits is how long a caller waits that tells its entry a time.
func (c *cuts) waits(told time.Duration) time.Duration {
	if !c.w.odds.cutOff {
		return told
	}
	return c.between(200*time.Millisecond, told)
}

// noteSent and noteGone log what callers do, where that matters.
func (c *cuts) noteSent(s *submission, e *entryProc) {
	if c.w.odds.cutOff {
		c.w.note("job %v is sent to %s", s.id, e.name)
	}
}

func (c *cuts) noteGone(s *submission, e *entryProc) {
	if c.w.odds.cutOff {
		c.w.note("the caller of job %v is gone from %s", s.id, e.name)
	}
}
