package upstream

import (
	"time"

	"hillreel/internal/agent/reservation"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Claim handles an entry's claim for room. It replaces the entry's former claim.
func (u *Controller) Claim(now time.Time, entry ident.Incarnation, c fleet.Claim) {
	if s := u.sessions[entry]; s != nil && s.linked {
		u.claims.Record(now, entry, c)
	}
}

// ClaimCounts returns what has become of the entries' claims.
func (u *Controller) ClaimCounts() reservation.Counts { return u.claims.Counts() }

// updateReservations reserves free room for claims while the upstream is in state. The entries that get some are told at once.
func (u *Controller) updateReservations(now time.Time, state fleet.State) {
	var free job.Resources
	if state == fleet.Ready && !u.isReservedForAlone() {
		free = u.free()
	}
	granted, released := u.claims.Update(now, free, u.info.Total)
	if released {
		u.markAllDirty()
	}
	for _, entry := range granted {
		s := u.sessions[entry]
		s.dirty, s.urgent = true, true
	}
}

// availableTo returns the room that an entry may use: what no run takes, and what is not reserved for others.
func (u *Controller) availableTo(entry ident.Incarnation) job.Resources {
	if u.isReservedForAlone() {
		return job.Resources{}
	}
	return u.claims.Available(entry, u.free())
}
