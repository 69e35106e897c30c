// Package job defines jobs, tasks, and the outcomes of runs. Entries and agents share these types.
package job

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ID is the ID of a job. The caller chooses it. Its text form is 16 hexadecimal digits.
type ID uint64

// idDigits is the length of an ID's text form.
const idDigits = 16

// ParseID parses the text form of an ID. It returns an error unless text is exactly 16 hexadecimal digits.
func ParseID(text string) (ID, error) {
	if len(text) != idDigits {
		return 0, errors.Errorf("id: want %d hexadecimal digits, not %d characters", idDigits, len(text))
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Errorf("id: want %d hexadecimal digits", idDigits)
	}
	return ID(n), nil
}

// String returns the ID as 16 hexadecimal digits.
func (id ID) String() string {
	s := strconv.FormatUint(uint64(id), 16)
	return strings.Repeat("0", idDigits-len(s)) + s
}

// TaskID names one task of a job.
type TaskID struct {
	Job ID
	// Step is the number of the task's step, Index the task's position in the step; both start at zero.
	Step, Index uint32
}

// String returns the ID in the form that logs use: job, step and index, separated by dots.
func (t TaskID) String() string {
	return t.Job.String() + "." + strconv.Itoa(int(t.Step)) + "." + strconv.Itoa(int(t.Index))
}

// Compare orders tasks by job, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Run numbers the runs of one task, starting at 1.
type Run uint32

// RunsPerGeneration is how many run numbers each generation of a kept job has: far more than the number of times that one entry starts a
// task.
const RunsPerGeneration = 1024

// Follows reports whether r is the next run of its task after a run that has ended: either its number is the next one, or it is the first
// of the next generation. Otherwise the task may have been started elsewhere in between.
func (r Run) Follows(ended Run) bool {
	first := (r-1)%RunsPerGeneration == 0
	return r == ended+1 || first && ended < r && r-ended <= RunsPerGeneration
}

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core, Mem in MB, and GPU in whole accelerators.
	CPU int64 `json:"cpu_millis,omitempty"`
	Mem int64 `json:"mem_mb,omitempty"`
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

// Sub returns the difference of both amounts, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU}
}

// Fits reports whether the amount is available within free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Label is a property of an upstream that a step can require, such as its rack or hardware kind.
type Label string

// MaxEstimate is the longest estimate of a task's run time. Estimates of a job's steps and multiples of them are added up.
const MaxEstimate = 365 * 24 * time.Hour

// Step is a group of identical tasks.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count uint32 `json:"count"`
	// Each is what one task needs.
	Each Resources `json:"each"`
	// Estimate is the caller's estimate of one task's run time; it is often wrong by 40% or more.
	Estimate time.Duration `json:"estimate_ns,omitempty"`
	// After lists the steps that must have ended before this one starts. Each number is below the step's own.
	After []uint32 `json:"after,omitempty"`
	// Requires is a label that the upstream must have; empty means no requirement.
	Requires Label `json:"requires,omitempty"`
	// Prefers is the rack that holds the step's data; empty means no preference.
	Prefers Label `json:"prefers,omitempty"`
	// Checkpoints: the tasks save checkpoints, from which later runs resume.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// MaxPerUpstream bounds the step's tasks on one upstream; zero means no bound.
	MaxPerUpstream uint32 `json:"max_per_upstream,omitempty"`
}

// Spec is what a caller submits.
type Spec struct {
	// Text is passed to the upstream unchanged.
	Text  string `json:"text"`
	Steps []Step `json:"steps"`
	// BestEffort jobs are answered once they have ended, and are not kept in the store.
	BestEffort bool `json:"best_effort,omitempty"`
	// Unsupported names a feature that the job needs and hillreel does not have; empty is none.
	Unsupported string `json:"unsupported,omitempty"`
}

// TaskCount returns the number of tasks in all steps.
func (s *Spec) TaskCount() int {
	n := 0
	for _, step := range s.Steps {
		n += int(step.Count)
	}
	return n
}

// CriticalPath returns the estimated time of the longest chain of dependent steps.
func (s *Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i, step := range s.Steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Outcome is how one run of a task ended.
type Outcome string

// The outcomes. Only Done and Failed come from the task itself; the others have outside causes.
const (
	// Done: the task succeeded.
	Done Outcome = "done"
	// Failed: the task failed, by its own fault or its upstream's.
	Failed Outcome = "failed"
	// Stopped: the run was stopped on request.
	Stopped Outcome = "stopped"
	// Stalled: the run made no progress, or far too little, and was stopped.
	Stalled Outcome = "stalled"
	// Lost: the upstream crashed, left, or let the run's lease lapse.
	Lost Outcome = "lost"
	// NotStarted: the run never started and never will.
	NotStarted Outcome = "not_started"
	// Used: the upstream knows this or a higher run number of the task, and refused to start the run.
	Used Outcome = "used"
)
