package world

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
	"hillreel/internal/load/plan"
)

// idlePlan is two upstreams of four cores each.
const idlePlan = "[run]\nlength = 3s\nwarmup = 0s\n[zone a]\nupstreams = 2\n[upstream u]\ncores = 4\n[job j]\nrate = 20\ntime = 50ms\n"

func idleWorld(t *testing.T) *World {
	p, err := plan.Parse("f", []byte(idlePlan))
	qt.Assert(t, err, qt.IsNil)
	w, err := newWorld(p)
	qt.Assert(t, err, qt.IsNil)
	return w
}

// TestRefusedBesideRoom guards against refusals that count as beside room although not all tasks of the job fit, or the other way round.
func TestRefusedBesideRoom(t *testing.T) {
	for _, test := range []struct {
		name    string
		count   uint32
		cpu     int64
		used    int64
		counted bool
		want    int
	}{
		{"fits exactly", 8, 1000, 0, true, 1},
		{"one task too many", 9, 1000, 0, true, 0},
		{"no upstream has room for a task", 1, 4001, 0, true, 0},
		{"all but one core in use", 5, 1000, 3000, true, 1},
		{"all but one core in use, one task too many", 6, 1000, 3000, true, 0},
		{"warmup", 1, 1000, 0, false, 0},
	} {
		w := idleWorld(t)
		w.agents[0].up.usedCPU = test.used
		s := &submission{w: w, counted: test.counted}
		s.spec = &job.Spec{Steps: []job.Step{{Count: test.count, Each: job.Resources{CPU: test.cpu}}}}
		w.countRefused(s)
		qt.Check(t, w.result.RefusedBesideRoom, qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, w.result.Refusals == 1, qt.Equals, test.counted, qt.Commentf(test.name))
	}
}

// TestIdle guards against samples of other seconds than those with refused jobs, and of upstreams that are down.
func TestIdle(t *testing.T) {
	w := idleWorld(t)
	w.result.Seconds[0].Refused, w.result.Seconds[2].Refused = 1, 1
	w.result.IdleSeconds = []Idle{{10, 1}, {10, 10}, {10, 3}, {}}
	seconds, share := w.result.IdleWhileRefusing()
	qt.Check(t, seconds, qt.Equals, 2)
	qt.Check(t, share, qt.Equals, 0.2)

	w = idleWorld(t)
	w.runUntil(loadStart - time.Millisecond)
	w.agents[0].up.usedCPU = 1000
	w.agents[1].losePower(time.Hour)
	w.sampleIdle()
	qt.Check(t, w.result.IdleSeconds[0].Share(), qt.Equals, 0.75)
}

// TestUsedRoom guards against room that stays in use after runs have ended, been stopped or been lost with their upstream.
func TestUsedRoom(t *testing.T) {
	w := idleWorld(t)
	w.plan.Load, w.plan.Faults = 4, []plan.Fault{
		{Kind: plan.CallersLeave, For: time.Hour, Factor: 0.5}, {Kind: plan.UpstreamsLost, At: time.Second, For: time.Second, Count: 1},
	}
	w.runUntil(loadStart + 1500*time.Millisecond)
	var used int64
	for _, a := range w.agents {
		used += a.up.usedCPU
	}
	qt.Check(t, used > 0, qt.IsTrue)
	w.runUntil(loadStart + w.plan.Length + drainTime)
	for _, a := range w.agents {
		qt.Check(t, a.up.usedCPU, qt.Equals, int64(0))
	}
}
