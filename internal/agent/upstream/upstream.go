// Package upstream keeps an agent's account of the upstream beside it: which runs are there, what room is
// left, and which entries still want their runs. It is a state machine without I/O and without a clock of its
// own; one goroutine uses it.
//
// Only the agent starts tasks on its upstream, so its account decides whether a task fits. A run that is being
// stopped, or whose start got no answer, counts as there until the upstream has said otherwise.
package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Clock is a reading of the upstream's steady clock, as a time since it started.
type Clock time.Duration

// Token is a fencing token: the upstream does nothing for one lower than the highest that it has seen.
type Token uint64

// Call is what every call to an upstream carries.
type Call struct {
	// Instance is the life of the upstream that is meant.
	Instance ident.UpstreamID
	Token    Token
	// Sent is when the call was made.
	Sent time.Time
}

// StartCall starts one run.
type StartCall struct {
	Call
	Task       job.TaskID
	Run        job.Run
	Spec       string
	Checkpoint string
	// Until is the lease that the start extends to.
	Until Clock
}

// StopCall stops one run, or makes sure that it never starts.
type StopCall struct {
	Call
	Task job.TaskID
	Run  job.Run
}

// HoldCall extends the lease and asks what runs and what has ended.
type HoldCall struct {
	Call
	// Until is the lease; zero leaves it as it is.
	Until Clock
	// Seen acknowledges ends up to this number.
	Seen uint64
	// Wait is how long the upstream may hold the answer back until a run ends.
	Wait time.Duration
	// Look: the call does not wait, and another that does may be under way.
	Look bool
}

// Answer says what a call brought.
type Answer string

// The answers.
const (
	// OK: done.
	OK Answer = "ok"
	// Fenced: the token is too low.
	Fenced Answer = "fenced"
	// Used: the upstream knows this run, or a higher one, as ended.
	Used Answer = "used"
	// Full: the upstream guards its own room and has none.
	Full Answer = "full"
	// Declined: the upstream did nothing, for another reason.
	Declined Answer = "declined"
	// WrongInstance: another life of the upstream answered.
	WrongInstance Answer = "wrong_instance"
	// Unanswered: nothing is known.
	Unanswered Answer = "unanswered"
)

// Listed is a run that the upstream lists as running.
type Listed struct {
	Task       job.TaskID
	Run        job.Run
	Checkpoint string
	// Percent of its work that is done.
	Percent int
}

// Finished is an end that the upstream lists.
type Finished struct {
	// N rises from 1 in each life of the upstream.
	N          uint64
	Task       job.TaskID
	Run        job.Run
	How        How
	Checkpoint string
}

// How says how a run ended at the upstream.
type How string

// The ends that occur.
const (
	HowDone    How = "done"
	HowFailed  How = "failed"
	HowStopped How = "stopped"
	HowLapsed  How = "lapsed"
)

// Held is the result of a HoldCall.
type Held struct {
	Answer   Answer
	Clock    Clock
	Running  []Listed
	Finished []Finished
}

// Caller makes calls to the upstream. Each is answered later by StartDone, StopDone or HoldDone.
type Caller interface {
	Start(c StartCall)
	Stop(c StopCall)
	Hold(c HoldCall)
}

// Entries sends to the entries that are linked.
type Entries interface {
	Upstream(to ident.Incarnation, u fleet.Upstream)
	Room(to ident.Incarnation, r fleet.Room)
	End(to ident.Incarnation, e fleet.End)
	Settled(to ident.Incarnation)
}

// Observer is told of what changes the agent's beliefs, for logs and metrics.
type Observer interface {
	// Ended is called once for each run that an entry has ordered.
	Ended(owner ident.Incarnation, e fleet.End)
	// State is called when the state told to entries changes, with what decided it.
	State(from, to fleet.State, why string)
	// Orphaned is called when the runs of a lost entry are stopped.
	Orphaned(owner ident.Incarnation, runs int, why string)
	// Unsure is called when a start got no answer.
	Unsure(task job.TaskID, run job.Run)
}

// Keeper is the account of one upstream.
type Keeper struct {
	timing   fleet.Timing
	without  rule.Set
	caller   Caller
	entries  Entries
	observer Observer
	start    time.Time

	// up is the upstream's present life; known is false before its first heartbeat.
	up    fleet.Upstream
	known bool
	// past holds earlier lives, whose late heartbeats are ignored.
	past     map[ident.UpstreamID]bool
	sequence uint64
	leaving  bool

	token Token
	seen  uint64
	clock reading
	// until is the latest lease that any call carried.
	until Clock

	// looked is false until a hold of this life was answered: before, it isn't known what runs.
	looked  bool
	holding bool
	looking bool
	holdAt  time.Time
	// listed is the upstream's clock in the newest answer that was taken in: answers overtake each other.
	listed   Clock
	failures int
	// strays are runs at the upstream that nobody here ordered.
	strays map[strayKey]time.Time

	runs     map[job.TaskID]*run
	sessions map[ident.Incarnation]*session
	// order lists the sessions from the oldest on, so that runs of the state machine repeat.
	order  []*session
	health health
	told   fleet.State
}

type strayKey struct {
	task job.TaskID
	run  job.Run
}

// reading is the newest known reading of the upstream's clock.
type reading struct {
	clock Clock
	at    time.Time
}

// phase is where a run stands.
type phase string

const (
	starting phase = "starting"
	unsure   phase = "unsure"
	running  phase = "running"
)

// run is one run at the upstream.
type run struct {
	task     job.TaskID
	number   job.Run
	owner    ident.Incarnation
	epoch    uint64
	spec     string
	each     job.Resources
	estimate time.Duration
	// earlier counts failures of the job before this run.
	earlier    uint32
	checkpoint string

	phase phase
	begun time.Time
	// sure is from when on a hold that does not list the run proves that it is not there.
	sure time.Time

	percent  int
	advanced time.Time
	sampled  bool

	// stop is nil until the run is to be stopped.
	stop *stopping
	// next waits for this run's end: the same task, ordered anew.
	next *waiting
}

// stopping says why and since when a run is being stopped.
type stopping struct {
	outcome job.Outcome
	reason  fleet.Reason
	since   time.Time
	sent    time.Time
	// calling is true while a stop call is under way, acked once one was answered.
	calling, acked bool
	// unwanted is true when the caller may send the job elsewhere, because it or its entry has gone: then the run
	// must end soon, whatever it takes.
	unwanted bool
}

// waiting is an order for a task that still runs here for somebody else.
type waiting struct {
	owner ident.Incarnation
	epoch uint64
	order fleet.Order
	index int
}

// session is what an agent knows of one entry.
type session struct {
	entry  ident.Incarnation
	epoch  uint64
	linked bool
	// echoed is the newest reading of the agent's clock that the entry has returned.
	echoed time.Duration
	// heard is false until the session has returned a reading.
	heard   bool
	seq     uint64
	dirty   bool
	urgent  bool
	sent    time.Time
	settled bool
	unsent  []late
	// ended is when the link ended.
	ended time.Time
}

// late is an end that could not be told yet.
type late struct {
	end fleet.End
	at  time.Time
}

// New returns a Keeper that knows nothing yet. without leaves out safety rules, for experiments only.
func New(t fleet.Timing, without rule.Set, now time.Time, c Caller, e Entries, o Observer) *Keeper {
	return &Keeper{
		timing: t, without: without, caller: c, entries: e, observer: o, start: now,
		past:     make(map[ident.UpstreamID]bool),
		strays:   make(map[strayKey]time.Time),
		runs:     make(map[job.TaskID]*run),
		sessions: make(map[ident.Incarnation]*session),
		told:     fleet.Clearing,
	}
}

// uptime is the agent's steady clock.
func (k *Keeper) uptime(now time.Time) time.Duration { return now.Sub(k.start) }

// upstreamClock is a reading that the upstream's clock has surely passed.
func (k *Keeper) upstreamClock(now time.Time) Clock {
	if k.clock.at.IsZero() {
		return 0
	}
	since := now.Sub(k.clock.at)
	return k.clock.clock + Clock(float64(since)/slowest)
}

// slowest is how much slower than a true clock an upstream's may run; the platform allows 2%.
const slowest = 1.02

// read notes a reading that came with an answer.
func (k *Keeper) read(now time.Time, c Clock) {
	if c > k.upstreamClock(now) {
		k.clock = reading{c, now}
	}
}

// lease returns the lease that a call made now carries.
func (k *Keeper) lease(now time.Time) Clock {
	until := k.upstreamClock(now) + Clock(k.timing.Lease)
	k.until = max(k.until, until)
	return until
}

// call returns what every call made now carries.
func (k *Keeper) call(now time.Time) Call {
	return Call{Instance: k.up.ID, Token: k.token, Sent: now}
}

// bump raises the token, so that calls made before can do nothing from the next answered call on.
func (k *Keeper) bump(now time.Time) {
	k.token = max(k.token+1, Token(time.Duration(k.upstreamClock(now)).Milliseconds()))
}

// Runs returns how many runs are, or may be, at the upstream.
func (k *Keeper) Runs() int { return len(k.runs) }

// Leave makes the agent take no more work.
func (k *Keeper) Leave() { k.leaving = true; k.touchAll() }

// Known returns the upstream and whether it has been heard of.
func (k *Keeper) Known() (fleet.Upstream, bool) { return k.up, k.known }
