package node

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/link/codec"
)

// Holding tells which jobs another entry has held for long.
func (s *sender) Holding(to, holder ident.Incarnation, jobs []job.ID) {
	s.links.Send(to, codec.Holding(holder, jobs))
}

// Release asks the holder of a job to give it up.
func (s *sender) Release(t fleet.Takeover) { s.links.Send(t.Holder, codec.Release(t)) }

// Released tells the entry that takes a job over that nothing of it remains.
func (s *sender) Released(r fleet.Released) { s.links.Send(r.NewHolder, codec.Released(r)) }
