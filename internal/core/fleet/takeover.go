package fleet

import (
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Takeover is about a job that need not be kept, which its caller has sent to one entry while another held it.
type Takeover struct {
	Job job.ID
	// Holder is the entry that held it, By the one that its caller has gone to.
	Holder, NewHolder ident.Incarnation
}

// Released says that nothing of a job remains which another entry takes over.
type Released struct {
	Takeover
	// ByHolder: the holder says so, of all upstreams. Else an agent does, of its upstream: the holder isn't linked to it.
	ByHolder bool
}
