package placement

import (
	"time"

	"hillreel/internal/entry/retry"
)

// Offer is room at an upstream for a task. The times are those that the task's job will have taken by the task's end.
type Offer struct {
	// Here is the time if the task starts at the upstream now. Elsewhere is the time if it finds room now at an upstream of the usual pace,
	// near its data.
	Here, Elsewhere time.Duration
	// Objective is the time within which the job should end.
	Objective time.Duration
	// LastResort is set if the job may be refused before it finds other room.
	LastResort bool
}

// InTime reports whether the job can be in time if the task starts at the upstream now.
func (o *Offer) InTime() bool { return o.value(o.Here) == retry.InTime }

// Take reports whether the task should start at the upstream now if no upstream with room ends it in time. It should rather wait for other
// room if its job is worth more by that, unless the job may be refused then. A job that is late anyway only ends later if it waits.
func (o *Offer) Take() bool { return o.LastResort || o.value(o.Here) >= o.value(o.Elsewhere) }

// value rates the job's end.
func (o *Offer) value(end time.Duration) retry.Value { return retry.Rate(end, o.Objective) }
