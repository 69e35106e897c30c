package schedule

import (
	"math/rand/v2"
	"testing"
	"time"
)

// callsFrom is the first seed of the worlds in which upstreams read calls late, newer ones before older ones, also when their senders have
// given up or have ended; answers overtake each other, and agents get a part of a core.
const lateCallsFrom = 9_000_000_000

// calls does so. It draws by itself, like operators.
type lateCalls struct {
	w   *world
	rng *rand.Rand
}

func newLateCalls(w *world) *lateCalls { return &lateCalls{w, rand.New(rand.NewPCG(w.seed, 7))} }

// between draws a time.
func (c *lateCalls) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)+1))
}

const (
	// slice is the time in which an agent that gets a part of a core runs for its share, and stands still for the rest.
	sliceLength = 100 * time.Millisecond
	// standsFor is that rest.
	slicePause = 75 * time.Millisecond
)

// act plans when upstreams lag, when agents get a part of a core, and when agents end beside calls that are on their way.
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

// mostBack is by how much a VM's clock may be set back.
const maxSetBack = 2 * time.Second

// restart ends an agent, which starts again, as often as not after its VM's clock was set back.
func (c *lateCalls) restart(a *agentProc) {
	power, down, back := c.rng.IntN(2) == 0, c.between(10*time.Millisecond, time.Second), c.between(0, maxSetBack)
	if !a.alive {
		return
	}
	c.w.endAgent(a, power, down)
	if c.rng.IntN(2) == 0 {
		c.w.logf("the clock of %s is set back by %v", a.name, back)
		a.clockSetBack += back // no process goes by it now
	}
}

// slices lets an agent run for a part of each slice until a moment.
func (c *lateCalls) runSlices(a *agentProc, until time.Duration) {
	if c.w.Since() > time.Second+until {
		return
	}
	a.markDisturbed(sliceLength)
	a.freeze(slicePause)
	c.w.After(sliceLength, func() { c.runSlices(a, until) })
}

// way is how long a call to an upstream, or its answer, is on its way that otherwise would be for so long.
func (c *lateCalls) drawTransit(u *simUpstream, usual time.Duration) time.Duration {
	if u.maxLag == 0 || c.rng.IntN(2) == 0 {
		return usual
	}
	return c.between(0, u.maxLag)
}

// misses tells whether an agent takes an answer that came while it stood still for one that did not come in time: it finds both when it
// wakes.
func (c *lateCalls) missesAnswer(a *agentProc) bool {
	return c.w.profile.lateCalls && a.frozen && c.rng.IntN(2) == 0
}

// TestLateCalls runs random schedules in which calls are read late and in any order.
func TestLateCalls(t *testing.T) {
	requireNoViolation(t, lateCallsFrom+*seed, longSchedules())
}
