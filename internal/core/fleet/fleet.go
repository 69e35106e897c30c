// Package fleet defines what entries and agents tell each other about upstreams and runs.
package fleet

import (
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// State says whether an upstream takes new tasks.
type State string

// The states.
const (
	// Ready: it takes what fits its free room.
	Ready State = "ready"
	// Probing: it has failed or stalled too much; it takes one task of the receiver's to find out more.
	Probing State = "probing"
	// Suspect: as Probing, but not now or not from the receiver.
	Suspect State = "suspect"
	// Leaving: the upstream or its agent ends soon.
	Leaving State = "leaving"
	// Clearing: the agent does not know yet all that runs there.
	Clearing State = "clearing"
	// Unreachable: the agent gets no answer from its upstream.
	Unreachable State = "unreachable"
	// Cordoned: operators have cordoned its availability zone. What runs there goes on.
	Cordoned State = "cordoned"
)

// Accepts tells whether a task may be offered in this state.
func (s State) Accepts() bool { return s == Ready || s == Probing }

// Settled tells whether in this state all that runs at the upstream is known.
func (s State) RunsKnown() bool { return s.Accepts() || s == Cordoned }

// Upstream describes the upstream beside an agent.
type Upstream struct {
	ID      ident.UpstreamID
	Service ident.Service
	Labels  []job.Label
	Total   job.Resources
}

// Has tells whether the upstream carries a label; every upstream carries the empty one.
func (u *Upstream) HasLabel(l job.Label) bool {
	return l == "" || slices.Contains(u.Labels, l)
}

// Room is what an upstream can take now.
type Room struct {
	Free job.Resources
	// Seq is the newest Order of the receiver's session that Free takes into account.
	Seq uint64
	// Clock is the agent's steady clock when it sent this.
	Clock time.Duration
	State State
	// Pace is the recent ratio of run times to estimates; zero is unknown.
	Pace float64
}

// slowFactor times the median of all paces is what makes an upstream slow. Sound ones differ by half.
const slowFactor = 1.7

// Slow tells whether an upstream of a pace is slow beside others; a pace or a median of zero is unknown.
func Slow(pace, median float64) bool { return median > 0 && pace > slowFactor*median }

// Order asks an agent to start tasks of one step.
type Order struct {
	// Seq counts the orders of one session from 1.
	Seq      uint64
	Job      job.ID
	Step     uint32
	Spec     string
	Each     job.Resources
	Estimate time.Duration
	// Kept: the ends of the runs must be noted before the upstream may forget them.
	Kept  bool
	Tasks []TaskRun
}

// TaskRun is one task in an Order.
type TaskRun struct {
	Index uint32
	Run   job.Run
	// ID is the run's own among all that the entry has ordered.
	ID RunID
	// Failures counts the failed runs of the job so far; with none, a failure says more of the upstream.
	Failures uint32
	// Checkpoint is what an earlier run saved; empty is none.
	Checkpoint string
	// Alone is for how long after the task's start nothing else may be started at the upstream; zero is not at all. An order has
	// one such task and no others.
	AloneFor time.Duration
}

// Task returns the id of one task of the order.
func (o *Order) Task(i int) job.TaskID {
	return job.TaskID{Job: o.Job, Step: o.Step, Index: o.Tasks[i].Index}
}

// RunRef names one run at an upstream. Where a job is sent again, numbers begin again from 1: between entries and agents
// only an OrderedRun is certain.
type RunRef struct {
	Task job.TaskID
	Run  job.Run
}

// RunID names one run among all that an entry's process has ordered, and is never used again there. A message about a
// run that was under way while its job was given up and begun anew can't be taken for one about the new run, whose task
// and number are the same. Zero is none.
type RunID uint64

// OrderedRun names one run between the entry that has ordered it and its agent.
type OrderedRun struct {
	RunRef
	ID RunID
}

// Progress tells how a run on a slow upstream gets on.
type Progress struct {
	OrderedRun
	// Left is how long it will still take at the upstream's present pace.
	Left time.Duration
}

// End reports how a run ended.
type End struct {
	Task job.TaskID
	Run  job.Run
	// ID is that of the order.
	ID      RunID
	Outcome job.Outcome
	// Took is how long it ran, zero if it did not.
	Took       time.Duration
	Checkpoint string
	// Reason explains an outcome that is not the task's own.
	Reason Reason
	// Kept: the upstream remembers the end until it is noted.
	Kept bool
}

// Reason says why a run ended otherwise than by itself, in one word.
type Reason string

// The reasons.
const (
	NoRoom       Reason = "no_room"
	NotAccepting Reason = "not_accepting"
	// ZoneCordoned: operators have cordoned the upstream's availability zone, and nothing was begun.
	ZoneCordoned Reason = "zone_cordoned"
	StaleSession Reason = "stale_session"
	Refused      Reason = "upstream_refused"
	NeverArrived Reason = "never_arrived"
	LeaseLapsed  Reason = "lease_lapsed"
	UpstreamGone Reason = "upstream_gone"
	NoProgress   Reason = "no_progress"
	OnRequest    Reason = "on_request"
	// Moved: the upstream has become slow, and the task will sooner be done elsewhere.
	Moved         Reason = "moved"
	NotListed     Reason = "not_listed"
	AgentSilent   Reason = "agent_silent"
	AgentReplaced Reason = "agent_replaced"
	// Superseded: another entry has ordered the same task, so its caller has gone there.
	Superseded Reason = "superseded"
)

// Timing holds the times on which the safety of placing a task again rests. Entries and agents share them.
type Timing struct {
	// Silence is how long an agent keeps an entry's runs without hearing from it.
	Silence time.Duration
	// Lease is how long the upstream keeps runs without hearing from its agent, by its own clock.
	Lease time.Duration
	// StopBudget is how long an agent tries to stop a run before it lets the lease of all lapse.
	StopBudget time.Duration
	// KeepAlive is the longest pause between two messages on a session.
	KeepAlive time.Duration
}

// SlowClock is how much longer a time lasts on an upstream's clock that runs slow: the platform allows 2%.
const MaxClockRatio = 1.02

const (
	// killTime is the upstream's own time to kill a lapsed run: stop_ms on all deployments seen.
	killTime = 50 * time.Millisecond
	// TimerMargin is by how much all timers that SettleAfter rests on may fire late, together.
	TimerMargin = 50 * time.Millisecond
)

// SettleAfter is how long after an entry last heard an agent's clock no run of that entry remains there.
func (t Timing) SettleAfter() time.Duration { return t.Silence + t.StopBound() }

// StoppedWithin is how long after an agent has begun to stop a run that nobody wants any more it is gone.
func (t Timing) StopBound() time.Duration {
	return t.StopBudget + LeaseBound(t.Lease) + killTime + TimerMargin
}

// LeaseBound is how long a lease can last by a true clock.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * MaxClockRatio)
}
