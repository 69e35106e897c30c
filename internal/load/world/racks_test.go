package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/world"
)

// racked returns the example deployment with two upstreams in each rack, and a remote factor of three.
func racked(t *testing.T) *plan.Plan {
	p := example(t)
	p.Length, p.RemoteFactor = 6*time.Second, 3
	for i := range p.Zones {
		p.Zones[i].Rack = 2
	}
	return p
}

// TestData guards against data without effect: tasks away from their data must be counted, and take longer by the remote factor.
func TestData(t *testing.T) {
	away := func(r *world.Result) float64 { return float64(r.RunsAway) / float64(r.RunsWithData) }
	t.Run("no data", func(t *testing.T) {
		qt.Check(t, play(t, racked(t)).RunsWithData, qt.Equals, 0)
	})
	t.Run("all jobs have data", func(t *testing.T) {
		p := racked(t)
		p.Load, p.RemoteFactor = 0.3, 1.5 // with a factor of 1, being near the data is worth nothing
		for i := range p.Jobs {
			p.Jobs[i].Near = 1
		}
		r := play(t, p)
		t.Logf("away %.3f", away(r))
		qt.Check(t, r.RunsWithData, qt.Equals, r.Runs)
		qt.Check(t, away(r) < 0.5, qt.IsTrue) // the preference counts: without it, more than four of five runs would be away
	})
	t.Run("the remote factor", func(t *testing.T) {
		used := func(factor float64) float64 {
			p := racked(t)
			p.Load, p.RemoteFactor = 0.3, factor
			p.Zones = append(p.Zones, plan.Zone{Name: "e", Upstreams: 1, Rack: 1})
			p.Faults = []plan.Fault{{Kind: plan.HotRack, For: time.Hour, Zone: "e", Factor: 1}}
			r := play(t, p)
			t.Logf("factor %v: used %.0f core seconds, away %.3f", factor, r.Used, away(r))
			qt.Check(t, away(r) > 0, qt.IsTrue)
			return r.Used
		}
		qt.Check(t, used(3) > 1.2*used(1), qt.IsTrue)
	})
}

// TestHotRack guards against hot racks that other kinds of jobs want, or for longer than the fault lasts.
func TestHotRack(t *testing.T) {
	p := racked(t)
	p.Faults = []plan.Fault{{Kind: plan.HotRack, Job: "long", At: 3 * time.Second, For: time.Second, Factor: 1}}
	r := play(t, p)
	p.Faults = []plan.Fault{{Kind: plan.HotRack, Job: "long", At: 3 * time.Second, For: 3 * time.Second, Factor: 1}}
	longer := play(t, p)
	t.Logf("runs with data: %d in a second, %d in three seconds, of %d", r.RunsWithData, longer.RunsWithData, r.Runs)
	const tasksPerSecond = 28 // of the kind of job; all kinds have 550
	qt.Check(t, r.RunsWithData > tasksPerSecond/4 && r.RunsWithData < 4*tasksPerSecond, qt.IsTrue)
	qt.Check(t, longer.RunsWithData > 3*r.RunsWithData/2, qt.IsTrue)
}
