package fleet

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Crash records that an upstream was lost while a task ran on it. Any of the tasks that ran there may have caused the loss, or none.
type Crash struct {
	Task job.TaskID
	// VM is the upstream's VM; Life is the life of the upstream that was lost.
	VM   ident.UpstreamName
	Life ident.UpstreamLife
	// Loss distinguishes several losses of one life. It is zero if the age of the run is unknown, because the life was
	// lost together with its agent.
	Loss LossNumber
	// Age is the age of the task's run when the upstream was last heard.
	Age time.Duration
	// MaxAge is the highest possible age of the run, if its agent was paused in between or was lost too. Zero means that the age exceeds
	// Age by no more than the time that timely requests and answers leave open.
	MaxAge time.Duration
	// WithAgent: the agent was lost too, and an entry tells of the crash. Whole VMs are lost for more causes than upstreams are.
	WithAgent bool
	// Agent is the agent that had the run, if an entry tells of the crash; zero otherwise. While that agent lives, it tells of its upstream's
	// losses itself.
	Agent ident.Incarnation
	// Alone: nothing else was started on the upstream shortly before the task or since.
	Alone bool
	// OnlyTask: the task was alone, and no older task remained on the upstream.
	OnlyTask bool
}

// Bystander is an upstream that was up when a task was started on another one. If it is gone too when the start is found without an end,
// something has taken more than the task's upstream.
type Bystander struct {
	VM   ident.UpstreamName
	Life ident.UpstreamLife
}

// LossNumber rises with each loss of a life: a life that was merely unreachable may be lost again. It is the time of the loss in Unix
// milliseconds.
type LossNumber int64

// Refutation says that a life which was taken for lost has answered.
type Refutation struct {
	Life ident.UpstreamLife
	// UpTo is the newest loss that is refuted, together with all earlier ones.
	UpTo LossNumber
}
