package node

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/link/codec"
)

// Holding reports to an entry which jobs another entry, the holder, has held for long.
func (s *sender) Holding(to, holder ident.Incarnation, jobs []job.ID) {
	s.links.Send(to, codec.Holding(holder, jobs))
}

// Release asks the entry that holds a job to release it.
func (s *sender) Release(t fleet.Takeover) { s.links.Send(t.Holder, codec.Release(t)) }

// Released reports to the entry that takes a job over that no run of it remains at its former holder.
func (s *sender) Released(r fleet.Released) { s.links.Send(r.NewHolder, codec.Released(r)) }
