package world_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
	"hillreel/internal/load/report"
	"hillreel/internal/load/world"
)

// example returns the documented deployment, deploy/load.ini, without its faults: 400 cores in four availability zones, two thirds of
// which the jobs use on average.
func example(t *testing.T) *plan.Plan {
	p, err := plan.Read("../../../deploy/load.ini")
	qt.Assert(t, err, qt.IsNil)
	p.Faults, p.Length, p.Warmup = nil, 12*time.Second, 2*time.Second
	return p
}

func play(t *testing.T, p *plan.Plan) *world.Result {
	r, err := world.Run(p)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// TestSameSeedSameFigures guards against simulations that are not repeatable, for example because they iterate over a map.
func TestSameSeedSameFigures(t *testing.T) {
	for _, fault := range []plan.Fault{
		{Kind: plan.Burst, For: time.Hour, Factor: 2}, {Kind: plan.UpstreamsLost, At: 3 * time.Second, For: 2 * time.Second, Count: 3},
		{Kind: plan.EntriesLost, At: 3 * time.Second, For: time.Second, Count: 2},
	} {
		var tables [2]strings.Builder
		for i := range tables {
			p := example(t)
			p.Length, p.Faults = 6*time.Second, []plan.Fault{fault}
			qt.Assert(t, report.Table(&tables[i], p, play(t, p)), qt.IsNil)
		}
		qt.Assert(t, tables[0].String(), qt.Equals, tables[1].String())
	}
}

// TestFaults guards against faults that have no effect or too large an effect, and against jobs without an outcome.
func TestFaults(t *testing.T) {
	const from, lasts = 4 * time.Second, 4 * time.Second
	for _, test := range []struct {
		name  string
		fault plan.Fault
		// minServed and maxServed bound the share of all jobs that are served in time.
		minServed, maxServed float64
	}{
		{"nothing", plan.Fault{Kind: plan.Burst, Factor: 1}, 0.99, 1},
		{"burst beyond the room", plan.Fault{Kind: plan.Burst, Factor: 3}, 0.4, 0.85},
		{"upstreams lost", plan.Fault{Kind: plan.UpstreamsLost, Count: 6}, 0.5, 0.95},
		{"upstreams slow", plan.Fault{Kind: plan.UpstreamsSlow, Count: 2, Factor: 6}, 0.9, 0.999},
		{"upstreams hang", plan.Fault{Kind: plan.UpstreamsHang, Count: 2}, 0.9, 0.999},
		{"upstreams fail", plan.Fault{Kind: plan.UpstreamsFail, Count: 2}, 0.9, 1},
		{"zone cordoned", plan.Fault{Kind: plan.ZoneCordoned, Zone: "b"}, 0.9, 1},
		{"entries lost", plan.Fault{Kind: plan.EntriesLost, Count: 2}, 0.9, 0.999},
		{"callers leave", plan.Fault{Kind: plan.CallersLeave, Factor: 0.5}, 0.98, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := example(t)
			test.fault.At, test.fault.For = from, lasts
			p.Faults = []plan.Fault{test.fault}
			a := play(t, p).All
			qt.Assert(t, a.InTime+a.Late+a.Refused+a.Failed+a.Left, qt.Equals, a.Sent)
			qt.Assert(t, a.ServedShare() >= test.minServed && a.ServedShare() <= test.maxServed, qt.IsTrue, qt.Commentf("served %.3f", a.ServedShare()))
		})
	}
}

// TestRefusedCallersReturn guards against callers that return after a refusal and are refused again although there is room by then.
func TestRefusedCallersReturn(t *testing.T) {
	refused := func(maxReturns int) int {
		p := example(t)
		p.MaxReturns = maxReturns
		p.Faults = []plan.Fault{{Kind: plan.Burst, At: 4 * time.Second, For: time.Second, Factor: 4}}
		return play(t, p).All.Refused
	}
	never, thrice := refused(0), refused(3)
	qt.Assert(t, never > 0 && thrice < never/2, qt.IsTrue, qt.Commentf("refused: %d if callers never return, %d if they return up to three times", never, thrice))
}
