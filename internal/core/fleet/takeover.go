package fleet

import (
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Takeover is about a job that is not kept and whose caller has sent it to one entry while another entry held it.
type Takeover struct {
	Job job.ID
	// Holder is the entry that held the job; NewHolder is the entry to which the caller has sent it.
	Holder, NewHolder ident.Incarnation
}

// Released says that nothing is left of a job that another entry takes over.
type Released struct {
	Takeover
	// ByHolder: the holder has released the job on all upstreams. Otherwise an agent has released it on its own upstream, because the
	// holder is not linked to that agent.
	ByHolder bool
}
