package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/entry/placement"
)

// TestOffer: the objective is a second; a job is useless after three.
func TestOffer(t *testing.T) {
	for _, c := range []struct {
		name            string
		here, elsewhere time.Duration
		lastResort      bool
		wantInTime      bool
		wantTake        bool
	}{
		{"in time", 900 * time.Millisecond, 500 * time.Millisecond, false, true, true},
		{"just in time", time.Second, 500 * time.Millisecond, false, true, true},
		{"late, in time elsewhere", 1100 * time.Millisecond, 500 * time.Millisecond, false, false, false},
		{"late, in time elsewhere, last resort", 1100 * time.Millisecond, 500 * time.Millisecond, true, false, true},
		{"late anywhere", 1600 * time.Millisecond, 1100 * time.Millisecond, false, false, true},
		{"useless, late elsewhere", 3100 * time.Millisecond, 1100 * time.Millisecond, false, false, false},
		{"useless anywhere", 4 * time.Second, 3100 * time.Millisecond, false, false, true},
		{"late, later elsewhere", 1100 * time.Millisecond, 1600 * time.Millisecond, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := placement.Offer{Here: c.here, Elsewhere: c.elsewhere, Objective: time.Second, LastResort: c.lastResort}
			qt.Assert(t, o.InTime(), qt.Equals, c.wantInTime)
			qt.Assert(t, o.Take(), qt.Equals, c.wantTake)
		})
	}
}
