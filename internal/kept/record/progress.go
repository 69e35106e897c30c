package record

import (
	"slices"

	"hillreel/internal/core/job"
)

// LastRunBefore returns the highest run number that earlier generations may have used.
func LastRunBefore(generation uint32) job.Run { return job.Run(generation-1) * job.RunsPerGeneration }

// AddEnd adds the end of a task's run to a job's progress. A checkpoint that is not empty replaces the task's earlier one.
func (o *OpenJob) AddEnd(task job.TaskID, run job.Run, failed bool, checkpoint string) {
	o.Ends = append(o.Ends, End{Step: task.Step, Index: task.Index, Run: run, Failed: failed})
	o.SetUnconfirmed(task, nil)
	if checkpoint == "" {
		return
	}
	o.Checkpoints = slices.DeleteFunc(o.Checkpoints, func(c Checkpoint) bool {
		return c.Step == task.Step && c.Index == task.Index
	})
	o.Checkpoints = append(o.Checkpoints, Checkpoint{Step: task.Step, Index: task.Index, Text: checkpoint})
}

// VoidRun makes a task's run, and those before it, void: an end of them that is not counted already is never counted.
func (o *OpenJob) VoidRun(task job.TaskID, run job.Run) {
	o.VoidRuns = slices.DeleteFunc(o.VoidRuns, func(v TaskRun) bool { return v.Step == task.Step && v.Index == task.Index })
	o.VoidRuns = append(o.VoidRuns, TaskRun{Step: task.Step, Index: task.Index, Run: run})
}

// MayCount reports whether an end that is not stored may still be counted while the job is being taken over. The following
// must hold:
//   - the run is of the previous generation or of this one;
//   - the task has not ended well, and no end of this run or a later one is counted;
//   - the run is not void.
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
