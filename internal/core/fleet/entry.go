package fleet

import (
	"time"

	"hillreel/internal/core/ident"
)

// Entry is an entry as others list it.
type Entry struct {
	// Address is where it takes links.
	Address ident.Address
	// Wants are services of whose upstreams it is linked to few.
	Wants []ident.Service
}

// KeepAlive is what an entry tells each of its agents again and again.
type KeepAlive struct {
	// Echo is the newest reading of the agent's clock that the entry has.
	Echo time.Duration
	// Config is the configuration that is in force at the entry.
	Config ident.ConfigVersion
	// Pace is the median of all upstreams' paces, as the entry knows them; zero is unknown.
	Pace float64
	// Follows: the entry reads the store's tables that agents need, and tells what changes there.
	Follows bool
}
