package fleet

import (
	"time"

	"hillreel/internal/core/ident"
)

// Entry is an entry as the list of entries describes it.
type Entry struct {
	// Address is where the entry accepts links.
	Address ident.Address
	// Wants are the services for which the entry is linked to too few upstreams.
	Wants []ident.Service
}

// KeepAlive is the message that an entry sends to each of its agents at regular intervals.
type KeepAlive struct {
	// Echo is the newest reading of the agent's clock that has reached the entry.
	Echo time.Duration
	// Config is the version of the configuration that is in force at the entry.
	Config ident.ConfigVersion
	// Pace is the median of the paces of all upstreams that the entry knows; zero is unknown.
	Pace float64
	// Follows: the entry reads the store's tables that agents need, and tells the agent about their changes.
	Follows bool
}
