package node

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
)

// Claim asks an agent to reserve room for this entry.
func (s *sender) Claim(agent ident.Incarnation, c fleet.Claim) { s.links.Send(agent, codec.Claim(c)) }

// SendDemand tells an agent what callers have asked of this entry. The agent passes the message to its other entries.
func (s *sender) SendDemand(agent ident.Incarnation, d fleet.Demand) {
	s.links.Send(agent, codec.Demand(d))
}
