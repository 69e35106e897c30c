package fleet

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
)

// Claim asks an agent to reserve room for an entry when room comes free. It replaces the entry's former claim at the agent. A claim is no
// order: nothing starts by it, and it ends with the session.
type Claim struct {
	// Tasks is the number of tasks that wait for room; zero withdraws the claim. Each is what one of them needs.
	Tasks uint32
	Each  job.Resources
	// Begun, Late and DueIn are the rank of the entry's first waiting job. DueIn is the time from the sending of the claim until the job
	// should be placed. It is negative for an overdue job.
	Begun, Late bool
	DueIn       time.Duration
	// ValidFor is how long the claim stands. It is positive unless the claim is withdrawn.
	ValidFor time.Duration
}

// Demand tells what callers have asked of one entry lately.
type Demand struct {
	// Entry is the entry; zero stands for the sender of the message.
	Entry  ident.Incarnation
	Routes []RouteDemand
}

// RouteDemand is the demand on one route.
type RouteDemand struct {
	Route route.Name
	// Asked is the work that callers sent, and Refused the part of it that was refused, in cores: CPU seconds per second.
	Asked, Refused float64
}
