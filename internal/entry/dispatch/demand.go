package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
)

// HandleDemand handles what callers have asked of another entry.
func (t *Table) HandleDemand(time.Time, fleet.Demand) {}
