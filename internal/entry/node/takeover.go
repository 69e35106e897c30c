package node

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/link/codec"
)

// AnnounceHeld tells an agent which jobs this entry has held for a long time. The agent passes the list to its other entries.
func (s *sender) AnnounceHeld(agent ident.Incarnation, jobs []job.ID) {
	s.links.Send(agent, codec.Holding(0, jobs))
}

// RequestRelease asks the entry that holds a job to release it. An agent passes the request on.
func (s *sender) RequestRelease(agent ident.Incarnation, id job.ID, holder ident.Incarnation) {
	s.links.Send(agent, codec.Release(fleet.Takeover{Job: id, Holder: holder}))
}

// SendReleased tells the entry that takes a job over that no run of it remains here. An agent passes the message on.
func (s *sender) SendReleased(agent ident.Incarnation, r fleet.Released) {
	s.links.Send(agent, codec.Released(r))
}
