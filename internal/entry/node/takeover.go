package node

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/link/codec"
)

// Holding tells an agent, for its other entries, which jobs this entry has held for long.
func (s *sender) AnnounceHeld(agent ident.Incarnation, jobs []job.ID) {
	s.links.Send(agent, codec.Holding(0, jobs))
}

// Release asks, through an agent, for a job that another entry holds.
func (s *sender) RequestRelease(agent ident.Incarnation, id job.ID, holder ident.Incarnation) {
	s.links.Send(agent, codec.Release(fleet.Takeover{Job: id, Holder: holder}))
}

// Released tells, through an agent, the entry that takes a job over that nothing of it remains.
func (s *sender) SendReleased(agent ident.Incarnation, r fleet.Released) {
	s.links.Send(agent, codec.Released(r))
}
