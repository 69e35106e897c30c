// Package upstream manages the runs on the upstream beside an agent: which runs are there, what room (free resources) is left, and which
// entries still want their runs. It is a state machine without I/O and without a clock of its own; a single goroutine uses it.
//
// Only the agent starts tasks on its upstream, so the state kept here decides whether a task fits. A run that is being stopped, or whose
// start got no answer, counts as present until the upstream's answers prove that it is not.
package upstream

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/ends"
	"hillreel/internal/agent/health"
	"hillreel/internal/agent/lease"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/owners"
	"hillreel/internal/agent/reservation"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Entries sends messages to the linked entries.
type Entries interface {
	Upstream(to ident.Incarnation, u fleet.Upstream)
	Room(to ident.Incarnation, r fleet.Room)
	End(to ident.Incarnation, e fleet.End)
	// Resumed lists the runs of the entry's earlier session that go on.
	Resumed(to ident.Incarnation, runs []fleet.OrderedRun)
	// Progress reports how long the entry's runs will still take while the upstream is slow.
	Progress(to ident.Incarnation, runs []fleet.Progress)
	// EndsSent says that all ends that a query asked for have been sent.
	EndsSent(to ident.Incarnation, number uint64)
	// Settled says that no run of the entry's earlier sessions remains.
	Settled(to ident.Incarnation)
	// Holding lists jobs that another entry has held for long.
	Holding(to, holder ident.Incarnation, jobs []job.ID)
	// Release asks the holder of a job to give the job up.
	Release(t fleet.Takeover)
	// Released tells the entry that takes a job over that nothing of the job remains here.
	Released(r fleet.Released)
	// UpstreamLost tells all entries that an upstream with runs was lost, before they get the ends of the runs.
	UpstreamLost(l Loss)
	// LossRefuted tells all entries that a life has answered after it was reported as lost.
	LossRefuted(r fleet.Refutation)
}

// Observer is called for decisions and changes of state, for logs and metrics.
type Observer interface {
	// RunEnded is called once for each run that an entry has ordered.
	RunEnded(e Ending)
	// StateChanged is called when the state that is reported to entries changes; why is the fact that decided it.
	StateChanged(from, to fleet.State, why string)
	// RunsOrphaned is called when the runs of a lost entry are stopped. late is how long ago the entry's silence reached Timing.Silence;
	// zero if it has not.
	RunsOrphaned(owner ident.Incarnation, runs int, why string, late time.Duration)
	// EndsUnconfirmed is called when a link with an entry has ended, with the ends that the entry may not have received.
	EndsUnconfirmed(owner ident.Incarnation, ends []fleet.End)
	// LeaseLapsed is called when the agent concludes that the lease of all runs has lapsed; late is how long ago that became certain.
	LeaseLapsed(late time.Duration)
	// HeartbeatOutlived is called when a heartbeat turns out to be from a life that has ended; by is the present life.
	HeartbeatOutlived(life, by ident.UpstreamLife)
	// StartUnsure is called when a start got no answer, or one that doesn't say whether the run was started.
	StartUnsure(task job.TaskID, run job.Run)
	// LifeBegun is called when a life of the upstream becomes the present one; why says how the agent learned of it. described is false
	// if no heartbeat of the life has arrived.
	LifeBegun(life ident.UpstreamLife, why string, described bool)
	// HeartbeatDropped is called for a heartbeat that is ignored because its number is below newest, the highest one received.
	HeartbeatDropped(b lives.Heartbeat, newest uint64)
	// OrderGated is called when an order is refused because the zone is cordoned.
	OrderGated(task job.TaskID, entry ident.Incarnation)
	// UpstreamLost is called when an upstream with runs is lost.
	UpstreamLost(l Loss)
	// StrayChanged is called when the upstream lists a run that the agent has no record of, which is then stopped, and again when that
	// run is gone.
	StrayChanged(r fleet.RunRef, event StrayEvent)
	// ListingOvertaken is called for a listing whose clock is older than that of a listing applied before.
	ListingOvertaken()
}

// StrayEvent is a change of a stray: a run that the agent has no record of.
type StrayEvent string

// The events of strays.
const (
	StrayFound StrayEvent = "stray_found"
	StrayGone  StrayEvent = "stray_gone"
)

// Controller manages the runs on one upstream.
type Controller struct {
	timing fleet.Timing
	// restoreTime is the longest time that the upstream needs to restore a checkpoint.
	restoreTime time.Duration
	without     rule.Set
	caller      Caller
	entries     Entries
	observer    Observer
	start       time.Time

	// life is the upstream's present life, or its last one; hasLife is false while no life is present. All numbers, clock readings and runs
	// kept here belong to that life alone.
	life    ident.UpstreamLife
	hasLife bool
	// info describes the upstream. While described is false, no heartbeat of the present life has arrived, and info is that of an earlier
	// life: the present one may be of another kind.
	info      fleet.Upstream
	described bool
	// roomReported is true once a heartbeat of the present life has reported its room to this process.
	roomReported bool
	// lifeBegan is when life became the present one.
	lifeBegan time.Time
	// lives tracks the known lives other than the present one.
	lives *lives.Tracker
	// lastSequence is the highest number of a heartbeat of the present life.
	lastSequence uint64
	// draining: the present life ends soon. saidEnded: a message has arrived that it has ended, which may be from a former life. leaving:
	// the agent ends.
	draining, saidEnded, leaving bool

	// zone says whether operators have cordoned the VM's availability zone.
	zone ZoneState
	// owners tracks which entries hold jobs, and which may no longer order a job's tasks because another entry has taken the job over.
	owners *owners.Registry

	lease lease.Lease
	// sharedID: the former life had the same id, so that calls for it may have reached the present one.
	sharedID bool
	// minToken is the lowest token of calls for the present life; answers to holds and polls with lower ones are ignored.
	minToken call.Token
	ends     ends.Tracker
	// finishedUnlisted holds runs of kept jobs that were finished before their ends were listed.
	finishedUnlisted map[fleet.RunRef]bool
	// noAckUntil is the time until which the lease of an earlier incarnation of the agent may be in force. Before it, ends that the
	// earlier incarnation has left are not acknowledged.
	noAckUntil time.Time

	// runsKnown is true once the present life has listed what runs.
	runsKnown bool
	// holding is true while a hold is in flight, polling while a poll is. After a failed hold, or one that was answered without a wait, the
	// next hold is not made before nextHoldAt. A failed poll is not repeated before nextPollAt.
	holding, polling       bool
	nextHoldAt, nextPollAt time.Time
	// listedClock is the upstream's clock in the newest listing that was applied: answers may arrive out of order.
	listedClock call.Clock
	// failedHolds counts the consecutive holds without a usable answer. answeredHoldSentAt is when the newest hold or poll that was
	// answered had been sent.
	failedHolds        int
	answeredHoldSentAt time.Time
	// lastAnswerAt is when the last answer of the present life was handled, whatever the call.
	lastAnswerAt time.Time
	// lastAliveAt is when the present life was last certainly alive. It is earlier than lastAnswerAt if the answer may have waited while
	// this process stood still.
	lastAliveAt time.Time
	// endsQueries holds the queries of entries that wait until nothing of the queried jobs runs here.
	endsQueries []endsQuery
	// strays holds the runs at the upstream that the agent has no record of, with the time when a stop of each was answered; zero if none
	// was.
	strays map[fleet.RunRef]time.Time

	runs map[job.TaskID]*run
	// suspects is the number of runs that were started alone. aloneRun is the one that still is alone, aloneOrder the order that waits to be
	// started alone; each is nil if there is none.
	suspects   int
	aloneRun   *run
	aloneOrder *aloneOrder
	// lastLoss identifies the last reported loss, to be refuted if the life answers.
	lastLoss fleet.Refutation

	// claims holds the claims of linked entries, and the room that is reserved for them.
	claims   *reservation.Book
	sessions map[ident.Incarnation]*session
	// sessionOrder lists the sessions from the oldest to the newest, so that the state machine is deterministic.
	sessionOrder []*session
	health       health.Health
	// stalledJobs holds the jobs whose stalls have lately counted as a failure of the upstream, with the time when they did.
	stalledJobs map[job.ID]time.Time
	// coldUntil is when the upstream's warm-up ends, as its heartbeats say. cold is whether it was warming up at the last check.
	coldUntil time.Time
	cold      bool
	// idleSince is when the last run ended.
	idleSince time.Time
	// medianPace is the median of all upstreams' paces, as an entry last reported it. progressSentAt is when progress was last reported
	// to entries.
	medianPace     float64
	progressSentAt time.Time
	// roomTurnAt is when an entry last got a message about room in its turn. The search for the next entry begins at the index roomTurn
	// of sessionOrder.
	roomTurnAt time.Time
	roomTurn   int
	// announcedState is the state that was last reported to entries.
	announcedState fleet.State
}

// phase says what is known of the start of a run.
type phase string

const (
	// starting: the start call has no answer yet.
	starting phase = "starting"
	// unsure: the start call got no answer that says whether the run was started, so that the run may be there.
	unsure phase = "unsure"
	// running: the upstream has accepted the start, or lists the run.
	running phase = "running"
)

// run is the state of one run at the upstream.
type run struct {
	task      job.TaskID
	number    job.Run
	id        fleet.RunID
	owner     ident.Incarnation
	epoch     uint64
	spec      string
	resources job.Resources
	// estimate is how long the run should take at this upstream. It includes the slowdown of a run away from its data, so that such runs
	// don't count in the upstream's pace.
	estimate time.Duration
	// priorFailures counts the failures of the job before this run.
	priorFailures uint32
	// priorStalls counts the earlier runs of the task, or of its step, that were stopped because they made no progress.
	priorStalls uint32
	checkpoint  string
	kept        bool
	// aloneFor is for how long after its start nothing else is started.
	aloneFor time.Duration

	phase     phase
	startedAt time.Time
	// provableFrom is the time from which on the upstream's listings are conclusive: a hold or poll that was sent after it and doesn't
	// list the run proves that the run is not there.
	provableFrom time.Time

	progress
	// restoring is true until the run must have restored its checkpoint, by restoreBy. Its progress says nothing until then.
	restoring bool
	restoreBy time.Time

	// listed: the present life has listed the run. fromFormerLife: the run was ordered under a former life with the same id, and may be
	// at either.
	listed, fromFormerLife bool
	// stop is nil unless the run is to be stopped.
	stop *stopState
	// successor is an order for the same task that waits for the end of this run.
	successor *pendingOrder
}

// ref returns the reference to the run in calls to the upstream.
func (r *run) ref() fleet.RunRef { return fleet.RunRef{Task: r.task, Run: r.number} }

// ordered returns the reference to the run in messages to its owner.
func (r *run) ordered() fleet.OrderedRun { return fleet.OrderedRun{RunRef: r.ref(), ID: r.id} }

// stopState says why and since when a run is being stopped.
type stopState struct {
	outcome job.Outcome
	reason  fleet.Reason
	cause   StopCause
	// askedAt is when the stop began, urgentSince since when the run has been stopped as urgently as now, sentAt when the last stop call
	// was made.
	askedAt, urgentSince, sentAt time.Time
	// inFlight is true while a stop call is in flight.
	inFlight bool
	// ackedAt is when a stop call was first answered; zero if none was.
	ackedAt time.Time
	// unwanted is true if the caller may send the job to another entry, because the caller or its entry is gone. The run must then end
	// within a bounded time, if need be by letting the lease lapse.
	unwanted bool
}

// pendingOrder is an order for one task that is being handled, or that waits: for the end of another run of the task, or to be started
// alone.
type pendingOrder struct {
	owner ident.Incarnation
	epoch uint64
	order fleet.Order
	index int
	// readyAlone: the task was to be started alone, and now it can be.
	readyAlone bool
}

// ordered returns the reference to the ordered run in messages to its owner.
func (p *pendingOrder) ordered() fleet.OrderedRun {
	t := p.order.Tasks[p.index]
	return fleet.OrderedRun{RunRef: fleet.RunRef{Task: p.order.Task(p.index), Run: t.Run}, ID: t.ID}
}

// Caller makes calls to the upstream. The result of each call is passed later to StartDone, StopDone or HoldDone.
type Caller interface {
	Start(c call.Start)
	Stop(c call.Stop)
	Hold(c call.Hold)
}

// New returns a Controller that doesn't know its upstream yet. restoreTime is the longest time that an upstream needs to restore a
// checkpoint. without leaves out safety rules, for experiments only.
func New(t fleet.Timing, restoreTime time.Duration, without rule.Set, now time.Time, c Caller, e Entries, o Observer) *Controller {
	return &Controller{
		timing: t, restoreTime: restoreTime, without: without, caller: c, entries: e, observer: o, start: now, lease: lease.New(t.Lease, now), lives: lives.New(),
		strays:           make(map[fleet.RunRef]time.Time),
		finishedUnlisted: make(map[fleet.RunRef]bool),
		runs:             make(map[job.TaskID]*run),
		sessions:         make(map[ident.Incarnation]*session),
		announcedState:   fleet.Clearing,
		zone:             ZoneOpen,
		owners:           owners.New(),
		claims:           reservation.New(),
	}
}

// uptime returns the agent's steady clock.
func (u *Controller) uptime(now time.Time) time.Duration { return now.Sub(u.start) }

// header returns the header of a call that is made now.
func (u *Controller) header(now time.Time) call.Header {
	return call.Header{Instance: u.life.ID, Born: u.life.Born, Token: u.lease.Token(), Sent: now}
}

// RunCount returns how many runs are, or may be, at the upstream.
func (u *Controller) RunCount() int { return len(u.runs) }

// Leave makes the agent accept no more work.
func (u *Controller) Leave() { u.leaving = true; u.markAllDirty() }

// Snapshot returns what is known of the upstream, and whether a heartbeat of its present life has arrived.
func (u *Controller) Snapshot() (lives.Snapshot, bool) {
	return lives.Snapshot{Upstream: u.info, Born: u.life.Born, Draining: u.draining}, u.hasLife && u.described
}
