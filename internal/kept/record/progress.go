package record

import (
	"slices"

	"hillreel/internal/core/job"
)

// RunsBefore is the highest number of a run before a generation.
func LastRunBefore(generation uint32) job.Run { return job.Run(generation-1) * job.RunsPerGeneration }

// Count adds the end of a run of a task to a job's progress, with what it has saved; an empty checkpoint is nothing.
func (o *OpenJob) AddEnd(task job.TaskID, run job.Run, failed bool, checkpoint string) {
	o.Ends = append(o.Ends, End{Step: task.Step, Index: task.Index, Run: run, Failed: failed})
	if checkpoint == "" {
		return
	}
	o.Checkpoints = slices.DeleteFunc(o.Checkpoints, func(c Checkpoint) bool {
		return c.Step == task.Step && c.Index == task.Index
	})
	o.Checkpoints = append(o.Checkpoints, Checkpoint{Step: task.Step, Index: task.Index, Text: checkpoint})
}

// GiveUp makes a task's run, and those before it, count for nothing unless they have counted already.
func (o *OpenJob) VoidRun(task job.TaskID, run job.Run) {
	o.VoidRuns = slices.DeleteFunc(o.VoidRuns, func(v TaskRun) bool { return v.Step == task.Step && v.Index == task.Index })
	o.VoidRuns = append(o.VoidRuns, TaskRun{Step: task.Step, Index: task.Index, Run: run})
}

// MayCount tells whether an end that nobody has stored still counts while a job is being taken over: it is one of the
// generation before, and its task was not placed again since.
func (o *OpenJob) MayCount(task job.TaskID, run job.Run) bool {
	for _, e := range o.Ends {
		if e.Step == task.Step && e.Index == task.Index && (!e.Failed || e.Run >= run) {
			return false
		}
	}
	for _, v := range o.VoidRuns {
		if v.Step == task.Step && v.Index == task.Index && v.Run >= run {
			return false
		}
	}
	return run > LastRunBefore(o.Generation-1)
}
