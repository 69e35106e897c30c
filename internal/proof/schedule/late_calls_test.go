package schedule

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lateCallsFrom is the first seed of the worlds in which upstreams read calls late and out of order, even when the senders
// have given up or ended. Answers overtake each other, and agents get only part of a core.
const lateCallsFrom = 9_000_000_000

// lateCalls delays calls and the agents that make them. It has a random source of its own, as operators has.
type lateCalls struct {
	w   *world
	rng *rand.Rand
}

func newLateCalls(w *world) *lateCalls { return &lateCalls{w, rand.New(rand.NewPCG(w.seed, 7))} }

// between draws a duration.
func (c *lateCalls) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)+1))
}

const (
	// sliceLength is the period in which an agent that gets part of a core runs for its share and pauses for the rest.
	sliceLength = 100 * time.Millisecond
	// slicePause is the part of sliceLength for which the agent pauses.
	slicePause = 75 * time.Millisecond
)

// act plans when upstreams read calls late, when agents get only part of a core, and when agents restart while calls are
// in transit.
func (c *lateCalls) act() {
	if !c.w.profile.lateCalls {
		return
	}
	for range 2 + c.rng.IntN(6) {
		a := c.w.agents[c.rng.IntN(len(c.w.agents))]
		lag, d := c.between(5*time.Millisecond, 3*time.Second), c.between(100*time.Millisecond, 3*time.Second)
		from := c.between(0, activePeriod)
		c.w.After(from, func() {
			a.markDisturbed(d + lag)
			c.w.setDuring("upstream "+a.upstream.name+" reads calls late", d, func() { a.upstream.maxLag = lag }, func() { a.upstream.maxLag = 0 })
		})
		if c.rng.IntN(3) == 0 {
			c.w.After(from+c.between(0, d), func() { c.restart(a) })
		}
	}
	for range c.rng.IntN(3) {
		a, until := c.w.agents[c.rng.IntN(len(c.w.agents))], c.between(0, activePeriod)
		c.w.After(c.between(0, until), func() { c.runSlices(a, until) })
	}
}

// maxSetBack is the longest time by which a VM's clock is set back.
const maxSetBack = 2 * time.Second

// restart restarts an agent. In half of the cases its VM's clock is set back while it is down.
func (c *lateCalls) restart(a *agentProc) {
	power, down, setBack := c.rng.IntN(2) == 0, c.between(10*time.Millisecond, time.Second), c.between(0, maxSetBack)
	if !a.alive {
		return
	}
	c.w.endAgent(a, power, down)
	if c.rng.IntN(2) == 0 {
		c.w.logf("the clock of %s is set back by %v", a.name, setBack)
		a.clockSetBack += setBack // the agent is down, so no process reads the clock now
	}
}

// runSlices pauses an agent for a part of each slice until a moment.
func (c *lateCalls) runSlices(a *agentProc, until time.Duration) {
	if c.w.Since() > time.Second+until {
		return
	}
	a.markDisturbed(sliceLength)
	a.freeze(slicePause)
	c.w.After(sliceLength, func() { c.runSlices(a, until) })
}

// drawTransit returns how long a call to an upstream, or its answer, is in transit; normal is the time without lag.
func (c *lateCalls) drawTransit(u *simUpstream, normal time.Duration) time.Duration {
	if u.maxLag == 0 || c.rng.IntN(2) == 0 {
		return normal
	}
	return c.between(0, u.maxLag)
}

// missesAnswer reports whether an agent that was frozen when an answer arrived treats the call as timed out. When it
// wakes, both the answer and the timeout are pending.
func (c *lateCalls) missesAnswer(a *agentProc) bool {
	return c.w.profile.lateCalls && a.frozen && c.rng.IntN(2) == 0
}

// TestLateCalls guards against calls that break an invariant because an upstream reads them late and in any order, even
// after their senders have given up or ended.
func TestLateCalls(t *testing.T) {
	requireNoViolation(t, lateCallsFrom+*seed, longSchedules())
}
