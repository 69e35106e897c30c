// Package node is an entry's control part: it keeps the table of jobs and the book of kept ones on one control goroutine,
// and holds the links that agents open to it.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/loop"
	"hillreel/internal/core/route"
	"hillreel/internal/core/settings"
	"hillreel/internal/entry/dispatch"
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
	// questions is over once no question to the store is waited for any more.
	storeCtx       context.Context
	cancelStoreCtx context.CancelFunc
	jobWriter      *jobstore.Writer
	reader         *jobstore.Reader

	// The control goroutine owns what follows.
	table    *dispatch.Table
	keptJobs *owner.Owner
	links    *links.Set[linkState]
	callers  map[dispatch.CallerID]chan dispatch.Answer
	// closing is true once everybody was given a last answer.
	closing bool
	// peers are all entries, peersNumber counts how often they have changed.
	peers        []fleet.Entry
	peersVersion int
	// cordons is what is known of the zones that operators have cordoned.
	cordons *cordon.Set
	pulse   links.PauseDetector

	routes  atomic.Pointer[route.Table]
	lastID  atomic.Uint64
	linked  atomic.Int32
	leaving atomic.Bool
	// follows tells whether the store's tables that agents need are known here, as far as the store has answered.
	follows func() bool
}

// link is the session with one agent.
type link = links.Link[linkState]

// keepAlive is what lets an agent keep this entry's runs.
type linkState struct {
	// pinged is when the last keep-alive went out.
	pinged time.Time
	// clock is the newest reading of the agent's clock.
	clock time.Duration
	// peersNumber is of the newest list of entries that the agent was told of.
	peersVersion int
}

// New returns a Node that has not started.
func New(set *settings.Settings, store jobstore.Store, d Decoder, observer dispatch.Observer, log *logrus.Entry) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	questions, closeQuestions := context.WithCancel(ctx)
	n := &Node{
		ctx: ctx, cancel: cancel, storeCtx: questions, cancelStoreCtx: closeQuestions, set: set, log: log, inc: ident.NewIncarnation(), loop: loop.New(), decode: d,
		links:   links.New[linkState]("agent", cordon.NewPeer, log),
		pulse:   links.PauseDetector{MaxGap: set.Links.Silence / 2, MaxRunningGap: set.Links.Silence / 4, Interval: set.Links.Tick, OnTick: recordTickDelay, Log: log},
		callers: make(map[dispatch.CallerID]chan dispatch.Answer), cordons: cordon.NewSet(nil),
		follows: func() bool { return false },
	}
	options := dispatch.Options{
		Timing: set.Links.Timing(), Zone: ident.Zone(set.Node.Zone), MaxQueue: set.Entry.QueueLimit, MaxTasks: set.Entry.MaxTasks,
		AgentLinks: set.Links.Entries,
	}
	n.table = dispatch.New(options, (*sender)(n), (*answerer)(n), observer, rand.Uint64())
	n.keptJobs = n.newKeptJobs(store)
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

// SetFollows sets what tells whether the store's tables that agents need are known here, before Start.
func (n *Node) SetFollows(f func() bool) { n.follows = f }

// Address returns where the node listens for links.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Incarnation returns this life of the entry.
func (n *Node) Incarnation() ident.Incarnation { return n.inc }

// Stop ends at once.
func (n *Node) Stop() {
	if n.ln != nil {
		n.ln.Close() //nolint:errcheck // it is closed only here
	}
	n.cancel()
	n.jobWriter.Stop()
	n.loop.Call(n.links.Close)
	n.loop.Stop()
}

// The events that the control goroutine handles.
type (
	linkUp struct{ session *session.Session }
	// linkDown carries the session, since a newer one may have taken its place.
	linkDown struct {
		session *session.Session
		err     error
	}
	// received carries the messages of one frame.
	received struct {
		session *session.Session
		msgs    []*wire.Msg
	}
	submitted struct {
		request dispatch.Request
		answer  chan dispatch.Answer
		// gone is closed once the caller is known to have gone.
		gone <-chan struct{}
	}
	abandoned struct {
		job    job.ID
		caller dispatch.CallerID
	}
	// configured carries a configuration; from is the agent that passed it on, or zero.
	configured struct {
		table *route.Table
		from  ident.Incarnation
	}
	entriesListed struct{ entries []fleet.Entry }
	// cordonsRead carries what the store says of cordons.
	cordonsRead struct{ snapshot cordon.Snapshot }
)

// hasGone tells whether the caller has gone, while its request waited for the control goroutine.
func (e *submitted) callerGone() bool {
	select {
	case <-e.gone:
		return true
	default:
		return false
	}
}

// submit hands a job in, to the book if it is to be kept. One whose caller has gone already begins nothing: it may be with another entry by now.
func (n *Node) submit(now time.Time, e submitted) {
	if e.callerGone() {
		n.log.WithFields(logrus.Fields{"job": e.request.Job, "request": e.request.RequestID}).Info("request_dropped")
		return
	}
	n.callers[e.request.Caller] = e.answer
	switch {
	case !n.mustKeep(&e.request):
		n.table.Submit(now, e.request)
	case n.closing:
		// The store would answer too late; the job may have been accepted when it was sent before.
		(*answerer)(n).Answer(e.request.Caller, dispatch.EntryLeaving)
	default:
		n.keptJobs.Submit(now, e.request)
	}
}

// handle handles one event on the control goroutine.
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

// comesFromOutside tells whether an event shows that the entry can be reached by agents or callers. That a caller has gone may be the word of this VM alone.
func isFromNetwork(e loop.Event) bool {
	switch e.(type) {
	case linkUp, received, submitted:
		return true
	}
	return false
}

// tick does what time alone brings about.
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

// Submit hands a job in, to the book if it is to be kept, and waits for its answer, or until ctx ends: then the caller has
// gone.
func (n *Node) Submit(ctx context.Context, r dispatch.Request) (dispatch.Answer, error) {
	answer, caller := n.newCaller()
	r.Caller = caller
	if !n.loop.Post(submitted{r, answer, ctx.Done()}) {
		return dispatch.Answer{}, errors.New("entry: stopped")
	}
	return n.await(ctx, r.Job, caller, answer)
}

// newCaller returns a caller's id, and where its answer comes.
func (n *Node) newCaller() (chan dispatch.Answer, dispatch.CallerID) {
	return make(chan dispatch.Answer, 1), dispatch.CallerID(n.lastID.Add(1))
}

// await waits for a caller's answer, or until ctx ends.
func (n *Node) await(ctx context.Context, id job.ID, c dispatch.CallerID, answer chan dispatch.Answer) (dispatch.Answer, error) {
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		n.loop.Post(abandoned{id, c})
		return dispatch.Answer{}, ctx.Err()
	case <-n.ctx.Done():
		return dispatch.Answer{}, errors.New("entry: stopped")
	}
}

// call runs f on the control goroutine and waits for it; once the node has stopped it does nothing.
func (n *Node) call(f func(now time.Time)) {
	n.loop.Call(func() {
		f(n.pulse.CatchUp(n.tick))
	})
}

// UpstreamsReady returns how many upstreams take work now.
func (n *Node) UpstreamsReady() (count int) {
	n.loop.Call(func() { count = n.table.Ready() })
	return count
}

// Upstreams lists the upstreams whose agents are linked.
func (n *Node) Upstreams() (out []dispatch.Upstream) {
	n.loop.Call(func() { out = n.table.Upstreams() })
	return out
}

// Zones lists what this entry has in each availability zone.
func (n *Node) Zones() (out []dispatch.ZoneStatus) {
	n.loop.Call(func() { out = n.table.Zones() })
	return out
}

// Allow replaces what configuration lets upstreams serve.
func (n *Node) SetAllowed(f dispatch.Allowed) { n.loop.Post(func() { n.table.SetAllowed(f) }) }

// NotBegun counts a queue's jobs that have not begun, those of other entries as these said last.
func (n *Node) NotBegun(r route.Name) (count int) {
	n.loop.Call(func() { count = n.table.NotBegun(r) + n.keptJobs.NotBegun(r) })
	return count
}

// Ready tells whether the entry wants new connections.
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

// Leave makes the entry unready; what it is sent meanwhile is still served.
func (n *Node) Leave() { n.leaving.Store(true) }

// CloseAll answers everybody who still waits, and whoever comes then at once: the entry is about to end. A job to be kept may
// be stored all the same.
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

// question returns a context for a question to the store, which the entry's end bounds as well.
func (n *Node) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.storeCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// HandOver lets other entries take this one's kept jobs over at once.
func (n *Node) HandOver() { n.call(n.keptJobs.ReleaseLease) }

// Unanswered returns how many jobs have callers that wait.
func (n *Node) Unanswered() (count int) {
	n.loop.Call(func() { count = n.table.Unanswered() })
	return count
}

// answerer hands answers to the callers that wait.
type answerer Node

// Answer answers one caller; one that has gone is passed over.
func (a *answerer) Answer(c dispatch.CallerID, answer dispatch.Answer) {
	if waiting := a.callers[c]; waiting != nil {
		waiting <- answer
		delete(a.callers, c)
	}
}
