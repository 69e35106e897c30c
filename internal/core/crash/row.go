package crash

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Row is a crash of one of a job's tasks, as it is encoded in rows of the store.
type Row struct {
	Step  uint32             `json:"step"`
	Index uint32             `json:"index"`
	VM    ident.UpstreamName `json:"vm"`
	ID    ident.UpstreamID   `json:"id"`
	Born  ident.Born         `json:"born_ms,omitempty"`
	// Loss distinguishes several losses of one life.
	Loss fleet.LossNumber `json:"loss,omitempty"`
	// AgeMs is the age of the run when the upstream was last heard, in milliseconds.
	AgeMs int64 `json:"after_ms"`
	// MaxAgeMs is the highest possible age of the run, in milliseconds; zero means that it is not much above AgeMs.
	MaxAgeMs int64 `json:"until_ms,omitempty"`
	// WithAgent: the agent was lost too.
	WithAgent bool `json:"with_agent,omitempty"`
	// Agent is the agent that had the run.
	Agent ident.Incarnation `json:"agent,omitempty"`
	Alone bool              `json:"alone,omitempty"`
	Sole  bool              `json:"sole,omitempty"`
}

// NewRow encodes a crash, without the job of its task.
func NewRow(c fleet.Crash) Row {
	return Row{
		Step: c.Task.Step, Index: c.Task.Index, VM: c.VM, ID: c.Life.ID, Born: c.Life.Born, Loss: c.Loss,
		AgeMs: c.Age.Milliseconds(), MaxAgeMs: c.MaxAge.Milliseconds(), Alone: c.Alone, Sole: c.OnlyTask,
		WithAgent: c.WithAgent, Agent: c.Agent,
	}
}

// Crash decodes the crash of a task of the given job.
func (r Row) Crash(id job.ID) fleet.Crash {
	return fleet.Crash{
		Task: job.TaskID{Job: id, Step: r.Step, Index: r.Index}, VM: r.VM, Life: ident.UpstreamLife{ID: r.ID, Born: r.Born},
		Loss: r.Loss, Age: time.Duration(r.AgeMs) * time.Millisecond, MaxAge: time.Duration(r.MaxAgeMs) * time.Millisecond,
		Alone: r.Alone, OnlyTask: r.Sole, WithAgent: r.WithAgent, Agent: r.Agent,
	}
}
