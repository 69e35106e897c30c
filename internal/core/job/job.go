// Package job defines jobs, their tasks, and what becomes of a run, as all of hillreel's processes know them.
package job

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ID is a job's id. The caller chooses it; it is written as 16 hexadecimal digits.
type ID uint64

// idDigits is the length of a written ID.
const idDigits = 16

// ParseID reads an id. Exactly 16 hexadecimal digits are accepted.
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

// String writes the id as its caller does.
func (id ID) String() string {
	s := strconv.FormatUint(uint64(id), 16)
	return strings.Repeat("0", idDigits-len(s)) + s
}

// TaskID names one task of a job.
type TaskID struct {
	Job ID
	// Step is the number of the task's step, Index its place in the step, both from zero.
	Step, Index uint32
}

// String writes the id as it stands in logs.
func (t TaskID) String() string {
	return t.Job.String() + "." + strconv.Itoa(int(t.Step)) + "." + strconv.Itoa(int(t.Index))
}

// Compare orders tasks by job, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Run counts the starts of one task, from 1.
type Run uint32

// RunsEach is how many numbers of runs each generation of a kept job has: far more than one entry starts a task.
const RunsPerGeneration = 1024

// Follows tells whether a run is the next of its task after another that ended: by its number, or as the first of the
// generation after it. Otherwise the task may have started elsewhere in between.
func (r Run) Follows(ended Run) bool {
	first := (r-1)%RunsPerGeneration == 0
	return r == ended+1 || first && ended < r && r-ended <= RunsPerGeneration
}

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core, Mem in MB, GPU in whole accelerators.
	CPU int64 `json:"cpu_millis,omitempty"`
	Mem int64 `json:"mem_mb,omitempty"`
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU}
}

// Fits tells whether the amount is available within free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Label is a property of an upstream that a step can require, such as its rack or hardware kind.
type Label string

// Step is a group of equal tasks.
type Step struct {
	// Count is at least 1.
	Count uint32 `json:"count"`
	// Each is what one task needs.
	Each Resources `json:"each"`
	// Estimate is the caller's guess of one task's run time; it is often off by 40% and more.
	Estimate time.Duration `json:"estimate_ns,omitempty"`
	// After lists earlier steps that must have ended. Every number is below the step's own.
	After []uint32 `json:"after,omitempty"`
	// Requires is a label that the upstream must have; empty is none.
	Requires Label `json:"requires,omitempty"`
	// Prefers is the rack that holds the step's data; empty is none.
	Prefers Label `json:"prefers,omitempty"`
	// MaxPerUpstream bounds the step's tasks on one upstream; zero is no bound.
	MaxPerUpstream uint32 `json:"max_per_upstream,omitempty"`
}

// Spec is what a caller submits.
type Spec struct {
	// Text goes to the upstream as it is.
	Text  string `json:"text"`
	Steps []Step `json:"steps"`
	// BestEffort jobs are answered once they have ended and are not kept.
	BestEffort bool `json:"best_effort,omitempty"`
	// Unsupported names a feature that the job needs and hillreel lacks; empty is none.
	Unsupported string `json:"unsupported,omitempty"`
}

// Tasks returns how many tasks the job has.
func (s *Spec) TaskCount() int {
	n := 0
	for _, step := range s.Steps {
		n += int(step.Count)
	}
	return n
}

// Chain returns the estimated time of the longest chain of steps.
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

// Outcome says how one run of a task ended.
type Outcome string

// The outcomes. Only Done and Failed are the task's own.
const (
	// Done: the task ended well.
	Done Outcome = "done"
	// Failed: the task failed, through its own fault or its upstream's.
	Failed Outcome = "failed"
	// Stopped: the run was stopped on request.
	Stopped Outcome = "stopped"
	// Stalled: the run made no progress, or far too little, and was stopped.
	Stalled Outcome = "stalled"
	// Lost: the upstream crashed, left or let the run's lease lapse.
	Lost Outcome = "lost"
	// NotStarted: the run never began and never will.
	NotStarted Outcome = "not_started"
	// Used: the upstream has seen this or a higher run of the task, and refused to start it.
	Used Outcome = "used"
)
