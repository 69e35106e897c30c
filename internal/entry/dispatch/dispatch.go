// Package dispatch holds an entry's jobs and places their tasks on upstreams. It is a state machine: it does no I/O, has no
// clock of its own, and is used by a single goroutine.
//
// The entry that holds a caller's connection is responsible for the job, and its state exists only there. If the entry is
// lost, the agents stop its runs, and the caller submits the job again. Kept jobs are the exception: their state is also
// stored outside this package, so they outlive their entry (see Keeper).
package dispatch

import (
	"math/rand/v2"
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/unconfirmed"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/claim"
	"hillreel/internal/entry/demand"
	"hillreel/internal/entry/holders"
	"hillreel/internal/entry/pace"
	"hillreel/internal/entry/queue"
	"hillreel/internal/entry/shares"
)

// CallerID identifies one request whose caller waits for an answer.
type CallerID uint64

// Request is a job as submitted by a caller.
type Request struct {
	Job  job.ID
	Spec *job.Spec
	// Route is the queue's configuration at the time of the request.
	Route  route.Route
	Caller CallerID
	// RequestID is the id that the caller gave the request. It is used only for logging and may be empty.
	RequestID string
	// Deadline is the time until which the caller waits; the zero time means no limit.
	Deadline time.Time
	// Kept is nil for a job that ends with its entry. For a kept job it holds the stored state. No caller waits for a kept
	// job; its results are reported to the Keeper.
	Kept *KeptState
}

// KeptState is the stored state of a kept job at the time it starts at this entry.
type KeptState struct {
	// Done holds the tasks that have succeeded. Failures counts the failed runs of the other tasks.
	Done     map[job.TaskID]bool
	Failures map[job.TaskID]int
	// Crashes lists the recorded upstream losses during runs of the job's tasks.
	Crashes []fleet.Crash
	// Unconfirmed lists runs of the job's tasks that an earlier entry started and whose ends are not known. Beside lists
	// upstreams that were up when the last of them was started.
	Unconfirmed []fleet.Crash
	Beside      []fleet.Bystander
	// Generation counts the entries that have held the job, this one included.
	Generation uint32
	// Checkpoints holds the newest checkpoint saved for each task.
	Checkpoints map[job.TaskID]string
	// Late is set if the job was taken over from another entry and can no longer meet its objective.
	Late bool
	// LastRun is the highest run number that an earlier entry may have used.
	LastRun job.Run
}

// Keeper stores kept jobs, which outlive their entry.
type Keeper interface {
	// RunEnded is called when a run has succeeded or failed. The upstream remembers the result until it has been stored.
	RunEnded(now time.Time, agent ident.Incarnation, e fleet.End)
	// RunLost is called when a run was lost and the store must be consulted before its task may run again: either its agent
	// is unreachable, so the run may have succeeded there without this entry learning of it, or its crash must be stored
	// first. The Keeper releases the task with PlaceAgain.
	RunLost(now time.Time, r fleet.RunRef)
	// Crashed is called when an upstream was lost while it ran a task of a kept job that this entry holds. The call
	// precedes the one for the end of the run.
	Crashed(now time.Time, c fleet.Crash)
	// KeepUnconfirmed is called when the crashes of a kept job's task that are not confirmed yet have changed. Among them is
	// the one that its present run may cause. beside are upstreams that were up when that run was ordered.
	KeepUnconfirmed(now time.Time, task job.TaskID, unconfirmed []fleet.Crash, beside []fleet.Bystander)
	// Refuted is called when an upstream life that was considered lost has answered after all.
	Refuted(now time.Time, r fleet.Refutation)
	// JobEnded is called once a job has ended.
	JobEnded(now time.Time, j job.ID, a Answer)
	// Superseded is called when another entry has started runs of the job.
	Superseded(now time.Time, j job.ID)
}

// Answer is the final response to a request.
type Answer struct {
	State   verdict.State
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// RetryAfter is set on refusals. It is the time after which the caller may try again.
	RetryAfter time.Duration
}

// Agents sends messages to agents.
type Agents interface {
	Order(agent ident.Incarnation, o fleet.Order)
	// Stop asks an agent to end a run, either because it is no longer wanted or, with fleet.Moved, because its task is to
	// run elsewhere.
	Stop(agent ident.Incarnation, r fleet.OrderedRun, why fleet.Reason)
	// SendCrashes tells all agents which tasks were running when upstreams were lost.
	SendCrashes(all []fleet.Crash)
	// SendUnconfirmed tells an agent of crashes that are not confirmed yet. The agent tells its other entries.
	SendUnconfirmed(agent ident.Incarnation, all []fleet.Crash)
	// SendSuspects reports the runs of suspected tasks that are alone to an agent on another VM. It replaces the former
	// report. The agent tells its other entries of them if the link with this entry ends.
	SendSuspects(agent ident.Incarnation, running []fleet.Crash)
	// AnnounceHeld asks an agent to tell its other entries which jobs this entry has held for a long time.
	AnnounceHeld(agent ident.Incarnation, jobs []job.ID)
	// RequestRelease asks for the release of a job that another entry holds. The agent forwards the request if it is linked
	// to that entry.
	RequestRelease(agent ident.Incarnation, id job.ID, holder ident.Incarnation)
	// SendReleased tells an agent that nothing remains of a job here. The agent forwards this to the entry that takes the
	// job over.
	SendReleased(agent ident.Incarnation, r fleet.Released)
	// Claim asks an agent to reserve room for this entry. It replaces the entry's former claim there.
	Claim(agent ident.Incarnation, c fleet.Claim)
	// SendDemand tells an agent what callers have asked of this entry. The agent tells its other entries.
	SendDemand(agent ident.Incarnation, d fleet.Demand)
}

// Callers delivers answers to callers.
type Callers interface {
	Answer(c CallerID, a Answer)
}

// Observer is notified of decisions, for logging and metrics.
type Observer interface {
	// Taken is called when a new job is taken.
	Taken(r *Request)
	// Placed is called for each order sent to an agent.
	Placed(j job.ID, agent ident.UpstreamName, o *fleet.Order, waited time.Duration)
	// Ended is called for each end of a run that this entry ordered; next names what happens to the task.
	Ended(agent ident.UpstreamName, e fleet.End, next string)
	// Answered is called once for each job.
	Answered(j job.ID, r *route.Route, a Answer, s Summary)
	// StopsRequested is called when runs of a job are to be stopped.
	StopsRequested(s Stops)
	// Resubmitted is called for a request whose job this entry already holds.
	Resubmitted(r *Request, h HeldJob)
	// OutOfTouch is called when the entry has received nothing for so long that disconnected callers may have gone
	// unnoticed. jobs is the number of jobs given up.
	OutOfTouch(silent time.Duration, jobs int)
	// Belated is called for a request that is held back in case the end of its connection follows.
	Belated(r *Request)
	// TakeoverChanged is called for each step of a takeover, both when this entry asks for a job that another entry holds
	// and when it gives one up to another entry.
	TakeoverChanged(id job.ID, other ident.Incarnation, waited time.Duration, event TakeoverEvent)
	// AgentChanged is called when the session with an agent ends or resumes while runs of this entry are there, and when
	// those runs are settled. runs is the number of runs concerned.
	AgentChanged(agent ident.UpstreamName, runs int, event AgentEvent)
	// Waits is called now and then for the task that has waited longest while nothing of its job runs.
	Waits(w Waiting)
	// CutChanged is called when jobs beyond a team's part begin or cease to be refused, at most once a second for each team.
	CutChanged(s shares.Status)
	// DemandDropped is called for a report of an entry's demand that can't be true.
	DemandDropped(now time.Time, entry ident.Incarnation, why error)
}

// AgentEvent tells what happens to the runs at an agent whose session has ended.
type AgentEvent string

// The agent events.
const (
	// AgentLost: the session has ended; the runs may continue.
	AgentLost AgentEvent = "agent_lost"
	// AgentResumed: the agent is linked again, and the runs continue.
	AgentResumed AgentEvent = "agent_resumed"
	// AgentSettled: none of the runs remains, and their tasks may be placed again.
	AgentSettled AgentEvent = "agent_settled"
)

// Allowed reports whether the configuration lets an upstream serve a service.
type Allowed func(ident.UpstreamName, ident.Zone, ident.Service) bool

// Summary describes how a job went, for the log line of its answer.
type Summary struct {
	// Took is the time since the job was submitted. Waited is the part of it before the first task was placed.
	Took, Waited time.Duration
	Objective    time.Duration
	// RequestID is the newest caller's own id of its request.
	RequestID string
	// Tasks is the number of tasks, Runs the number of their runs, and Failures the number of failed runs.
	Tasks, Runs, Failures int
	// Longest is the run time of the longest run.
	Longest time.Duration
	// Blamed lists the upstreams at which a run failed, stalled or was lost.
	Blamed []ident.UpstreamID
	// Resent is set if the job was classified as one that its caller had submitted before. Such a job waits behind the
	// others.
	Resent bool
	// Queued is the number of jobs that were waiting for capacity when the answer was given.
	Queued int
	// RefusedBy tells what decided that the job is refused for lack of capacity; it is empty for other answers.
	RefusedBy RefusalCause
	// Room is the capacity that was known when the job was refused. It is empty for other answers.
	Room RoomLeft
}

// RoomLeft is the capacity that an entry knew of when it refused a job. It distinguishes overload from capacity that exists
// but cannot be used.
type RoomLeft struct {
	// TaskCPU is the CPU that a task of the step with the most waiting tasks requires, in thousandths of a core. Tasks is
	// the number of that step's waiting tasks.
	TaskCPU int64
	Tasks   int
	// Ready counts the upstreams that accept work, Fits how many more such tasks they have capacity for in total.
	Ready, Fits int
	// Closed is the number of upstreams that this entry has closed to other tasks while a suspected task runs there.
	Closed int
}

// Options are the settings of a Table.
type Options struct {
	Timing fleet.Timing
	// Zone is this entry's availability zone.
	Zone ident.Zone
	// MaxQueue limits the number of jobs that wait for capacity; further jobs are refused.
	MaxQueue int
	// MaxTasks limits the number of tasks of one job.
	MaxTasks int
	// AgentLinks is the number of entries that an agent links to at most; zero means all.
	AgentLinks int
	// ClaimFrom is the number of entries from which on this entry claims room for jobs that wait; zero means never.
	ClaimFrom int
	// RemoteFactor is how many times as long a task takes away from its data; zero means 1.
	RemoteFactor float64
	// RestoreTime is the longest time that an upstream needs to restore a task's checkpoint.
	RestoreTime time.Duration
	// Without disables safety rules, for experiments only.
	Without rule.Set
}

// Table holds the jobs of one entry.
type Table struct {
	opts     Options
	agentsIO Agents
	callers  Callers
	observer Observer
	keeper   Keeper
	rng      *rand.Rand

	jobs   map[job.ID]*jobState
	queues map[ident.Service]*queue.Queue[*jobState]
	// queueList lists the queues in order of creation, to make runs reproducible.
	queueList []*queue.Queue[*jobState]
	agents    map[ident.Incarnation]*agentState
	// agentList lists the agents in the order in which they linked, to make runs reproducible.
	agentList []*agentState
	// firstTick and lastTick are the times of the first and the last call of Tick. The process was last paused from
	// pausedFrom until pausedUntil.
	firstTick, lastTick, pausedFrom, pausedUntil time.Time
	// pressure estimates how much recent demand has exceeded capacity.
	pressure demand.Pressure
	// shortAt is when a job of a service that could still be in time last found too little capacity.
	shortAt map[ident.Service]time.Time
	// resends detects callers that have submitted their job before.
	resends *demand.ResendDetector
	// crashes holds the recorded upstream losses and the tasks that were running then.
	crashes *crash.Tracker
	// exclusive lists the runs for which an upstream is closed to other tasks. entries is the number of entries that share
	// the upstreams, at least one.
	exclusive []exclusiveRun
	entries   int
	// witnesses are the agents that were last told of the suspects that run alone.
	witnesses []ident.Incarnation
	// unconfirmed holds runs that were lost together with their agents.
	unconfirmed unconfirmed.Crashes
	// paces holds the paces of the linked agents' upstreams. pace is their median, or 1 if none is known.
	paces *pace.Paces
	pace  float64
	// noRoom tells, while capacity is offered to the jobs of one queue, which tasks have no room.
	noRoom noRoom
	// waitingNear counts, by rack, the tasks that have declined room elsewhere and wait for room near their data. nearWaits counts all such
	// tasks so far.
	waitingNear map[job.Label]int
	nearWaits   int64
	// unplaced is set while there are waiting tasks that have not been checked against all agents yet.
	unplaced bool
	// waitReportedAt is when a waiting task was last looked for to be reported.
	waitReportedAt time.Time
	// lostAgents counts the agents whose session has ended but which are not forgotten yet.
	lostAgents int
	// allowed reports whether the configuration lets an upstream serve a service.
	allowed Allowed
	// cordoned lists the availability zones that operators have cordoned. cordonRefusals counts, by zone, the orders that
	// agents have refused for that reason.
	cordoned       []ident.Zone
	cordonRefusals map[ident.Zone]int64
	// contact tells whether messages from agents and callers arrive. belated holds the requests that are held back because
	// they may have been sent long ago.
	contact contact
	belated []belatedRequest
	// holders tells which jobs other entries hold. releases holds the jobs that those entries were asked to release.
	// replies holds the answers to such requests of other entries, which are sent once the job's runs have ended.
	holders  *holders.Registry
	releases map[job.ID]*releaseRequest
	replies  map[job.ID][]releaseReply
	// nextRelay selects the first of the agents that are asked to forward the next message.
	nextRelay int
	// shares refuses what exceeds the teams' parts. nextDemandRelay selects the first of the agents that pass on the next report of demand.
	shares          *shares.Cut
	nextDemandRelay int
	// claims holds the claims for room for waiting tasks.
	claims claimState
	// closing is set once the entry is about to shut down.
	closing bool
	// lastRunID is the id of the newest run.
	lastRunID fleet.RunID
	// unreportedStops lists the runs for which stops were sent and which have not been reported to the observer yet.
	unreportedStops []RunAt
}

// New returns an empty Table. The seed makes runs reproducible.
func New(o Options, a Agents, c Callers, ob Observer, seed uint64) *Table {
	o.RemoteFactor = max(1, o.RemoteFactor)
	return &Table{
		opts: o, agentsIO: a, callers: c, observer: ob, rng: rand.New(rand.NewPCG(seed, 0)),
		jobs: make(map[job.ID]*jobState), queues: make(map[ident.Service]*queue.Queue[*jobState]),
		agents: make(map[ident.Incarnation]*agentState), paces: pace.New(), pace: 1, waitingNear: make(map[job.Label]int), entries: 1,
		resends: demand.NewResendDetector(), shortAt: make(map[ident.Service]time.Time), crashes: crash.New(o.Without),
		shares: shares.New(), cordonRefusals: make(map[ident.Zone]int64),
		holders: holders.New(), releases: make(map[job.ID]*releaseRequest), replies: make(map[job.ID][]releaseReply),
		claims:  claimState{sets: make(map[ident.Service]*claim.Set)},
		allowed: func(ident.UpstreamName, ident.Zone, ident.Service) bool { return true },
	}
}

// SetKeeper sets the Keeper. It must be called before any kept job is submitted.
func (t *Table) SetKeeper(k Keeper) { t.keeper = k }

// SetAllowed replaces the function that reports which upstreams may serve a service.
func (t *Table) SetAllowed(f Allowed) { t.allowed = f }

// SetEntries sets the number of entries that share the upstreams, including this one.
func (t *Table) SetEntries(n int) { t.entries = max(1, n) }

// Pace returns the median of the upstreams' paces, or 1 if none is known.
func (t *Table) Pace() float64 { return t.pace }

// Jobs returns the number of jobs held, including those whose remaining runs are only being stopped.
func (t *Table) Jobs() int { return len(t.jobs) }

// Held reports whether this entry holds a job without an answer, including one whose request is held back.
func (t *Table) Held(id job.ID) bool {
	j := t.jobs[id]
	return j != nil && j.isUnanswered() || t.isBelated(id)
}

// isUnanswered reports whether the job has no answer yet, or will be started anew because it was resubmitted.
func (j *jobState) isUnanswered() bool { return !j.ending || len(j.resubmitted) > 0 }

// Unanswered returns the number of jobs without an answer, including those whose request is held back.
func (t *Table) Unanswered() int {
	n := len(t.belated)
	for _, j := range t.jobs {
		if j.isUnanswered() {
			n++
		}
	}
	return n
}

// NotBegun counts the jobs of a queue of which no run has started.
func (t *Table) NotBegun(r route.Name) int { return t.Waiting()[r] }

// Waiting counts, by queue, the jobs of which no run has started.
func (t *Table) Waiting() map[route.Name]int {
	out := make(map[route.Name]int)
	for _, j := range t.jobs {
		if !j.begun && !j.ending {
			out[j.route.Name]++
		}
	}
	return out
}

// waitingJobs counts the jobs that have tasks to place.
func (t *Table) waitingJobs() int {
	n := 0
	for _, q := range t.queueList {
		n += q.Len()
	}
	return n
}
