// Package placement selects the upstream for a task.
//
// The caller supplies the candidates, a function that tells whether a candidate is eligible, and a cost function. Only
// eligible candidates are selected.
package placement

import "math/rand/v2"

// sampleSize is how many eligible upstreams are rated for a task, starting at a random position in their order. If all
// entries rated all upstreams, they would find the same cheapest one and race for its capacity. The sample also ends the
// search early, once three upstreams have capacity.
const sampleSize = 3

// fewUpstreams is the number of upstreams up to which all are rated. Among few upstreams, a random sample would often miss
// the emptiest.
const fewUpstreams = 24

// Cheapest returns the cheapest of the eligible candidates, the first one among equals, or the zero value of A if none is
// eligible.
func Cheapest[A comparable](candidates []A, eligible func(A) bool, cost func(A) float64) A {
	return cheapest(candidates, 0, len(candidates), eligible, cost)
}

// CheapestOfSample is like Cheapest, but rates only a random sample if there are many candidates.
func CheapestOfSample[A comparable](rng *rand.Rand, candidates []A, eligible func(A) bool, cost func(A) float64) A {
	if len(candidates) <= fewUpstreams {
		return Cheapest(candidates, eligible, cost)
	}
	return cheapest(candidates, rng.IntN(len(candidates)), sampleSize, eligible, cost)
}

// cheapest rates up to limit eligible candidates, starting at index first, and returns the cheapest.
func cheapest[A comparable](candidates []A, first, limit int, eligible func(A) bool, cost func(A) float64) A {
	var best, none A
	var bestCost float64
	for i := range candidates {
		a := candidates[(first+i)%len(candidates)]
		if !eligible(a) {
			continue
		}
		c := cost(a)
		if best == none || c < bestCost {
			best, bestCost = a, c
		}
		if limit--; limit == 0 {
			break
		}
	}
	return best
}
