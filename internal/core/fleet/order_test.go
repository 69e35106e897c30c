package fleet_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
)

// TestRunTime: a run away from its data should take as many times as long as the order says, and no factor makes it faster.
func TestRunTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
		want   time.Duration
	}{
		{"none", 0, time.Second},
		{"near", 1, time.Second},
		{"remote", 1.5, 1500 * time.Millisecond},
		{"far", 3, 3 * time.Second},
		{"below 1", 0.5, time.Second},
		{"negative", -3, time.Second},
		{"not a number", math.NaN(), time.Second},
		{"infinite", math.Inf(1), 100 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := fleet.Order{Estimate: time.Second, RemoteFactor: c.factor}
			qt.Assert(t, o.RunTime(), qt.Equals, c.want)
		})
	}
}
