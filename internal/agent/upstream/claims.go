package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// Claim handles an entry's claim for room. It replaces the entry's former claim.
func (u *Controller) Claim(time.Time, ident.Incarnation, fleet.Claim) {}
