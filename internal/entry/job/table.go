// Package job is an entry's control state: the jobs it answers for, the agents and peer entries it knows,
// and the rules by which it runs, adopts, decides and hands over jobs.
//
// A Table is a plain state machine, called by one goroutine. It does no I/O: messages leave through Links,
// callers are answered through Waiter functions, and time comes from Options.Now. docs/DESIGN.md gives the
// rules and what each was weighed against.
package job

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/retention"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/burn"
	"hillreel/internal/link/wire"
	"hillreel/internal/policy/estimate"
	"hillreel/internal/policy/order"
)

// Links sends messages to other processes. A message to a process without a link is dropped.
type Links interface {
	ToAgent(to ident.Incarnation, m *wire.Msg)
	ToPeer(to ident.Incarnation, m *wire.Msg)
}

// Placer chooses among n candidates that have room. load gives tasks per slot, near tells whether the
// candidate is in the entry's own availability zone. It returns -1 for none.
type Placer interface {
	Pick(n int, load func(i int) float64, near func(i int) bool) int
}

// View is what the newest configuration says.
type View interface {
	// Serves tells whether an upstream may serve a service.
	Serves(u ident.UpstreamName, zone ident.Zone, s ident.Service) bool
	// Knows tells whether jobs of a service are taken.
	Knows(s ident.Service) bool
	// MaxTasks bounds a job of a service; zero is no bound of its own.
	MaxTasks(s ident.Service) int
	// Deadline is given to a service's jobs that name none; zero is none.
	Deadline(s ident.Service) time.Duration
	// Quota is a team's weight in sharing the slots; it is positive.
	Quota(team ident.Team) float64
}

// NoView is what holds before any configuration.
var NoView View = anything{}

// anything allows everything.
type anything struct{}

// Serves is always true.
func (anything) Serves(ident.UpstreamName, ident.Zone, ident.Service) bool { return true }

// Knows is always true.
func (anything) Knows(ident.Service) bool { return true }

// MaxTasks is no bound.
func (anything) MaxTasks(ident.Service) int { return 0 }

// Deadline is none.
func (anything) Deadline(ident.Service) time.Duration { return 0 }

// Quota is the same for all.
func (anything) Quota(ident.Team) float64 { return 1 }

// Waiter takes the answer to one request; it is called exactly once.
type Waiter func(a *wire.Answer)

// Options configure a Table. All fields but Omit and Services are needed.
type Options struct {
	Self    ident.Incarnation
	Address ident.Address
	Zone    ident.Zone
	Region  ident.Region
	Signer  *ident.Signer
	// Retention is how long an id is valid from its minting, and how long outcomes are kept.
	Retention time.Duration
	// AnswerWait is how long a caller waits for what can't be resolved now, before it hears so.
	AnswerWait time.Duration
	// SuspectAfter is how long a link may be down before its process leaves new rosters.
	SuspectAfter time.Duration
	// GoneAfter is how long a link may be down before its process counts as gone.
	GoneAfter time.Duration
	// QueueLimit bounds the tasks that wait for an agent; a job that would pass it is refused.
	QueueLimit int
	// AnswerBytes bounds the answers kept for ended jobs; the oldest are dropped first.
	AnswerBytes int
	// Now must never go backwards.
	Now func() time.Time
	// MaxRoster is about how many agents a job's roster names; it bounds what an adopter must seal.
	MaxRoster int
	// Order says which job's tasks are placed first.
	Order order.Policy
	// LongestFirst places a job's tasks in order of their expected run times.
	LongestFirst bool
	// Estimate tells expected run times.
	Estimate *estimate.Estimator
	// MaxWait is the longest that a job may have to wait for its team's share before it begins; one that
	// would wait longer is refused at once.
	MaxWait time.Duration
	// Prefetch is how many tasks beyond its slots an agent may hold.
	Prefetch int
	// Guard keeps work away from upstreams that fail everything or are slow.
	Guard bool
	// Ended is told of every job that this entry ends; it may be nil.
	Ended func(burn.Job)
	// Log gets one event for each job that fails, is adopted, lost or unresolved.
	Log  *logrus.Entry
	Omit rule.Set
}

// Table is the control state of an entry.
type Table struct {
	opt    Options
	links  Links
	placer Placer

	jobs   map[ident.Key]*job
	agents map[ident.Incarnation]*agent
	peers  map[ident.Incarnation]*peer
	// agentList and peerList hold the same in order of first sight, so that a run can be replayed.
	agentList []*agent
	peerList  []*peer
	// rosters holds every roster of the retention, this entry's and its peers'.
	rosters  map[ident.RosterDigest]*roster
	services map[ident.Service]*pool
	// inherited holds what leaving entries handed over to this one.
	inherited map[ident.Incarnation]*inheritance
	// successors says who answers for the ids of an entry that left.
	successors map[ident.Incarnation]ident.Incarnation

	forwards map[uint64]*forward
	requests uint64
	// parked holds requests whose answering entry is not reachable and not yet gone.
	parked []parkedRequest
	// unsettled holds the jobs that have waiters.
	unsettled map[ident.Key]*job
	// blocked holds the jobs that wait for a message of an agent or a peer.
	blocked map[ident.Key]*job
	// wait holds the jobs that have tasks to place.
	wait waitHeap
	// waiting is the number of tasks that these have to place.
	waiting   int
	deadlines deadlineHeap
	acks      map[ident.Incarnation][]*wire.AckItem
	// ids knows which ids are valid, and when to forget a job.
	ids       *retention.Index
	kept      []keptAnswer
	keptBytes int
	seq       uint64
	leaving   bool
	// handedTo is the successor once the hand-over was sent; from then on unlisted own ids are the successor's.
	handedTo ident.Incarnation
	started  time.Time
	view     View
	failures failureRates
	teams    map[ident.Team]*team
	// workDone adds up run times since rateSeen; workRate is what it comes to in a second.
	workDone time.Duration
	workRate float64
	rateSeen time.Time
	// speedSeen is when overdue tasks were last looked for.
	speedSeen time.Time
	counts    Counts
}

// Counts are totals since the start, for expvar and reports.
type Counts struct {
	Jobs, Complete, Failed, Unresolved, Adopted, Inherited, Lost, Forwarded int64
	Starts, Results, Refused, Withdrawals, Records, Seals                   int64
	// Messages counts all messages to and from agents that carry task traffic.
	Messages int64
}

// New returns an empty Table.
func New(opt Options, links Links, placer Placer) *Table {
	t := &Table{
		opt: opt, links: links, placer: placer,
		jobs:       make(map[ident.Key]*job),
		agents:     make(map[ident.Incarnation]*agent),
		peers:      make(map[ident.Incarnation]*peer),
		rosters:    make(map[ident.RosterDigest]*roster),
		services:   make(map[ident.Service]*pool),
		inherited:  make(map[ident.Incarnation]*inheritance),
		successors: make(map[ident.Incarnation]ident.Incarnation),
		forwards:   make(map[uint64]*forward),
		unsettled:  make(map[ident.Key]*job),
		blocked:    make(map[ident.Key]*job),
		acks:       make(map[ident.Incarnation][]*wire.AckItem),
		ids:        retention.New(opt.Retention, opt.Now),
		started:    opt.Now(),
		view:       anything{},
		failures:   make(failureRates),
		teams:      make(map[ident.Team]*team),
		rateSeen:   opt.Now(),
	}
	return t
}

// Counts returns totals since the start.
func (t *Table) Counts() Counts { return t.counts }

// Open counts the jobs that this entry has not ended yet.
func (t *Table) Open() int {
	n := 0
	for _, j := range t.jobs {
		if j.mode != ended && j.mode != lost {
			n++
		}
	}
	return n
}

// Waiting returns how many tasks wait for an agent.
func (t *Table) Waiting() int { return t.waiting }

// Mint returns n fresh ids for a service.
func (t *Table) Mint(service ident.Service, n int) ([]ident.JobID, error) {
	if t.leaving {
		return nil, verdict.New(verdict.NotRun, verdict.Leaving, "this entry is leaving; ask another")
	}
	p := t.services[service]
	ids := make([]ident.JobID, 0, n)
	for range n {
		if p == nil {
			break
		}
		r := p.mintable()
		if r == nil {
			break
		}
		t.seq++
		ids = append(ids, t.opt.Signer.Sign(ident.JobID{
			Key: ident.Key{Owner: t.opt.Self, Seq: t.seq}, MintedMs: t.opt.Now().UnixMilli(),
			Region: t.opt.Region, Owner: t.opt.Address, Service: service, Roster: r.digest,
		}))
	}
	if len(ids) < n {
		return nil, verdict.New(verdict.NotRun, verdict.NoAgents, "no agent serves "+string(service))
	}
	return ids, nil
}

// SetView puts a newer configuration in force.
func (t *Table) SetView(v View) {
	t.view = v
	for _, a := range t.agentList {
		t.allow(a)
	}
	t.updateRosters()
	t.pump()
}

// Tick does what time alone brings: expiry, deadlines, suspicion, answers to callers who waited long enough.
// The entry calls it some twenty times a second.
func (t *Table) Tick() {
	t.forget()
	t.suspect()
	t.passDeadlines()
	t.retryParked()
	t.settleWaiters()
	t.flushAcks()
	t.failHopeless()
	t.watchSpeeds()
	t.measureRate()
	t.pump()
}

// FromAgent takes a message from an agent. What arrives on an older link than the newest is dropped: it
// could free a task that was placed there again since.
func (t *Table) FromAgent(from ident.Incarnation, link uint64, m *wire.Msg) {
	if !t.fromNewestLink(from, link) {
		return
	}
	switch k := m.GetKind().(type) {
	case *wire.Msg_Result:
		t.counts.Messages++
		t.handleResult(from, k.Result)
	case *wire.Msg_Withdrawn:
		t.counts.Messages++
		t.handleWithdrawn(from, k.Withdrawn)
	case *wire.Msg_Sealed:
		t.counts.Messages++
		t.handleSealed(from, k.Sealed)
	case *wire.Msg_Recorded:
		t.counts.Messages++
		t.handleRecorded(k.Recorded)
	case *wire.Msg_Fenced:
		t.counts.Messages++
		t.handleFenced(k.Fenced)
	case *wire.Msg_Expired:
		t.counts.Messages++
		t.handleExpired(from, k.Expired)
	case *wire.Msg_Load:
		t.handleLoad(from, k.Load)
	case *wire.Msg_Leaving:
		t.handleAgentLeaving(from)
	case *wire.Msg_Roster:
		t.handleRoster(k.Roster)
	case *wire.Msg_RosterAck:
		t.handleRosterAck(k.RosterAck)
	}
}

// FromPeer takes a message from another entry.
func (t *Table) FromPeer(from ident.Incarnation, m *wire.Msg) {
	switch k := m.GetKind().(type) {
	case *wire.Msg_Forward:
		t.handleForward(from, k.Forward)
	case *wire.Msg_Reply:
		t.handleReply(from, k.Reply)
	case *wire.Msg_Roster:
		t.handleRoster(k.Roster)
	case *wire.Msg_RosterAsk:
		t.handleRosterAsk(from, k.RosterAsk)
	case *wire.Msg_HandOver:
		t.handleHandOver(from, k.HandOver)
	case *wire.Msg_HandOverAck:
		t.handleHandOverAck(from, k.HandOverAck)
	case *wire.Msg_Successor:
		t.handleSuccessor(k.Successor)
	case *wire.Msg_Leaving:
		t.handlePeerLeaving(from)
	}
}

func (t *Table) toAgent(to ident.Incarnation, m *wire.Msg) {
	t.counts.Messages++
	t.links.ToAgent(to, m)
}
