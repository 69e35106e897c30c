package record

import (
	"slices"

	"hillreel/internal/core/job"
)

// RunsBefore is the highest number of a run before a generation.
func RunsBefore(generation uint32) job.Run { return job.Run(generation-1) * job.RunsEach }

// Count adds the end of a run of a task to a job's progress, with what it has saved; an empty checkpoint is nothing.
func (o *Open) Count(task job.TaskID, run job.Run, failed bool, checkpoint string) {
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
func (o *Open) GiveUp(task job.TaskID, run job.Run) {
	o.Void = slices.DeleteFunc(o.Void, func(v TaskRun) bool { return v.Step == task.Step && v.Index == task.Index })
	o.Void = append(o.Void, TaskRun{Step: task.Step, Index: task.Index, Run: run})
}

// MayCount tells whether an end that nobody has stored still counts while a job is being taken over: it is one of the
// generation before, and its task was not placed again since.
func (o *Open) MayCount(task job.TaskID, run job.Run) bool {
	for _, e := range o.Ends {
		if e.Step == task.Step && e.Index == task.Index && (!e.Failed || e.Run >= run) {
			return false
		}
	}
	for _, v := range o.Void {
		if v.Step == task.Step && v.Index == task.Index && v.Run >= run {
			return false
		}
	}
	return run > RunsBefore(o.Generation-1)
}
