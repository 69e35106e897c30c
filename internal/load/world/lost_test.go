package world

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestLoseAll guards against a loss of all VMs that leaves some of them up, and against VMs that stay down or are not linked after it.
func TestLoseAll(t *testing.T) {
	p, err := plan.Read("../../../deploy/load.ini")
	qt.Assert(t, err, qt.IsNil)
	const from, lasts = 2 * time.Second, time.Second
	p.Faults = []plan.Fault{{Kind: plan.AllLost, At: from, For: lasts}}
	w, err := newWorld(p)
	qt.Assert(t, err, qt.IsNil)
	vms := len(w.entries) + len(w.agents)
	for _, test := range []struct {
		at            time.Duration
		alive, linked int
	}{
		{from - 1, vms, len(w.entries) * len(w.agents)},
		{from, 0, 0},
		{from + lasts - 1, 0, 0},
		{from + lasts + maxStartSpread, vms, len(w.entries) * len(w.agents)},
	} {
		w.runUntil(loadStart + test.at)
		alive, linked := 0, 0
		for _, e := range w.entries {
			linked += len(e.linkOrder)
			if e.alive {
				alive++
			}
		}
		for _, a := range w.agents {
			if a.alive {
				alive++
			}
		}
		qt.Check(t, alive, qt.Equals, test.alive, qt.Commentf("%v", test.at))
		qt.Check(t, linked, qt.Equals, test.linked, qt.Commentf("%v", test.at))
	}
}
