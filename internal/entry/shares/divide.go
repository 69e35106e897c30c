package shares

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what one team asks of the capacity of a service. All amounts are in cores.
type Claim struct {
	// Weight is positive.
	Weight float64
	// Floor is what the team gets at least, if it asks for as much. Limit is the most that it gets; zero means no limit.
	Floor, Limit float64
	// Demand is what the team asks for.
	Demand float64
}

// wanted is the most that the team can use.
func (c *Claim) wanted() float64 {
	if c.Limit > 0 {
		return min(c.Demand, c.Limit)
	}
	return c.Demand
}

// assured is what the team gets before anything is divided by weight.
func (c *Claim) assured() float64 { return min(c.Floor, c.wanted()) }

// Divide divides a capacity among teams by weighted max-min fairness: floors come first, then all parts grow in proportion to the weights
// until each team has what it wants or the capacity is used up. No part exceeds the team's demand or limit.
func Divide(capacity float64, claims []Claim) []float64 {
	parts := make([]float64, len(claims))
	var wanted, assured float64
	for i := range claims {
		parts[i] = claims[i].wanted()
		wanted += parts[i]
		assured += claims[i].assured()
	}
	if wanted <= capacity {
		return parts
	}
	if assured > capacity { // concurrent changes may add up to floors above 1
		for i := range claims {
			parts[i] = claims[i].assured() * capacity / assured
		}
		return parts
	}
	level := fairLevel(capacity, claims)
	for i := range claims {
		parts[i] = claims[i].partAt(level)
	}
	return parts
}

// partAt returns the team's part if level cores are given for each unit of weight.
func (c *Claim) partAt(level float64) float64 {
	return min(max(level*c.Weight, c.assured()), c.wanted())
}

// fairLevel returns the level at which the parts use up the capacity. All floors must fit into it, and all that is wanted must exceed it.
func fairLevel(capacity float64, claims []Claim) float64 {
	// Between two neighboring steps the sum of the parts grows linearly with the level.
	var steps []float64
	for i := range claims {
		steps = append(steps, claims[i].assured()/claims[i].Weight, claims[i].wanted()/claims[i].Weight)
	}
	slices.SortFunc(steps, cmp.Compare[float64])
	low, used := 0.0, sumAt(0, claims)
	for _, high := range steps {
		sum := sumAt(high, claims)
		if sum >= capacity && sum > used {
			return low + (high-low)*(capacity-used)/(sum-used)
		}
		low, used = high, sum
	}
	return math.Max(low, 0)
}

func sumAt(level float64, claims []Claim) float64 {
	var sum float64
	for i := range claims {
		sum += claims[i].partAt(level)
	}
	return sum
}
