package record

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Crash tells that an upstream was lost while a task of the job ran there.
type Crash struct {
	Step  uint32             `json:"step"`
	Index uint32             `json:"index"`
	VM    ident.UpstreamName `json:"vm"`
	ID    ident.UpstreamID   `json:"id"`
	Born  ident.Born         `json:"born_ms,omitempty"`
	// Loss tells the losses of one life apart.
	Loss fleet.LossNumber `json:"loss,omitempty"`
	// AfterMs is how old the run was when the upstream was last heard.
	AfterMs int64 `json:"after_ms"`
	Alone   bool  `json:"alone,omitempty"`
	Sole    bool  `json:"sole,omitempty"`
}

// maxCrashes bounds the crashes that are kept with a job: a few tasks prove to crash upstreams, or none does, well before.
const maxCrashes = 64

// AddCrash adds a crash to a job's progress.
func (o *Open) AddCrash(c fleet.Crash) {
	if len(o.Crashes) >= maxCrashes {
		o.Crashes = o.Crashes[1:]
	}
	o.Crashes = append(o.Crashes[:len(o.Crashes):len(o.Crashes)], Crash{
		Step: c.Task.Step, Index: c.Task.Index, VM: c.VM, ID: c.Life.ID, Born: c.Life.Born, Loss: c.Loss,
		AfterMs: c.After.Milliseconds(), Alone: c.Alone, Sole: c.Sole,
	})
}

// DropCrashes forgets the crashes of a life that was not lost after all.
func (o *Open) DropCrashes(r fleet.Refutation) {
	var rest []Crash
	for _, c := range o.Crashes {
		if c.ID != r.Life.ID || c.Born != r.Life.Born || c.Loss > r.UpTo {
			rest = append(rest, c)
		}
	}
	o.Crashes = rest
}

// CrashesOf lists the crashes under the tasks of a job.
func (o *Open) CrashesOf(id job.ID) []fleet.Crash {
	var out []fleet.Crash
	for _, c := range o.Crashes {
		out = append(out, fleet.Crash{
			Task: job.TaskID{Job: id, Step: c.Step, Index: c.Index}, VM: c.VM, Life: ident.UpstreamLife{ID: c.ID, Born: c.Born},
			Loss: c.Loss, After: time.Duration(c.AfterMs) * time.Millisecond, Alone: c.Alone, Sole: c.Sole,
		})
	}
	return out
}
