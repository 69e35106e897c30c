// Package placement holds the ways to choose an agent for a task. docs/MEASUREMENTS.md compares them.
package placement

import (
	"math/rand/v2"
)

// Name names a policy in settings and reports.
type Name string

// The policies.
const (
	Random      Name = "random"
	TwoChoices  Name = "two_choices"
	LeastLoaded Name = "least_loaded"
)

// Policy chooses among n candidates that have room; -1 for none.
type Policy interface {
	Pick(n int, load func(i int) float64, near func(i int) bool) int
}

// zonePenalty is how much load per slot a candidate in another availability zone is counted as worse.
const zonePenalty = 0.02

// New returns the policy of that name, or nil. The seed makes runs repeatable.
func New(name Name, seed uint64) Policy {
	rng := rand.New(rand.NewPCG(seed, 0))
	switch name {
	case Random:
		return &random{rng}
	case TwoChoices:
		return &sampled{rng, 2}
	case LeastLoaded:
		return &sampled{rng, maxSample}
	}
	return nil
}

type random struct{ rng *rand.Rand }

// Pick ignores load.
func (r *random) Pick(n int, _ func(int) float64, _ func(int) bool) int {
	if n == 0 {
		return -1
	}
	return r.rng.IntN(n)
}

// maxSample bounds how many candidates the least loaded one is sought among.
const maxSample = 32

// sampled takes the least loaded of up to k candidates.
type sampled struct {
	rng *rand.Rand
	k   int
}

// Pick looks at k neighbours from a random place, which costs one random number however large k is.
func (s *sampled) Pick(n int, load func(int) float64, near func(int) bool) int {
	if n == 0 {
		return -1
	}
	if s.k == 2 && n > 2 {
		return s.better(s.rng.IntN(n), s.rng.IntN(n), load, near)
	}
	first := s.rng.IntN(n)
	best := first
	for i := 1; i < min(s.k, n); i++ {
		best = s.better(best, (first+i)%n, load, near)
	}
	return best
}

func (s *sampled) better(a, b int, load func(int) float64, near func(int) bool) int {
	if cost(b, load, near) < cost(a, load, near) {
		return b
	}
	return a
}

func cost(i int, load func(int) float64, near func(int) bool) float64 {
	if near(i) {
		return load(i)
	}
	return load(i) + zonePenalty
}
