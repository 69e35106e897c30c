package owner

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// Crashed records that an upstream was lost while it ran a task of a running job. The record is stored before the task starts
// again (see RunLost), or otherwise with the next write of the job.
func (o *Owner) Crashed(_ time.Time, c fleet.Crash) {
	if k := o.jobs[c.Task.Job]; k != nil && k.phase == running {
		k.open.AddCrash(c)
	}
}

// KeepUnconfirmed stores the crashes of a task that are not confirmed yet, among them the one that its present run may cause. An entry
// that takes the job over then knows of them, and of the upstreams that were up beside the run. The run doesn't wait for the write: it takes
// longer to start. If there are none, the next write of the job says so.
func (o *Owner) KeepUnconfirmed(_ time.Time, task job.TaskID, unconfirmed []fleet.Crash, beside []fleet.Bystander) {
	k := o.jobs[task.Job]
	if k == nil || k.phase != running || k.finalState != "" {
		return
	}
	k.open.SetUnconfirmed(task, unconfirmed)
	if len(unconfirmed) == 0 {
		return
	}
	if len(beside) > 0 {
		k.open.SetBeside(beside)
	}
	k.mustWrite = true
	if !k.writing {
		o.writeProgress(k)
	}
}

// Refuted removes the crashes of an upstream's life that was taken for lost and has answered since.
func (o *Owner) Refuted(_ time.Time, r fleet.Refutation) {
	for _, k := range o.jobs {
		k.open.DropCrashes(r)
	}
}
