package owner

import (
	"time"

	"hillreel/internal/core/fleet"
)

// Crashed records that an upstream was lost while it ran a task of a running job. The record is stored before the task starts
// again (see RunLost), or otherwise with the next write of the job.
func (o *Owner) Crashed(_ time.Time, c fleet.Crash) {
	if k := o.jobs[c.Task.Job]; k != nil && k.phase == running {
		k.open.AddCrash(c)
	}
}

// Refuted removes the crashes of an upstream's life that was taken for lost and has answered since.
func (o *Owner) Refuted(_ time.Time, r fleet.Refutation) {
	for _, k := range o.jobs {
		k.open.DropCrashes(r)
	}
}
