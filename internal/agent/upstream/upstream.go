// Package upstream keeps an agent's account of the upstream beside it: which runs are there, what room is
// left, and which entries still want their runs. It is a state machine without I/O and without a clock of its
// own; one goroutine uses it.
//
// Only the agent starts tasks on its upstream, so its account decides whether a task fits. A run that is being
// stopped, or whose start got no answer, counts as there until the upstream has said otherwise.
package upstream

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/ends"
	"hillreel/internal/agent/health"
	"hillreel/internal/agent/lease"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/owners"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Entries sends to the entries that are linked.
type Entries interface {
	Upstream(to ident.Incarnation, u fleet.Upstream)
	Room(to ident.Incarnation, r fleet.Room)
	End(to ident.Incarnation, e fleet.End)
	// Resumed tells which runs of the entry's earlier session go on.
	Resumed(to ident.Incarnation, runs []fleet.OrderedRun)
	// Progress tells how the entry's runs get on while the upstream is slow.
	Progress(to ident.Incarnation, runs []fleet.Progress)
	// Asked tells that all ends which a question is about have been told.
	EndsSent(to ident.Incarnation, number uint64)
	Settled(to ident.Incarnation)
	// Holding tells which jobs another entry has held for long.
	Holding(to, holder ident.Incarnation, jobs []job.ID)
	// Release asks the holder of a job to give it up.
	Release(t fleet.Takeover)
	// Released tells the entry that takes a job over that nothing of it remains.
	Released(r fleet.Released)
	// Lost tells all entries that an upstream was lost that runs were at, ahead of their ends.
	UpstreamLost(l Loss)
	// Refuted tells all entries that a life has answered which was told as lost.
	LossRefuted(r fleet.Refutation)
}

// Observer is told of what changes the agent's beliefs, for logs and metrics.
type Observer interface {
	// Ended is called once for each run that an entry has ordered.
	RunEnded(e Ending)
	// State is called when the state told to entries changes, with what decided it.
	StateChanged(from, to fleet.State, why string)
	// Orphaned is called when the runs of a lost entry are stopped; late is how long ago its silence had lasted for Timing.Silence, zero if
	// it has not.
	RunsOrphaned(owner ident.Incarnation, runs int, why string, late time.Duration)
	// Unconfirmed is called when a link with an entry has ended, with the ends of which it isn't known whether the entry has heard.
	EndsUnconfirmed(owner ident.Incarnation, ends []fleet.End)
	// Lapsed is called when the agent takes the lease of all runs for lapsed; late is for how long it surely was.
	LeaseLapsed(late time.Duration)
	// Outlived is called when a heartbeat came of a life that another has followed.
	HeartbeatOutlived(life, by ident.UpstreamLife)
	// Unsure is called when a start got no answer.
	StartUnsure(task job.TaskID, run job.Run)
	// Begun is called when a life of the upstream is taken up, with what told of it. described is false if no heartbeat of it has come.
	LifeBegun(life ident.UpstreamLife, why string, described bool)
	// Dropped is called for a heartbeat whose number is below newest, that of the newest one.
	HeartbeatDropped(b lives.Heartbeat, newest uint64)
	// Gated is called when an order is refused because the zone is cordoned.
	OrderGated(task job.TaskID, entry ident.Incarnation)
	// Lost is called when an upstream is lost that runs were at.
	UpstreamLost(l Loss)
	// Stray is called when the upstream lists a run that nobody here has ordered, which is then stopped, and when that has gone.
	StrayChanged(r fleet.RunRef, event StrayEvent)
	// Overtaken is called for a listing whose clock is older than that of one taken in before.
	ListingOvertaken()
}

// StrayEvent is what becomes of a run that nobody here has ordered.
type StrayEvent string

// The events of strays.
const (
	StrayFound StrayEvent = "stray_found"
	StrayGone  StrayEvent = "stray_gone"
)

// Keeper is the account of one upstream.
type Controller struct {
	timing   fleet.Timing
	without  rule.Set
	caller   Caller
	entries  Entries
	observer Observer
	start    time.Time

	// life is the upstream's present life, or the last one; known is false while there is none. What the account has of its upstream
	// (numbers, clock, runs) is of that life alone.
	life    ident.UpstreamLife
	hasLife bool
	// up describes the upstream. It is that of an earlier life while described is false: no heartbeat of this one has come, and it
	// may be of another kind.
	info      fleet.Upstream
	described bool
	// roomHeard is true once a heartbeat of the present life has told its room to this process.
	roomReported bool
	// began is when the present life, or the last one, was taken up.
	lifeBegan time.Time
	// lives has the other lives that were heard of.
	lives *lives.Tracker
	// sequence is the newest heartbeat's number.
	lastSequence uint64
	// draining: this life of the upstream ends soon; departed: a word that it has ended came, perhaps a former life's; leaving: the
	// agent ends.
	draining, saidEnded, leaving bool

	// zone says whether operators have cordoned the VM's availability zone.
	zone ZoneState
	// owners says which entries hold jobs, and which may not order their tasks any more.
	owners *owners.Registry

	lease lease.Lease
	// shared: the life before had the same id, so that calls to it may have reached this one.
	sharedID bool
	// fence is the token from which on calls are of the present life's account.
	minToken call.Token
	ends     ends.Tracker
	// given are runs of kept jobs that were given up before their ends were listed.
	finishedUnlisted map[fleet.RunRef]bool
	// quietUntil is until when an earlier agent's lease may live: before, ends that it has left are not acknowledged.
	noAckUntil time.Time

	// looked is false until a hold of this life was answered: before, it isn't known what runs.
	runsKnown bool
	// holding is true while a hold is under way, looking while a look is; after a failure, none is made before holdAt or lookAt.
	holding, looking       bool
	nextHoldAt, nextLookAt time.Time
	// listed is the upstream's clock in the newest answer that was taken in: answers overtake each other.
	listedClock call.Clock
	// failures counts the holds in a row that got no answer; answered is when the last one was made that got one.
	failedHolds        int
	answeredHoldSentAt time.Time
	// heardAt is when the present life has answered last, whatever it was asked.
	lastAnswerAt time.Time
	// livedAt is when it surely lived last: earlier, where its answer may have waited while this process stood still.
	lastAliveAt time.Time
	// questions are those of entries that wait until nothing of the jobs in question runs here.
	endsQueries []endsQuery
	// strays are runs at the upstream that nobody here ordered, with when a stop of each was answered; zero is not yet.
	strays map[fleet.RunRef]time.Time

	runs map[job.TaskID]*run
	// aloneRun is the run that is alone, aloneOrder the order that is to be; each nil if there is none.
	aloneRun   *run
	aloneOrder *aloneOrder
	// lost refutes the loss that was told last, should its life answer.
	lastLoss fleet.Refutation

	sessions map[ident.Incarnation]*session
	// order lists the sessions from the oldest on, so that runs of the state machine repeat.
	sessionOrder []*session
	health       health.Health
	// coldUntil is until when the upstream is slow from its start, as it has said; cold is whether it was when time passed last.
	coldUntil time.Time
	cold      bool
	// idleSince is when a run ended last.
	idleSince time.Time
	// median is the median of all upstreams' paces, as an entry told it last; slowTold is when entries were told last
	// how runs get on while this one is slow.
	medianPace     float64
	progressSentAt time.Time
	// newsAt is when an entry was told of room in its turn; turn is the place in order of the next one.
	roomTurnAt time.Time
	roomTurn   int
	// told is the state that entries were told last.
	announcedState fleet.State
}

// phase is where a run stands.
type phase string

const (
	// starting: the start has no answer yet.
	starting phase = "starting"
	// unsure: the start got no answer, so that the run may be there.
	unsure phase = "unsure"
	// running: the upstream has taken the start, or lists the run.
	running phase = "running"
)

// run is one run at the upstream.
type run struct {
	task      job.TaskID
	number    job.Run
	id        fleet.RunID
	owner     ident.Incarnation
	epoch     uint64
	spec      string
	resources job.Resources
	estimate  time.Duration
	// earlier counts failures of the job before this run.
	priorFailures uint32
	checkpoint    string
	kept          bool
	// alone is for how long after its start nothing else is started.
	aloneFor time.Duration

	phase     phase
	startedAt time.Time
	// sure is from when on a hold that does not list the run proves that it is not there.
	provableFrom time.Time

	// percent is how much of its work is done, advanced when that last grew.
	percent    int
	progressAt time.Time

	// listed: the upstream's present life has listed it; carried: it was ordered of a former life under the same id, and may be at
	// either.
	listed, fromFormerLife bool
	// stop is nil until the run is to be stopped.
	stop *stopState
	// next waits for this run's end: the same task, ordered anew.
	successor *pendingOrder
}

// ref names the run to the upstream.
func (r *run) ref() fleet.RunRef { return fleet.RunRef{Task: r.task, Run: r.number} }

// ordered names the run to its owner.
func (r *run) ordered() fleet.OrderedRun { return fleet.OrderedRun{RunRef: r.ref(), ID: r.id} }

// stopping says why and since when a run is being stopped.
type stopState struct {
	outcome job.Outcome
	reason  fleet.Reason
	cause   StopCause
	// asked is when the stop began, since from when on the run was to be stopped as urgently as it is, sent when a stop call was made last.
	askedAt, urgentSince, sentAt time.Time
	// calling is true while a stop call is under way.
	inFlight bool
	// acked is when one was answered first; zero is not yet.
	ackedAt time.Time
	// unwanted is true when the caller may send the job elsewhere, because it or its entry has gone: then the run
	// must end soon, whatever it takes.
	unwanted bool
}

// waiting is an order for a task that still runs here for somebody else.
type pendingOrder struct {
	owner ident.Incarnation
	epoch uint64
	order fleet.Order
	index int
	// ready: its task was to be started alone, and now can be.
	readyAlone bool
}

// ordered names the run that waits to its owner.
func (w *pendingOrder) ordered() fleet.OrderedRun {
	t := w.order.Tasks[w.index]
	return fleet.OrderedRun{RunRef: fleet.RunRef{Task: w.order.Task(w.index), Run: t.Run}, ID: t.ID}
}

// Caller makes calls to the upstream. Each is answered later by StartDone, StopDone or HoldDone.
type Caller interface {
	Start(c call.Start)
	Stop(c call.Stop)
	Hold(c call.Hold)
}

// New returns a Keeper that knows nothing yet. without leaves out safety rules, for experiments only.
func New(t fleet.Timing, without rule.Set, now time.Time, c Caller, e Entries, o Observer) *Controller {
	return &Controller{
		timing: t, without: without, caller: c, entries: e, observer: o, start: now, lease: lease.New(t.Lease, now), lives: lives.New(),
		strays:           make(map[fleet.RunRef]time.Time),
		finishedUnlisted: make(map[fleet.RunRef]bool),
		runs:             make(map[job.TaskID]*run),
		sessions:         make(map[ident.Incarnation]*session),
		announcedState:   fleet.Clearing,
		zone:             ZoneOpen,
		owners:           owners.New(),
	}
}

// uptime is the agent's steady clock.
func (k *Controller) uptime(now time.Time) time.Duration { return now.Sub(k.start) }

// header returns what every call made now carries.
func (k *Controller) header(now time.Time) call.Header {
	return call.Header{Instance: k.life.ID, Born: k.life.Born, Token: k.lease.Token(), Sent: now}
}

// Runs returns how many runs are, or may be, at the upstream.
func (k *Controller) RunCount() int { return len(k.runs) }

// Leave makes the agent take no more work.
func (k *Controller) Leave() { k.leaving = true; k.markAllDirty() }

// Known returns what is known of the upstream, and whether a heartbeat of its present life has been heard.
func (k *Controller) Snapshot() (lives.Snapshot, bool) {
	return lives.Snapshot{Upstream: k.info, Born: k.life.Born, Draining: k.draining}, k.hasLife && k.described
}
