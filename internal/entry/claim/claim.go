// Package claim decides at which agents an entry claims room for the tasks that wait, and when it tells them.
package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

const (
	// validity is how long a claim stands. A claim that is still needed is sent again after half of it.
	validity = 200 * time.Millisecond
	// resendPause is the shortest time between two claims at the same agent for the same size of task: one tick, in which the rank of
	// the first job changes little.
	resendPause = 20 * time.Millisecond
	// dueStep is the change of the time by which the first job should be placed from which on agents are told: less doesn't matter beside
	// the time that a message takes to be handled.
	dueStep = 5 * time.Millisecond
	// agentsPerTask is how many agents are asked for each task that waits, so that it gets room where room comes free first. fewestAgents
	// are asked at the least.
	agentsPerTask = 2
	fewestAgents  = 3
)

// Need is what waits for room: Tasks tasks, each of which needs Each. The rest is the rank of the first job that waits.
type Need struct {
	Tasks       int
	Each        job.Resources
	Begun, Late bool
	PlaceBy     time.Time
}

// Message is a claim to be sent.
type Message struct {
	Agent ident.Incarnation
	Claim fleet.Claim
}

// Set holds the claims that stand at agents for the tasks of one service.
type Set struct {
	rng *rand.Rand
	// sent lists the claims in the order in which the agents were first asked.
	sent []*sent
}

// sent is the newest claim at one agent. left counts its tasks that have not got room.
type sent struct {
	agent ident.Incarnation
	need  Need
	left  int
	at    time.Time
}

// New returns a Set without claims. Entries with different seeds ask different agents.
func New(rng *rand.Rand) *Set { return &Set{rng: rng} }

// Len returns the number of agents that have a claim.
func (s *Set) Len() int { return len(s.sent) }

// Update returns the claims to send now. candidates are the agents that could take the tasks. A claim at another agent is withdrawn, and all
// are once nothing waits.
func (s *Set) Update(now time.Time, n Need, candidates []ident.Incarnation) []Message {
	if n.Tasks == 0 {
		return s.Withdraw()
	}
	out := s.dropOthers(candidates)
	wanted := min(len(candidates), max(fewestAgents, agentsPerTask*n.Tasks))
	s.add(candidates, wanted)
	share := (agentsPerTask*n.Tasks + len(s.sent) - 1) / max(len(s.sent), 1)
	n.Tasks = max(1, min(n.Tasks, share))
	for _, c := range s.sent {
		if c.isDue(now, n) {
			c.need, c.left, c.at = n, n.Tasks, now
			out = append(out, Message{c.agent, n.claim(now)})
		}
	}
	return out
}

// Withdraw returns the messages that withdraw all claims.
func (s *Set) Withdraw() []Message {
	var out []Message
	for _, c := range s.sent {
		if !c.at.IsZero() {
			out = append(out, Message{Agent: c.agent})
		}
	}
	s.sent = nil
	return out
}

// dropOthers withdraws the claims at agents that are no candidates.
func (s *Set) dropOthers(candidates []ident.Incarnation) []Message {
	is := make(map[ident.Incarnation]bool, len(candidates))
	for _, a := range candidates {
		is[a] = true
	}
	var out []Message
	s.sent = slices.DeleteFunc(s.sent, func(c *sent) bool {
		if !is[c.agent] {
			out = append(out, Message{Agent: c.agent})
		}
		return !is[c.agent]
	})
	return out
}

// add adds candidates, from a random one on, until wanted agents are asked.
func (s *Set) add(candidates []ident.Incarnation, wanted int) {
	if len(s.sent) >= wanted {
		return
	}
	asked := make(map[ident.Incarnation]bool, len(s.sent))
	for _, c := range s.sent {
		asked[c.agent] = true
	}
	first := s.rng.IntN(len(candidates))
	for i := 0; len(s.sent) < wanted && i < len(candidates); i++ {
		if a := candidates[(first+i)%len(candidates)]; !asked[a] {
			s.sent = append(s.sent, &sent{agent: a})
		}
	}
}

// isDue reports whether the agent is to be told of a need now.
func (c *sent) isDue(now time.Time, n Need) bool {
	age := now.Sub(c.at)
	switch {
	case c.at.IsZero(), age >= validity/2:
		return true
	case age < resendPause:
		return false
	}
	moved := n.PlaceBy.Sub(c.need.PlaceBy).Abs() >= dueStep
	return moved || n.Each != c.need.Each || n.Begun != c.need.Begun || n.Late != c.need.Late || c.left == 0
}

// claim returns the claim for a need.
func (n Need) claim(now time.Time) fleet.Claim {
	return fleet.Claim{
		Tasks: uint32(n.Tasks), Each: n.Each, Begun: n.Begun, Late: n.Late, DueIn: n.PlaceBy.Sub(now), ValidFor: validity,
	}
}

// Use records that tasks were ordered from an agent, which counts them against the claim there if it has reserved room for them.
func (s *Set) Use(agent ident.Incarnation, tasks int) {
	for _, c := range s.sent {
		if c.agent == agent {
			c.left = max(0, c.left-tasks)
		}
	}
}

// Forget removes the claim at an agent whose session has ended, and which has dropped it.
func (s *Set) Forget(agent ident.Incarnation) {
	s.sent = slices.DeleteFunc(s.sent, func(c *sent) bool { return c.agent == agent })
}
