// Package node is the control part of an entry. One control goroutine owns the dispatch table, the kept jobs (those whose state
// is stored) and the links that agents open to the entry.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/loop"
	"hillreel/internal/core/route"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/cancels"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/peer"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/owner"
	"hillreel/internal/link/links"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// Node is the control part of one entry.
type Node struct {
	set    *settings.Settings
	log    *logrus.Entry
	inc    ident.Incarnation
	loop   *loop.Loop
	decode Decoder
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	// storeCtx ends when the entry stops waiting for the answers to State and Cancel calls that read the store.
	storeCtx       context.Context
	cancelStoreCtx context.CancelFunc
	store          jobstore.Store
	jobWriter      *jobstore.Writer
	reader         *jobstore.Reader
	// peerClient asks the other entries. refusalQueries bounds the queries about jobs that are to be refused.
	peerClient     *peer.Client
	refusalQueries *rate.Limiter
	// started is when the process started.
	started time.Time

	// Only the control goroutine uses the fields from here to pulse.
	table    *dispatch.Table
	keptJobs *owner.Owner
	links    *links.Set[linkState]
	// callers holds, for each caller that still waits, the channel for its answer.
	callers map[dispatch.CallerID]chan dispatch.Answer
	// cancels remembers the jobs that were cancelled a short time ago.
	cancels *cancels.Jobs
	// closing is true once CloseAll has answered all waiting callers.
	closing bool
	// peers lists all entries; peersVersion is incremented when the list changes.
	peers        []fleet.Entry
	peersVersion int
	// peerGoneAt is when an entry was last removed from peers.
	peerGoneAt time.Time
	// tombstones tells whether tombstones that this entry has written are to be deleted.
	tombstones jobstore.SweepWindow
	// cordons holds the zones that operators have cordoned, as far as this entry knows.
	cordons *cordon.Set
	pulse   links.PauseDetector

	routes  atomic.Pointer[route.Table]
	lastID  atomic.Uint64
	linked  atomic.Int32
	leaving atomic.Bool
	// follows reports whether this entry has current copies of the store's tables that agents need. It relies on the store's last answers.
	follows func() bool
}

// link is the session with one agent.
type link = links.Link[linkState]

// linkState is the entry's own state of a link.
type linkState struct {
	// pinged is when the last keep-alive was sent.
	pinged time.Time
	// clock is the newest reading of the agent's clock; keep-alives echo it. Zero means that the agent has not sent one yet.
	clock time.Duration
	// peersVersion is the peersVersion of the newest list of entries sent to the agent.
	peersVersion int
}

// New returns a Node that is not started. d decodes configurations that agents pass on; observer is told of the table's decisions.
func New(set *settings.Settings, store jobstore.Store, d Decoder, observer dispatch.Observer, log *logrus.Entry) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	storeCtx, cancelStoreCtx := context.WithCancel(ctx)
	n := &Node{
		ctx: ctx, cancel: cancel, storeCtx: storeCtx, cancelStoreCtx: cancelStoreCtx, store: store, set: set, log: log, inc: ident.NewIncarnation(), loop: loop.New(), decode: d,
		links:   links.New[linkState]("agent", cordon.NewPeer, log),
		pulse:   links.PauseDetector{MaxGap: set.Links.Silence / 2, MaxRunningGap: set.Links.Silence / 4, Interval: set.Links.Tick, OnTick: recordTickDelay, Log: log},
		callers: make(map[dispatch.CallerID]chan dispatch.Answer), cancels: cancels.New(), cordons: cordon.NewSet(nil),
		follows: func() bool { return false }, started: boottime.Now(), refusalQueries: rate.NewLimiter(maxRefusalQueries, refusalQueryBurst),
	}
	options := dispatch.Options{
		Timing: set.Links.Timing(), Zone: ident.Zone(set.Node.Zone), MaxQueue: set.Entry.QueueLimit, MaxTasks: set.Entry.MaxTasks,
		AgentLinks: set.Links.Entries, ClaimFrom: set.Entry.ClaimFrom, RemoteFactor: set.Entry.RemoteFactor,
		RestoreTime: set.Entry.RestoreTime,
	}
	n.table = dispatch.New(options, (*sender)(n), (*answerer)(n), observer, rand.Uint64())
	n.keptJobs = n.newKeptJobs(store)
	n.peerClient = newPeerClient(set, n)
	n.table.SetKeeper(n.keptJobs)
	return n
}

// Start listens for links and starts the control goroutine.
func (n *Node) Start(context.Context) error {
	ln, err := net.Listen("tcp", string(n.set.Node.Link))
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	n.ln = ln
	n.pulse.Tick(boottime.Now())
	go n.loop.Run(n.set.Links.Tick, n.handle, n.tick)
	go n.accept()
	go n.sweep()
	return nil
}

// SetFollows sets the function that reports whether this entry has current copies of the store's tables that agents need.
// It must be called before Start.
func (n *Node) SetFollows(f func() bool) { n.follows = f }

// Address returns the address on which the node listens for links. The node must be started.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Incarnation returns the id of this incarnation of the entry's process.
func (n *Node) Incarnation() ident.Incarnation { return n.inc }

// Stop closes all links and stops the node at once, without draining.
func (n *Node) Stop() {
	if n.ln != nil {
		n.ln.Close() //nolint:errcheck // the listener is closed only here
	}
	n.cancel()
	n.peerClient.Close()
	n.jobWriter.Stop()
	n.loop.Call(n.links.Close)
	n.loop.Stop()
}

// The events that the control goroutine handles.
type (
	linkUp struct{ session *session.Session }
	// linkDown reports the end of a session. The agent may already have a newer session.
	linkDown struct {
		session *session.Session
		err     error
	}
	// received carries the messages of one frame of a session.
	received struct {
		session *session.Session
		msgs    []*wire.Msg
	}
	// submitted carries a request and the channel for its answer.
	submitted struct {
		request dispatch.Request
		answer  chan dispatch.Answer
		// gone is closed when the caller's context ends.
		gone <-chan struct{}
	}
	// abandoned reports that a caller's context ended before it was answered.
	abandoned struct {
		job    job.ID
		caller dispatch.CallerID
	}
	// configured carries a configuration. from is the agent that passed it on, or zero for the store.
	configured struct {
		table *route.Table
		from  ident.Incarnation
	}
	// entriesListed carries all entries.
	entriesListed struct{ entries []fleet.Entry }
	// cordonsRead carries the cordons that the store lists.
	cordonsRead struct{ snapshot cordon.Snapshot }
)

// callerGone reports whether the caller has gone while its request waited for the control goroutine.
func (e *submitted) callerGone() bool {
	select {
	case <-e.gone:
		return true
	default:
		return false
	}
}

// submit submits a job to keptJobs if it must be kept, else to the dispatch table. A request whose caller has gone is dropped:
// the caller may have sent the job to another entry, and two entries must not run it at the same time. A request for a job that
// was cancelled a short time ago is answered at once.
func (n *Node) submit(now time.Time, e submitted) {
	if e.callerGone() {
		n.log.WithFields(logrus.Fields{"job": e.request.Job, "request": e.request.RequestID}).Info("request_dropped")
		return
	}
	n.callers[e.request.Caller] = e.answer
	switch {
	case n.cancels.Has(now, e.request.Job):
		n.log.WithFields(logrus.Fields{"job": e.request.Job, "request": e.request.RequestID}).Info("request_cancelled_before")
		(*answerer)(n).Answer(e.request.Caller, cancelledBefore)
	case !n.mustKeep(&e.request):
		n.table.Submit(now, e.request)
	case n.closing:
		// The store would answer too late. The job may still have been accepted by an earlier request.
		(*answerer)(n).Answer(e.request.Caller, dispatch.EntryLeaving)
	default:
		n.keptJobs.Submit(now, e.request)
	}
}

// handle handles one event. It runs on the control goroutine.
func (n *Node) handle(e loop.Event) {
	now := n.pulse.CatchUp(n.tick)
	if isFromNetwork(e) {
		n.table.RecordContact(now)
	}
	switch e := e.(type) {
	case linkUp:
		n.handleLinkUp(now, e.session)
	case linkDown:
		n.handleLinkDown(now, e.session, e.err)
	case received:
		n.links.Receive(now, e.session, e.msgs, func(l *link, m *wire.Msg) { n.handleMessage(now, l, m) })
	case submitted:
		n.table.RecordCallerContact(now)
		n.submit(now, e)
	case abandoned:
		delete(n.callers, e.caller)
		n.keptJobs.Abandon(e.job, e.caller)
		n.table.Abandon(now, e.job, e.caller)
	case configured:
		n.handleConfigured(e.table, e.from)
	case entriesListed:
		n.handleEntries(e.entries)
	case cordonsRead:
		n.adoptCordons(now, e.snapshot, "store")
	default:
		n.handleKept(now, e)
	}
}

// isFromNetwork reports whether an event proves that agents or callers can reach the entry. The abandoned event is no proof:
// it may come from this VM alone.
func isFromNetwork(e loop.Event) bool {
	switch e.(type) {
	case linkUp, received, submitted:
		return true
	}
	return false
}

// tick does the periodic work: it expires jobs and silent links, and sends keep-alives and lists of entries.
func (n *Node) tick() {
	now := boottime.Now()
	n.pulse.Tick(now)
	n.keptJobs.Tick(now)
	n.table.Tick(now)
	for _, l := range n.links.DropSilent(now, n.pulse.RunningSince, links.Limits{LinkTimeout: n.set.Links.LinkTimeout(), Silence: n.set.Links.Silence}) {
		n.unlinked(now, l)
	}
	for l := range n.links.All() {
		if now.Sub(l.State.pinged) >= n.set.Links.KeepAlive {
			n.ping(now, l)
		}
	}
	n.sendPeersToSome()
}

// Submit submits a job and waits for its answer. When ctx ends first, the job's caller counts as gone, and Submit returns
// ctx's error. It returns another error when the node stops.
func (n *Node) Submit(ctx context.Context, r dispatch.Request) (dispatch.Answer, error) {
	answer, caller := n.newCaller()
	r.Caller = caller
	if !n.loop.Post(submitted{r, answer, ctx.Done()}) {
		return dispatch.Answer{}, errStopped
	}
	a, err := n.await(ctx, r.Job, caller, answer)
	if err != nil || !n.mustKeep(&r) || a.State != verdict.Refused || a.Reason != verdict.Overloaded {
		return a, err
	}
	return n.confirmRefusal(ctx, r, a), nil
}

// newCaller returns a new caller id and the channel for the caller's answer.
func (n *Node) newCaller() (chan dispatch.Answer, dispatch.CallerID) {
	return make(chan dispatch.Answer, 1), dispatch.CallerID(n.lastID.Add(1))
}

// await waits for a caller's answer until ctx ends or the node stops. When ctx ends, it posts abandoned.
func (n *Node) await(ctx context.Context, id job.ID, c dispatch.CallerID, answer chan dispatch.Answer) (dispatch.Answer, error) {
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		n.loop.Post(abandoned{id, c})
		return dispatch.Answer{}, ctx.Err()
	case <-n.ctx.Done():
		return dispatch.Answer{}, errStopped
	}
}

// call runs f on the control goroutine and waits for its return. After the node has stopped, call does nothing.
func (n *Node) call(f func(now time.Time)) {
	n.loop.Call(func() {
		f(n.pulse.CatchUp(n.tick))
	})
}

// UpstreamsReady returns the number of upstreams that accept work now.
func (n *Node) UpstreamsReady() (count int) {
	n.loop.Call(func() { count = n.table.Ready() })
	return count
}

// Upstreams lists the upstreams whose agents are linked.
func (n *Node) Upstreams() (out []dispatch.Upstream) {
	n.loop.Call(func() { out = n.table.Upstreams() })
	return out
}

// Zones lists the state of each availability zone in which this entry knows upstreams.
func (n *Node) Zones() (out []dispatch.ZoneStatus) {
	n.loop.Call(func() { out = n.table.Zones() })
	return out
}

// Claims returns what was sent and received about claims for room.
func (n *Node) Claims() (out dispatch.ClaimCounts) {
	n.loop.Call(func() { out = n.table.ClaimCounts() })
	return out
}

// NearWaits counts the tasks that have waited for room near their data although there was room elsewhere.
func (n *Node) NearWaits() (count int64) {
	n.loop.Call(func() { count = n.table.NearWaits() })
	return count
}

// SetAllowed replaces the function that decides which services an upstream may serve.
func (n *Node) SetAllowed(f dispatch.Allowed) { n.loop.Post(func() { n.table.SetAllowed(f) }) }

// NotBegun returns how many jobs of a queue have not begun. It counts other entries' jobs by their latest reports.
func (n *Node) NotBegun(r route.Name) (count int) {
	n.loop.Call(func() { count = n.table.NotBegun(r) + n.keptJobs.NotBegun(r) })
	return count
}

// Ready reports whether the entry wants new connections, and why.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.leaving.Load():
		return false, "leaving"
	case n.routes.Load() == nil:
		return false, "no configuration yet"
	case n.linked.Load() == 0:
		return false, "no agent is linked"
	}
	return true, "ready"
}

// Leave makes the entry unready. Requests that still arrive are served.
func (n *Node) Leave() { n.leaving.Store(true) }

// CloseAll answers all callers that wait. From then on, each new request is answered at once, because the entry is about to
// stop. A job to be kept may be stored even if its caller was told that the entry leaves.
func (n *Node) CloseAll() {
	n.cancelStoreCtx()
	n.call(func(now time.Time) {
		n.closing = true
		n.log.WithField("callers", len(n.callers)).Info("requests_closed")
		n.table.CloseAll(now)
		for c := range n.callers {
			(*answerer)(n).Answer(c, dispatch.EntryLeaving)
		}
	})
}

// storeContext returns a context for a call to the store. It ends with ctx, or when CloseAll is called.
func (n *Node) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.storeCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// HandOver releases the entry's lease on its kept jobs, so that other entries can take them over at once.
func (n *Node) HandOver() { n.call(n.keptJobs.ReleaseLease) }

// Unanswered returns the number of jobs with callers that wait.
func (n *Node) Unanswered() (count int) {
	n.loop.Call(func() { count = n.table.Unanswered() })
	return count
}

// answerer sends answers to the callers that wait.
type answerer Node

// Answer answers one caller. It does nothing if the caller has gone.
func (a *answerer) Answer(c dispatch.CallerID, answer dispatch.Answer) {
	if waiting := a.callers[c]; waiting != nil {
		waiting <- answer
		delete(a.callers, c)
	}
}
