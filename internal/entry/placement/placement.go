// Package choice decides to which of the upstreams that could take a task it goes.
//
// It takes the candidates, whether one may be taken, and what one costs, and never takes one that may not be.
package placement

import "math/rand/v2"

// draws is how many upstreams that could take a task are rated for it, from a place in their order that is drawn. Entries that rate all of
// them find the same one the cheapest and race for its room. It also ends the look at all upstreams, once three have room.
const sampleSize = 3

// fewUpstreams is up to how many upstreams all are rated: of few, the emptiest is seldom among those that are drawn.
const fewUpstreams = 24

// Cheapest returns the cheapest of those that may be taken, or the zero A while there is none. The first of equally cheap ones is taken.
func Cheapest[A comparable](among []A, may func(A) bool, cost func(A) float64) A {
	return cheapest(among, 0, len(among), may, cost)
}

// Drawn is like Cheapest, but of many it rates a few, which it draws.
func CheapestOfSample[A comparable](rng *rand.Rand, among []A, may func(A) bool, cost func(A) float64) A {
	if len(among) <= fewUpstreams {
		return Cheapest(among, may, cost)
	}
	return cheapest(among, rng.IntN(len(among)), sampleSize, may, cost)
}

// cheapest rates some, from a place on.
func cheapest[A comparable](among []A, first, most int, may func(A) bool, cost func(A) float64) A {
	var best, none A
	var bestCost float64
	for i := range among {
		a := among[(first+i)%len(among)]
		if !may(a) {
			continue
		}
		c := cost(a)
		if best == none || c < bestCost {
			best, bestCost = a, c
		}
		if most--; most == 0 {
			break
		}
	}
	return best
}
