// Package fleet defines the messages between entries and agents about upstreams and runs.
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
	// Ready: the upstream takes tasks that fit its free capacity.
	Ready State = "ready"
	// Probing: the upstream has failed or stalled too often; it takes one task from the receiver as a probe.
	Probing State = "probing"
	// Suspect: as Probing, but it takes no probe now, or none from the receiver.
	Suspect State = "suspect"
	// Leaving: the upstream or its agent ends soon.
	Leaving State = "leaving"
	// Clearing: the agent does not know all runs on the upstream yet.
	Clearing State = "clearing"
	// Unreachable: the agent gets no answer from its upstream.
	Unreachable State = "unreachable"
	// Cordoned: operators have cordoned the upstream's availability zone. Runs on it continue.
	Cordoned State = "cordoned"
)

// Accepts reports whether a task may be offered to an upstream in this state.
func (s State) Accepts() bool { return s == Ready || s == Probing }

// RunsKnown reports whether, in this state, the agent knows all that runs on the upstream.
func (s State) RunsKnown() bool { return s.Accepts() || s == Cordoned }

// Upstream describes the upstream next to an agent.
type Upstream struct {
	ID ident.UpstreamID
	// Born distinguishes the lives that have the same ID. It is zero if it is not known.
	Born    ident.Born
	Service ident.Service
	Labels  []job.Label
	Total   job.Resources
}

// Life returns the present life of the upstream.
func (u *Upstream) Life() ident.UpstreamLife { return ident.UpstreamLife{ID: u.ID, Born: u.Born} }

// HasLabel reports whether the upstream has a label. Every upstream has the empty label.
func (u *Upstream) HasLabel(l job.Label) bool {
	return l == "" || slices.Contains(u.Labels, l)
}

// Room is the free capacity of an upstream.
type Room struct {
	Free job.Resources
	// Seq is the sequence number of the newest Order of the receiver's session that Free accounts for.
	Seq uint64
	// Clock is the reading of the agent's monotonic clock when it sent the message.
	Clock time.Duration
	State State
	// Pace is the recent ratio of run times to their estimates; zero is unknown.
	Pace float64
	// Suspects are the receiver's runs of tasks that were started alone because they may crash upstreams.
	Suspects []SuspectRun
	// Reserved is the part of Free that the agent reserves for the receiver's claim for a short time. Nobody else can take it meanwhile.
	Reserved job.Resources
}

// SuspectRun tells how far the run of a task has come that may crash its upstream. The entry needs it if the agent does not live to report
// the loss of the upstream.
type SuspectRun struct {
	RunRef
	// Age is how old the run was when the upstream last answered.
	Age time.Duration
	// Alone: nothing else was started on the upstream shortly before the run or since.
	Alone bool
	// OnlyRun: the run is alone, and no older run remains on the upstream.
	OnlyRun bool
}

// slowFactor is the multiple of the median pace above which an upstream is slow. The paces of sound upstreams differ by half.
const slowFactor = 1.7

// Slow reports whether pace marks an upstream as slow, given the median pace of all upstreams. A pace or a median of zero is unknown.
func Slow(pace, median float64) bool { return median > 0 && pace > slowFactor*median }

// Order asks an agent to start tasks of one step of a job.
type Order struct {
	// Seq numbers the orders of one session, starting at 1.
	Seq      uint64
	Job      job.ID
	Step     uint32
	Spec     string
	Each     job.Resources
	Estimate time.Duration
	// Kept: the ends of the runs must be stored before the upstream may forget them.
	Kept bool
	// RemoteFactor is how many times as long the runs take at this upstream as near the step's data; zero means 1.
	RemoteFactor float64
	Tasks        []TaskRun
}

// TaskRun is one task in an Order.
type TaskRun struct {
	Index uint32
	Run   job.Run
	// ID distinguishes the run from all other runs that the entry has ordered.
	ID RunID
	// Failures is the number of failed runs of the job so far. If it is zero, a failure says more about the upstream.
	Failures uint32
	// Stalls is the number of earlier runs that were stopped because they made no progress: of the task or, if its step has stalled at several
	// upstreams, of the task of the step that has stalled most often. If it is not zero, a further stall says more about the task.
	Stalls uint32
	// Checkpoint is the state that an earlier run saved; empty is none.
	Checkpoint string
	// AloneFor is how long after the task's start nothing else may be started on the upstream; zero means that the task need not be alone.
	// An order with such a task has no other tasks.
	AloneFor time.Duration
}

// maxRemoteFactor is the highest factor that an order may state; the settings allow no higher one.
const maxRemoteFactor = 100

// RunTime returns how long a run of the order should take on an upstream of pace 1: the estimate, times the RemoteFactor. A factor below
// 1, which is none, counts as 1.
func (o *Order) RunTime() time.Duration {
	if !(o.RemoteFactor > 1) { // also if it is not a number
		return o.Estimate
	}
	return time.Duration(min(o.RemoteFactor, maxRemoteFactor) * float64(o.Estimate))
}

// Task returns the ID of the order's task at index i.
func (o *Order) Task(i int) job.TaskID {
	return job.TaskID{Job: o.Job, Step: o.Step, Index: o.Tasks[i].Index}
}

// RunRef names one run on an upstream. If a job is sent again, its run numbers start at 1 again, so between entries and agents only an
// OrderedRun is unique.
type RunRef struct {
	Task job.TaskID
	Run  job.Run
}

// RunID names one run among all runs that an entry's process has ordered; the process never uses it again. When a job is given up and
// started again, the new run has the same task and number as the old one. The RunID keeps a delayed message about the old run from being
// taken for a message about the new run. Zero is none.
type RunID uint64

// OrderedRun names one run between the entry that has ordered it and the agent.
type OrderedRun struct {
	RunRef
	ID RunID
}

// Progress reports how far a run on a slow upstream has come.
type Progress struct {
	OrderedRun
	// Left is the time that the run still needs at the upstream's present pace.
	Left time.Duration
}

// End reports how a run ended.
type End struct {
	Task job.TaskID
	Run  job.Run
	// ID is the ID that the order gave the run.
	ID      RunID
	Outcome job.Outcome
	// Took is how long the run took; zero if it never ran.
	Took       time.Duration
	Checkpoint string
	// Reason explains an outcome that the task itself did not cause.
	Reason Reason
	// Kept: the upstream keeps the end until it is acknowledged as stored.
	Kept bool
}

// Reason says in one word why a run did not end by itself.
type Reason string

// The reasons.
const (
	NoRoom       Reason = "no_room"
	NotAccepting Reason = "not_accepting"
	// ZoneCordoned: operators have cordoned the upstream's availability zone, and the run was not started.
	ZoneCordoned Reason = "zone_cordoned"
	StaleSession Reason = "stale_session"
	Refused      Reason = "upstream_refused"
	NeverArrived Reason = "never_arrived"
	LeaseLapsed  Reason = "lease_lapsed"
	UpstreamGone Reason = "upstream_gone"
	NoProgress   Reason = "no_progress"
	OnRequest    Reason = "on_request"
	// Moved: the upstream has become slow, and the task will finish earlier on another upstream.
	Moved         Reason = "moved"
	NotListed     Reason = "not_listed"
	AgentSilent   Reason = "agent_silent"
	AgentReplaced Reason = "agent_replaced"
	// Superseded: another entry has ordered the same task, so the job's caller has gone to that entry.
	Superseded Reason = "superseded"
)

// Timing holds the times that make it safe to place a task again. Entries and agents of a region share the same values.
type Timing struct {
	// Silence is how long an agent keeps an entry's runs without hearing from the entry.
	Silence time.Duration
	// Lease is how long an upstream keeps its runs without hearing from its agent, by the upstream's clock.
	Lease time.Duration
	// StopBudget is how long an agent tries to stop a run before it lets the lease of all runs lapse.
	StopBudget time.Duration
	// KeepAlive is the longest pause between two messages on a session.
	KeepAlive time.Duration
}

// MaxClockRatio is the most by which a time on an upstream's slow clock can last longer than the true time: the platform allows a
// deviation of 2%.
const MaxClockRatio = 1.02

const (
	// killTime is the time that an upstream needs to kill a lapsed run: the stop_ms that all known deployments use.
	killTime = 50 * time.Millisecond
	// TimerMargin is the most by which all timers that SettleAfter adds up may fire late, in total.
	TimerMargin = 50 * time.Millisecond
)

// SettleAfter returns the time after which no run of an entry remains on an upstream, counted from when the entry last heard the agent's
// clock.
func (t Timing) SettleAfter() time.Duration { return t.Silence + t.StopBound() }

// StopBound returns the time within which an unwanted run has ended, counted from when its agent began to stop it.
func (t Timing) StopBound() time.Duration {
	return t.StopBudget + LeaseBound(t.Lease) + killTime + TimerMargin
}

// LeaseBound returns how long a lease can last by a true clock.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * MaxClockRatio)
}
