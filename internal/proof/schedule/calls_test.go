package schedule

import (
	"math/rand/v2"
	"testing"
	"time"
)

// callsFrom is the first seed of the worlds in which upstreams read calls late, newer ones before older ones, also when their senders have
// given up or have ended; answers overtake each other, and agents get a part of a core.
const callsFrom = 9_000_000_000

// calls does so. It draws by itself, like operators.
type calls struct {
	w   *world
	rng *rand.Rand
}

func newCalls(w *world) *calls { return &calls{w, rand.New(rand.NewPCG(w.seed, 7))} }

// between draws a time.
func (c *calls) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)+1))
}

const (
	// slice is the time in which an agent that gets a part of a core runs for its share, and stands still for the rest.
	slice = 100 * time.Millisecond
	// standsFor is that rest.
	standsFor = 75 * time.Millisecond
)

// act plans when upstreams lag, when agents get a part of a core, and when agents end beside calls that are on their way.
func (c *calls) act() {
	if !c.w.odds.calls {
		return
	}
	for range 2 + c.rng.IntN(6) {
		a := c.w.agents[c.rng.IntN(len(c.w.agents))]
		lag, d := c.between(5*time.Millisecond, 3*time.Second), c.between(100*time.Millisecond, 3*time.Second)
		from := c.between(0, busy)
		c.w.After(from, func() {
			a.disturb(d + lag)
			c.w.window("upstream "+a.upstream.name+" reads calls late", d, func() { a.upstream.lag = lag }, func() { a.upstream.lag = 0 })
		})
		if c.rng.IntN(3) == 0 {
			c.w.After(from+c.between(0, d), func() { c.restart(a) })
		}
	}
	for range c.rng.IntN(3) {
		a, until := c.w.agents[c.rng.IntN(len(c.w.agents))], c.between(0, busy)
		c.w.After(c.between(0, until), func() { c.slices(a, until) })
	}
}

// mostBack is by how much a VM's clock may be set back.
const mostBack = 2 * time.Second

// restart ends an agent, which starts again, as often as not after its VM's clock was set back.
func (c *calls) restart(a *agentProc) {
	power, down, back := c.rng.IntN(2) == 0, c.between(10*time.Millisecond, time.Second), c.between(0, mostBack)
	if !a.alive {
		return
	}
	c.w.endAgent(a, power, down)
	if c.rng.IntN(2) == 0 {
		c.w.note("the clock of %s is set back by %v", a.name, back)
		a.back += back // no process goes by it now
	}
}

// slices lets an agent run for a part of each slice until a moment.
func (c *calls) slices(a *agentProc, until time.Duration) {
	if c.w.Elapsed() > time.Second+until {
		return
	}
	a.disturb(slice)
	a.freeze(standsFor)
	c.w.After(slice, func() { c.slices(a, until) })
}

// way is how long a call to an upstream, or its answer, is on its way that otherwise would be for so long.
func (c *calls) way(u *simUpstream, usual time.Duration) time.Duration {
	if u.lag == 0 || c.rng.IntN(2) == 0 {
		return usual
	}
	return c.between(0, u.lag)
}

// misses tells whether an agent takes an answer that came while it stood still for one that did not come in time: it finds both when it
// wakes.
func (c *calls) misses(a *agentProc) bool { return c.w.odds.calls && a.frozen && c.rng.IntN(2) == 0 }

// TestLateCalls runs random schedules in which calls are read late and in any order.
func TestLateCalls(t *testing.T) {
	noViolation(t, callsFrom+*seed, longSchedules())
}
