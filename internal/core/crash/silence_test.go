package crash_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
)

// silent returns a crash at which the task was alone and the agent was lost too: the age when the agent was heard last is known.
func silent(vm string, age time.Duration) fleet.Crash {
	c := alone(vm, vm+"1", age)
	c.WithAgent, c.MaxAge = true, age+time.Second
	return c
}

// TestSilentAgents guards against crashes that are taken for early ones, and so for others than the task's, because the agent had fallen
// silent before. Such a crash may have been at any later point within bounds; by itself, or at another point, it proves nothing.
func TestSilentAgents(t *testing.T) {
	told := []fleet.Crash{besideOthers("a", "a1", 200*ms), besideOthers("b", "b1", 205*ms), alone("c", "c1", 220*ms)}
	for _, c := range []struct {
		name string
		more []fleet.Crash
		want crash.Finding
	}{
		{"none", nil, crash.Suspected},
		{"one", []fleet.Crash{silent("d", 0)}, crash.Suspected},
		{"two, silent at different times", []fleet.Crash{silent("d", 0), silent("e", 100*ms)}, crash.Proven},
		{"two, one heard after the point", []fleet.Crash{silent("d", 0), silent("e", 400*ms)}, crash.Unsuspected},
		{"two beside others", []fleet.Crash{besideOthers("d", "d1", 0), besideOthers("e", "e1", 100*ms)}, crash.Suspected},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newWithLosses(4, 10)
			a.AddAll(start, told)
			a.AddAll(start, c.more)
			qt.Assert(t, a.Finding(task), qt.Equals, c.want)
		})
	}
}

// TestOnlySilentAgents: crashes of silent agents at different ages are at no common point as far as is known.
func TestOnlySilentAgents(t *testing.T) {
	a := newWithLosses(8, 0)
	a.AddAll(start, []fleet.Crash{silent("a", 0), silent("b", 300*ms), silent("c", 600*ms)})
	qt.Assert(t, a.Finding(task), qt.Not(qt.Equals), crash.Proven)
}
