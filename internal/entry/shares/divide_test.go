package shares_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/entry/shares"
)

// TestDivide covers the cases of the division by hand.
func TestDivide(t *testing.T) {
	for _, test := range []struct {
		name     string
		capacity float64
		claims   []shares.Claim
		want     []float64
	}{
		{"no team", 10, nil, []float64{}},
		{"one team below the capacity", 10, []shares.Claim{{Weight: 1, Demand: 4}}, []float64{4}},
		{"one team above the capacity", 10, []shares.Claim{{Weight: 1, Demand: 40}}, []float64{10}},
		{"all fit", 10, []shares.Claim{{Weight: 1, Demand: 4}, {Weight: 9, Demand: 6}}, []float64{4, 6}},
		{"equal weights", 10, []shares.Claim{{Weight: 1, Demand: 40}, {Weight: 1, Demand: 20}}, []float64{5, 5}},
		{"what one leaves goes to the other", 10, []shares.Claim{{Weight: 1, Demand: 40}, {Weight: 1, Demand: 2}}, []float64{8, 2}},
		{"weights", 12, []shares.Claim{{Weight: 1, Demand: 40}, {Weight: 2, Demand: 40}}, []float64{4, 8}},
		{"weights below 1", 12, []shares.Claim{{Weight: 0.1, Demand: 40}, {Weight: 0.2, Demand: 40}}, []float64{4, 8}},
		{"a floor", 10, []shares.Claim{{Weight: 1, Floor: 6, Demand: 40}, {Weight: 9, Demand: 40}}, []float64{6, 4}},
		{"a floor below the fair part", 10, []shares.Claim{{Weight: 1, Floor: 2, Demand: 40}, {Weight: 1, Demand: 40}}, []float64{5, 5}},
		{"a floor that is not asked for", 10, []shares.Claim{{Weight: 1, Floor: 6, Demand: 1}, {Weight: 1, Demand: 40}}, []float64{1, 9}},
		{"a limit under contention", 10, []shares.Claim{{Weight: 1, Limit: 3, Demand: 40}, {Weight: 1, Demand: 40}}, []float64{3, 7}},
		{"a limit without contention", 10, []shares.Claim{{Weight: 1, Limit: 3, Demand: 5}, {Weight: 1, Demand: 1}}, []float64{3, 1}},
		{"limits leave capacity unused", 10, []shares.Claim{{Weight: 1, Limit: 3, Demand: 40}, {Weight: 1, Limit: 3, Demand: 40}}, []float64{3, 3}},
		{"floors use up all", 10, []shares.Claim{{Weight: 1, Floor: 4, Demand: 40}, {Weight: 1, Floor: 6, Demand: 40}, {Weight: 5, Demand: 9}}, []float64{4, 6, 0}},
		{"floors exceed all", 10, []shares.Claim{{Weight: 1, Floor: 8, Demand: 40}, {Weight: 1, Floor: 8, Demand: 40}}, []float64{5, 5}},
		{"zero demand", 10, []shares.Claim{{Weight: 1, Floor: 8}, {Weight: 1, Demand: 40}}, []float64{0, 10}},
		{"no capacity", 0, []shares.Claim{{Weight: 1, Demand: 4}, {Weight: 2, Demand: 4}}, []float64{0, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := shares.Divide(test.capacity, test.claims)
			qt.Assert(t, got, qt.HasLen, len(test.want))
			for i := range got {
				qt.Assert(t, math.Abs(got[i]-test.want[i]) < 1e-9, qt.IsTrue, qt.Commentf("got %v, want %v", got, test.want))
			}
		})
	}
}

// draws is the number of random divisions that TestDivideProperties checks.
const draws = 500

// TestDivideProperties checks what every division must fulfil: no part exceeds demand or limit, floors are kept, nothing is left over while
// a team wants it, and no team could get more by taking from one that has more for its weight.
func TestDivideProperties(t *testing.T) {
	const small = 1e-6
	for seed := range uint64(draws) {
		rng := rand.New(rand.NewPCG(seed, 1))
		capacity := rng.Float64() * 100
		claims := make([]shares.Claim, 1+rng.IntN(6))
		floors := 1.0
		for i := range claims {
			c := shares.Claim{Weight: 0.1 + 5*rng.Float64(), Demand: rng.ExpFloat64() * 40}
			floor, limit := 0.0, 0.0
			if rng.IntN(2) == 0 {
				floor = rng.Float64() * floors
				floors -= floor
			}
			if rng.IntN(3) == 0 {
				limit = floor + rng.Float64()*(1-floor)
			}
			if rng.IntN(6) == 0 {
				c.Demand = 0
			}
			c.Floor, c.Limit = floor*capacity, limit*capacity
			claims[i] = c
		}
		parts := shares.Divide(capacity, claims)
		comment := qt.Commentf("seed %d: capacity %v, claims %+v, parts %v", seed, capacity, claims, parts)
		var sum float64
		hungry := false
		for i, c := range claims {
			sum += parts[i]
			wanted := c.Demand
			if c.Limit > 0 {
				wanted = min(wanted, c.Limit)
			}
			qt.Assert(t, parts[i] <= wanted+small, qt.IsTrue, comment)
			qt.Assert(t, parts[i] >= min(c.Floor, wanted)-small, qt.IsTrue, comment)
			if parts[i] >= wanted-small {
				continue
			}
			hungry = true
			for k, other := range claims {
				takesMore := parts[k]/other.Weight > parts[i]/c.Weight+small
				qt.Assert(t, !takesMore || parts[k] <= other.Floor+small, qt.IsTrue, comment)
			}
		}
		qt.Assert(t, sum <= capacity+small, qt.IsTrue, comment)
		if hungry {
			qt.Assert(t, sum >= capacity-small, qt.IsTrue, comment)
		}
	}
}
