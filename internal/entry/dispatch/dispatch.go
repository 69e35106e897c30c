// Package dispatch keeps an entry's jobs and places their tasks on upstreams. It is a state machine without
// I/O and without a clock of its own; one goroutine uses it.
//
// The entry that holds a caller's connection acts for the job. Nothing is kept elsewhere: when the entry is
// lost, agents stop its runs, and the caller sends the job again.
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
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/demand"
	"hillreel/internal/entry/holders"
	"hillreel/internal/entry/queue"
	"hillreel/internal/entry/unconfirmed"
)

// CallerID names one request of a caller that waits for an answer.
type CallerID uint64

// Request is a job as a caller submits it.
type Request struct {
	Job  job.ID
	Spec *job.Spec
	// Route is the queue's configuration when the request came.
	Route  route.Route
	Caller CallerID
	// Sender is the caller's own id of the request, for the log; it may be empty.
	RequestID string
	// Deadline is when the caller stops waiting; zero is never.
	Deadline time.Time
	// Kept is nil for a job that ends with its entry. For others it is what is known of the job; no caller waits, and the
	// Keeper hears of its ends.
	Kept *KeptState
}

// Kept is what is known of a job that outlives entries, as it begins here.
type KeptState struct {
	// Done are the tasks that have ended well, Failures counts the failed runs of others.
	Done     map[job.TaskID]bool
	Failures map[job.TaskID]int
	// Crashes are of tasks that upstreams were lost under.
	Crashes []fleet.Crash
	// Checkpoints are what runs have saved.
	Checkpoints map[job.TaskID]string
	// Late: the job was taken over from another entry, and can't be in time any more.
	Late bool
	// Runs is the highest number of a run that an earlier entry may have used.
	LastRun job.Run
}

// Keeper keeps jobs that outlive entries.
type Keeper interface {
	// RunEnded is called when a run has ended well or has failed: the upstream remembers it until it is noted.
	RunEnded(now time.Time, agent ident.Incarnation, e fleet.End)
	// RunLost is called when a run was at an agent that is out of hearing: it may have ended well there, unheard. The task
	// is placed again by PlaceAgain.
	RunLost(now time.Time, r fleet.RunRef)
	// Crashed is called when an upstream was lost under a task of a kept job that is held, ahead of its run's end.
	Crashed(now time.Time, c fleet.Crash)
	// Refuted is called when a life that was taken for lost has answered since.
	Refuted(now time.Time, r fleet.Refutation)
	// JobEnded is called once a job has ended.
	JobEnded(now time.Time, j job.ID, a Answer)
	// Superseded is called when another entry is at the job.
	Superseded(now time.Time, j job.ID)
}

// Answer is the final word on a request.
type Answer struct {
	State   verdict.State
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// RetryAfter is when to come back, with a refusal.
	RetryAfter time.Duration
}

// Agents sends to agents.
type Agents interface {
	Order(agent ident.Incarnation, o fleet.Order)
	// Stop asks for the end of a run: nobody wants it any more, or, with fleet.Moved, its task is to go elsewhere.
	Stop(agent ident.Incarnation, r fleet.OrderedRun, why fleet.Reason)
	// Crashes tells all agents of tasks that upstreams were lost under.
	SendCrashes(all []fleet.Crash)
	// Holding tells an agent, for its other entries, which jobs this entry has held for long.
	AnnounceHeld(agent ident.Incarnation, jobs []job.ID)
	// Release asks for a job that another entry holds, which the agent passes on if that is linked.
	RequestRelease(agent ident.Incarnation, id job.ID, holder ident.Incarnation)
	// Released tells an agent, for the entry that takes a job over, that nothing of it remains.
	SendReleased(agent ident.Incarnation, r fleet.Released)
}

// Callers answers callers.
type Callers interface {
	Answer(c CallerID, a Answer)
}

// Observer is told of decisions, for logs and metrics.
type Observer interface {
	// Taken is called when a job is taken.
	Taken(r *Request)
	// Placed is called for each order.
	Placed(j job.ID, agent ident.UpstreamName, o *fleet.Order, waited time.Duration)
	// Ended is called for each end of a run that this entry ordered.
	Ended(agent ident.UpstreamName, e fleet.End, next string)
	// Answered is called once for each job.
	Answered(j job.ID, r *route.Route, a Answer, s Summary)
	// StopsAsked is called when runs of a job are to be stopped.
	StopsRequested(s Stops)
	// CameAgain is called for a request of a job that is held.
	Resubmitted(r *Request, h HeldJob)
	// OutOfTouch is called when the entry has heard nothing for so long that its callers may have gone unheard, with how many jobs are given up.
	OutOfTouch(silent time.Duration, jobs int)
	// Belated is called for a request that waits for the end of its connection, which may come right behind it.
	Belated(r *Request)
	// TakenOver is called when a job is asked for that another entry holds, or is given up to one that asks.
	TakeoverChanged(id job.ID, other ident.Incarnation, waited time.Duration, event TakeoverEvent)
	// AgentChanged is called when the session with an agent ends or goes on while runs of this entry are there, and when
	// those runs are settled; runs is how many the event is about.
	AgentChanged(agent ident.UpstreamName, runs int, event AgentEvent)
}

// AgentEvent is what becomes of the runs at an agent whose session has ended.
type AgentEvent string

// The events of agents.
const (
	// AgentLost: the session has ended; the runs may go on.
	AgentLost AgentEvent = "agent_lost"
	// AgentResumed: the agent is linked again, and the runs go on.
	AgentResumed AgentEvent = "agent_resumed"
	// AgentSettled: nothing of the runs remains, and their tasks may be placed again.
	AgentSettled AgentEvent = "agent_settled"
)

// Allowed tells whether configuration lets an upstream serve a service.
type Allowed func(ident.UpstreamName, ident.Zone, ident.Service) bool

// Summary is what a job's answer rests on.
type Summary struct {
	// Took is the time since the job was submitted, Waited until its first task was placed.
	Took, Waited time.Duration
	Objective    time.Duration
	// Sender is the newest caller's own id of the request.
	RequestID string
	// Tasks is the number of tasks, Runs that of their runs, Failures that of the failed ones.
	Tasks, Runs, Failures int
	// Longest is the run time of the longest task.
	Longest time.Duration
	// Blamed are the upstreams that failed, stalled or lost a run.
	Blamed []ident.UpstreamID
	// SentBefore: it was taken for one that its caller had sent before, and went behind others.
	Resent bool
	// Queued is the number of jobs that waited for room when the answer was given.
	Queued int
	// Room is what a refused job could have had when it was refused; it is empty for others.
	Room RoomLeft
}

// RoomLeft is the room that an entry knows of for a job that it refuses. It tells overload from room that is there and
// can't be used.
type RoomLeft struct {
	// Wants is what a task of the job's widest step asks for, in thousandths of a core; Tasks is how many of them wait.
	TaskCPU int64
	Tasks   int
	// Ready counts the upstreams that take work, Fits how many more such tasks they have room for together.
	Ready, Fits int
	// Closed is how many upstreams this entry has closed for tasks that may have crashed others.
	Closed int
}

// Options are the settings of a Table.
type Options struct {
	Timing fleet.Timing
	// Zone is this entry's availability zone.
	Zone ident.Zone
	// MaxQueue bounds the jobs that wait for room; more are refused.
	MaxQueue int
	// MaxTasks bounds one job.
	MaxTasks int
	// AgentLinks is to how many entries an agent links at most; zero is all.
	AgentLinks int
	// Without leaves out safety rules, for experiments only.
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
	// queued lists the queues in the order in which they were made, so that runs repeat.
	queueList []*queue.Queue[*jobState]
	agents    map[ident.Incarnation]*agentState
	// order lists the agents in the order in which they were linked, so that runs repeat.
	agentList []*agentState
	// began is when Tick was called first, ticked when it was last. The process last stood still from stoodFrom until woke.
	firstTick, lastTick, pausedFrom, pausedUntil time.Time
	// pressure is how much more than what fits was lately asked for.
	pressure demand.Pressure
	// patient tells which callers have sent their job before.
	resends *demand.ResendDetector
	// crashes is what is known of the tasks that upstreams were lost under.
	crashes *crash.Tracker
	// alone are the runs that upstreams are closed for; entries is how many entries share the upstreams, one at least.
	exclusive []exclusiveRun
	entries   int
	// doubts are runs that were lost with their agents.
	unconfirmed unconfirmed.Crashes
	// paces are those of the agents that are linked, sorted; pace is their median, 1 while none is known.
	paces []float64
	pace  float64
	// fresh is true while there are tasks to place for which no agent was looked at yet.
	unplaced bool
	// lost counts the agents that were linked and are not.
	lostAgents int
	// allowed tells whether configuration lets an upstream serve a service.
	allowed Allowed
	// cordoned are the availability zones that operators have cordoned, gated counts by zone the orders that agents have refused
	// for that reason.
	cordoned       []ident.Zone
	cordonRefusals map[ident.Zone]int64
	// touch says whether the entry is in touch, belated are requests that came soon after it was not.
	contact contact
	belated []belatedRequest
	// elsewhere is which jobs other entries hold; releases are the jobs that they were asked to give up, owed the answers to such questions
	// of others that wait for the end of runs.
	holders  *holders.Registry
	releases map[job.ID]*releaseRequest
	replies  map[job.ID][]releaseReply
	// relay counts the messages that agents were asked to pass on.
	nextRelay int
	// closing is true once the entry is about to end.
	closing bool
	// ordered is the id of the newest run.
	lastRunID fleet.RunID
	// stopped are the runs that stops were sent for, until the observer is told.
	unreportedStops []RunAt
}

// New returns an empty Table. The seed makes runs repeatable.
func New(o Options, a Agents, c Callers, ob Observer, seed uint64) *Table {
	return &Table{
		opts: o, agentsIO: a, callers: c, observer: ob, rng: rand.New(rand.NewPCG(seed, 0)),
		jobs: make(map[job.ID]*jobState), queues: make(map[ident.Service]*queue.Queue[*jobState]),
		agents: make(map[ident.Incarnation]*agentState), pace: 1, entries: 1, resends: demand.NewResendDetector(), crashes: crash.New(o.Without), cordonRefusals: make(map[ident.Zone]int64),
		holders: holders.New(), releases: make(map[job.ID]*releaseRequest), replies: make(map[job.ID][]releaseReply),
		allowed: func(ident.UpstreamName, ident.Zone, ident.Service) bool { return true },
	}
}

// SetKeeper sets who keeps the jobs that outlive this entry; before that, none may be submitted.
func (t *Table) SetKeeper(k Keeper) { t.keeper = k }

// SetAllowed replaces what configuration lets upstreams serve.
func (t *Table) SetAllowed(f Allowed) { t.allowed = f }

// SetEntries says how many entries share the upstreams, this one included.
func (t *Table) SetEntries(n int) { t.entries = max(1, n) }

// Pace is the median of the upstreams' paces; zero is unknown.
func (t *Table) Pace() float64 { return t.pace }

// Jobs returns how many jobs are held, those that are only being stopped included.
func (t *Table) Jobs() int { return len(t.jobs) }

// Held tells whether a job waits for its answer.
func (t *Table) Held(id job.ID) bool {
	j := t.jobs[id]
	return j != nil && j.hasWaitingCallers() || t.isBelated(id)
}

// awaited tells whether callers wait for the job's answer, or for that of its successor.
func (j *jobState) hasWaitingCallers() bool { return !j.ending || len(j.resubmitted) > 0 }

// Unanswered returns how many jobs have callers that wait.
func (t *Table) Unanswered() int {
	n := len(t.belated)
	for _, j := range t.jobs {
		if j.hasWaitingCallers() {
			n++
		}
	}
	return n
}

// NotBegun counts a queue's jobs none of whose tasks has begun.
func (t *Table) NotBegun(r route.Name) int { return t.Waiting()[r] }

// Waiting counts the jobs that have not begun, by queue.
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
