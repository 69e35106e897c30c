package crash

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Row is a crash under a task of a job as rows of the store have it.
type Row struct {
	Step  uint32             `json:"step"`
	Index uint32             `json:"index"`
	VM    ident.UpstreamName `json:"vm"`
	ID    ident.UpstreamID   `json:"id"`
	Born  ident.Born         `json:"born_ms,omitempty"`
	// Loss tells the losses of one life apart.
	Loss fleet.LossNumber `json:"loss,omitempty"`
	// AfterMs is how old the run was when the upstream was last heard.
	AgeMs int64 `json:"after_ms"`
	// UntilMs is how old it was at most, zero if not much older.
	MaxAgeMs int64 `json:"until_ms,omitempty"`
	Alone    bool  `json:"alone,omitempty"`
	Sole     bool  `json:"sole,omitempty"`
}

// RowOf encodes a crash, but for its task's job.
func NewRow(c fleet.Crash) Row {
	return Row{
		Step: c.Task.Step, Index: c.Task.Index, VM: c.VM, ID: c.Life.ID, Born: c.Life.Born, Loss: c.Loss,
		AgeMs: c.Age.Milliseconds(), MaxAgeMs: c.MaxAge.Milliseconds(), Alone: c.Alone, Sole: c.OnlyTask,
	}
}

// Of decodes a crash under a task of a job.
func (r Row) Crash(id job.ID) fleet.Crash {
	return fleet.Crash{
		Task: job.TaskID{Job: id, Step: r.Step, Index: r.Index}, VM: r.VM, Life: ident.UpstreamLife{ID: r.ID, Born: r.Born},
		Loss: r.Loss, Age: time.Duration(r.AgeMs) * time.Millisecond, MaxAge: time.Duration(r.MaxAgeMs) * time.Millisecond, Alone: r.Alone, OnlyTask: r.Sole,
	}
}
