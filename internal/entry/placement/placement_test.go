package placement_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/entry/placement"
)

// upTo lists the numbers from 1 to n.
func upTo(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i + 1
	}
	return out
}

func TestCheapest(t *testing.T) {
	cost := func(a int) float64 { return float64(a % 5) }
	for _, c := range []struct {
		name  string
		among []int
		may   func(int) bool
		want  int
	}{
		{"no candidates", nil, func(int) bool { return true }, 0},
		{"none eligible", upTo(9), func(int) bool { return false }, 0},
		{"the cheapest", upTo(9), func(int) bool { return true }, 5},
		{"the cheapest eligible", upTo(9), func(a int) bool { return a != 5 }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, placement.Cheapest(c.among, c.may, cost), qt.Equals, c.want)
			qt.Assert(t, placement.CheapestOfSample(rand.New(rand.NewPCG(1, 1)), c.among, c.may, cost), qt.Equals, c.want)
		})
	}
}

// TestCheapestOfSample: of many candidates exactly three are rated, regardless of their number. Each candidate is selected
// about equally often. If only one of many is eligible, it is found.
func TestCheapestOfSample(t *testing.T) {
	for _, n := range []int{100, 200} {
		rng := rand.New(rand.NewPCG(1, 1))
		selected, rated := make(map[int]int), 0
		const rounds = 2000
		for range rounds {
			selected[placement.CheapestOfSample(rng, upTo(n), func(int) bool { return true }, func(int) float64 { rated++; return rng.Float64() })]++
		}
		qt.Assert(t, rated, qt.Equals, 3*rounds)
		for a, times := range selected {
			qt.Assert(t, times < 5*rounds/n, qt.IsTrue, qt.Commentf("%d: %d times", a, times))
		}
		qt.Assert(t, placement.CheapestOfSample(rng, upTo(n), func(a int) bool { return a == 7 }, func(int) float64 { return 1 }), qt.Equals, 7)
	}
}
