package fleet

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Crash tells that an upstream was lost while a task ran there. Any of the tasks that ran there may have caused it, or none.
type Crash struct {
	Task job.TaskID
	// VM is the upstream's, Life the life that was lost.
	VM   ident.UpstreamName
	Life ident.UpstreamLife
	// Loss tells the losses of one life apart; it is zero where an entry has found that the life was lost with its agent.
	Loss LossNumber
	// After is how old the task's run was when the upstream was last heard.
	Age time.Duration
	// Until is how old it was at most, where its agent stood still between; zero is as old as questions and answers that are in time leave open.
	MaxAge time.Duration
	// Alone: nothing had been started at the upstream shortly before the task or since.
	Alone bool
	// Sole: it was alone, and nothing else was left there.
	OnlyTask bool
}

// LossNumber rises with each loss of a life: one that was merely out of reach may be lost again. It is the time of day, in Unix milliseconds.
type LossNumber int64

// Refutation says that a life has answered which was taken for lost.
type Refutation struct {
	Life ident.UpstreamLife
	// UpTo is the newest loss that it refutes.
	UpTo LossNumber
}
