package owner

import (
	"time"

	"hillreel/internal/core/fleet"
)

// Crashed notes that an upstream was lost under a task of a job that is held. It is written ahead of the task's next start (RunLost),
// or else with the next write.
func (b *Owner) Crashed(_ time.Time, c fleet.Crash) {
	if k := b.jobs[c.Task.Job]; k != nil && k.phase == running {
		k.open.AddCrash(c)
	}
}

// Refuted forgets the crashes of a life that has answered since.
func (b *Owner) Refuted(_ time.Time, r fleet.Refutation) {
	for _, k := range b.jobs {
		k.open.DropCrashes(r)
	}
}
