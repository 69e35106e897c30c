// Package node is an agent's control part: it keeps the account of the upstream on one control goroutine, makes
// the calls to the upstream, and holds links to all entries or, where there are many, to some of them.
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/config/cordon"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/loop"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/timeout"
	"hillreel/internal/link/links"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// Node is the control part of one agent.
type Node struct {
	set      *settings.Settings
	log      *logrus.Entry
	dial     session.Dialer
	upstream Upstream
	memory   Memory
	inc      ident.Incarnation
	loop     *loop.Loop
	// dials counts the links that were dialled, so that entries can tell newer ones from older ones.
	dialCount atomic.Uint64
	// following is how many entries are linked that read the store's tables that agents need.
	following atomic.Int32
	ctx       context.Context
	cancel    context.CancelFunc

	// The control goroutine owns what follows.
	manager  *upstream.Controller
	observer *observer
	// remembered is what was last given to the memory.
	lastSaved savedState
	// toRemember is what waits to be written there, at most one.
	toSave   chan lives.Snapshot
	patience timeout.Adaptive
	links    *links.Set[linkState]
	// dialled are the entries that are dialled or linked, by address; listed are those that each source listed last, told those that entries did.
	dialled         map[string]*dialTarget
	listed          map[source][]fleet.Entry
	listedByEntries map[ident.Incarnation][]fleet.Entry
	relay           relayedConfig
	// cordons is what is known of the zones that operators have cordoned.
	cordons *cordon.Set
	// crashes is what is known of the tasks that upstreams were lost under.
	crashes *crash.Tracker
	// lostHere are those of this VM's upstreams, to be remembered.
	localCrashes []fleet.Crash
	pulse        links.PauseDetector
	// holdsFail is true while holds get no answer.
	holdsFailing bool
}

// New returns a Node that has not started.
func New(set *settings.Settings, u Upstream, m Memory, dial session.Dialer, log *logrus.Entry) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		set: set, log: log, dial: dial, upstream: u, memory: m, inc: ident.NewIncarnation(), loop: loop.New(), ctx: ctx, cancel: cancel,
		links:           links.New[linkState]("entry", cordon.NewPeerWithoutCordons, log),
		pulse:           links.PauseDetector{MaxGap: set.Links.Silence / 2, MaxRunningGap: set.Links.Silence / 4, Log: log},
		dialled:         make(map[string]*dialTarget),
		listed:          make(map[source][]fleet.Entry),
		listedByEntries: make(map[ident.Incarnation][]fleet.Entry),
		relay:           relayedConfig{config: &wire.Config{}},
		cordons:         cordon.NewSet(nil),
		crashes:         crash.New(nil),
		toSave:          make(chan lives.Snapshot, 1),
		patience:        timeout.New(patienceFactor, minPatience, set.Agent.CallTimeout),
	}
	n.observer = newObserver(set.Links.Timing(), log)
	n.pulse.Interval, n.pulse.OnTick = set.Links.Tick, n.observer.Ticked
	n.pulse.Tick(boottime.Now())
	n.manager = upstream.New(set.Links.Timing(), nil, boottime.Now(), (*caller)(n), (*sender)(n), n.observer)
	n.manager.SetZone(upstream.ZoneUnknown)
	return n
}

// Start starts the control goroutine and dials the seeds.
func (n *Node) Start(context.Context) error {
	go n.loop.Run(n.set.Links.Tick, n.handle, n.tick)
	n.SetSeeds(n.set.Node.Seeds)
	go n.recall()
	go n.writeMemory()
	return nil
}

// Stop ends at once.
func (n *Node) Stop() {
	n.cancel()
	n.loop.Call(n.links.Close)
	n.loop.Stop()
}

// Beat handles a heartbeat of the upstream.
func (n *Node) HandleHeartbeat(b lives.Heartbeat) { n.loop.Post(b) }

// Left handles the upstream's word that it has ended.
func (n *Node) HandleUpstreamLeft(id ident.UpstreamID) { n.loop.Post(upstreamLeft{id}) }

// Leave makes the agent take no more work.
func (n *Node) Leave() { n.loop.Post(func() { n.manager.Leave(); n.manager.Flush(boottime.Now()) }) }

// Runs returns how many runs are, or may be, at the upstream.
func (n *Node) Runs() (count int) {
	n.loop.Call(func() { count = n.manager.RunCount() })
	return count
}

// Ready tells whether the agent has an upstream and an entry.
func (n *Node) Ready() (ok bool, why string) {
	ok, why = false, "stopped"
	n.loop.Call(func() {
		switch _, known := n.manager.Snapshot(); {
		case !known:
			why = "no heartbeat of the upstream yet"
		case n.links.Len() == 0:
			why = "no entry is linked"
		default:
			ok, why = true, "ready"
		}
	})
	return ok, why
}

// The events that the control goroutine handles, beside lives.Beat.
type (
	upstreamLeft struct{ id ident.UpstreamID }
	recalled     struct{ known lives.Snapshot }
	// orderDone carries the end of a start or a stop, and how long its answer took if there was one.
	orderDone struct {
		took, limit time.Duration
		answered    bool
		end         any
	}
	linkUp struct {
		session *session.Session
		address string
	}
	// dialFailed says that an entry's address can't be reached; refused is true when nobody listens there.
	dialFailed struct {
		address string
		refused bool
	}
	linkDown struct {
		session *session.Session
		err     error
	}
	// received carries the messages of one frame.
	received struct {
		session *session.Session
		msgs    []*wire.Msg
	}
	startDone struct {
		call   call.Start
		answer call.Answer
		clock  call.Clock
	}
	stopDone struct {
		call   call.Stop
		answer call.Answer
		clock  call.Clock
	}
	holdDone struct {
		call call.Hold
		held call.HoldResult
		err  error
	}
	// cordonsRead carries what the store says of cordons.
	cordonsRead   struct{ snapshot cordon.Snapshot }
	entriesListed struct {
		by      source
		entries []fleet.Entry
	}
)

// handle handles one event on the control goroutine.
func (n *Node) handle(e loop.Event) {
	now := n.pulse.CatchUp(n.tick)
	switch e := e.(type) {
	case lives.Heartbeat:
		n.manager.Heartbeat(now, e)
	case recalled:
		n.log.WithField("upstream", e.known.Life()).Info("upstream_recalled")
		n.recallCrashes(now, e.known.Crashes)
		n.manager.Recall(now, e.known)
	case upstreamLeft:
		n.log.WithField("upstream", e.id).Info("upstream_left")
		n.manager.UpstreamLeft(now, e.id)
	case linkUp:
		n.handleLinkUp(now, e.session, e.address)
	case dialFailed:
		n.handleDialFailed(now, e.address, e.refused)
	case linkDown:
		n.handleLinkDown(now, e.session, e.err)
	case received:
		n.links.Receive(now, e.session, e.msgs, func(l *link, m *wire.Msg) { n.handleMessage(now, l, m) })
	case orderDone:
		if e.answered {
			n.patience.Observe(e.took)
		} else {
			n.patience.ObserveTimeout(e.limit)
		}
		n.handleOrderDone(now, e.end)
	case holdDone:
		n.logHoldFailure(e.err)
		n.manager.HoldDone(now, e.call, e.held)
	case cordonsRead:
		n.adoptCordons(e.snapshot, "store")
	case entriesListed:
		n.handleListed(e.by, e.entries)
	}
	n.saveLife(now)
	n.manager.Flush(now)
}

// noteLife remembers a life of the upstream that was taken up, that leaves, or whose room has changed, and chooses the entries that want
// its service.
func (n *Node) saveLife(now time.Time) {
	u, known := n.manager.Snapshot()
	u.Crashes = n.localCrashes
	if !known || !n.lastSaved.outdated(now, savedStateOf(now, &u)) {
		return
	}
	began := n.lastSaved.life != u.Life()
	n.queueSave(now, u)
	if began {
		n.chooseEntries()
	}
}

// countFollowing counts the entries that read the store.
func (n *Node) countFollowing() {
	var count int32
	for l := range n.links.All() {
		if l.State.follows {
			count++
		}
	}
	n.following.Store(count)
	if count >= MinFollowingEntries {
		delete(n.listed, store) // it grows old while nobody reads it
	}
}

// Tellers is how many entries must tell what changes in the store, for the agent not to read it: with fewer, as in small regions, it reads as
// well, so that what it knows does not depend on entries that the store may have turned away without their knowing it yet.
const MinFollowingEntries = 6

// Following returns how many of the entries that are linked read the store's tables that agents need, and tell what changes there.
func (n *Node) FollowingEntries() int { return int(n.following.Load()) }

// noteHold logs the first of several holds without an answer: one that is refused says more of the upstream than one that is lost.
func (n *Node) logHoldFailure(err error) {
	if err != nil && !n.holdsFailing {
		n.log.WithField("error", err.Error()).Info("hold_unanswered")
	}
	n.holdsFailing = err != nil
}

// handleOrderDone hands the end of a start or a stop to the keeper.
func (n *Node) handleOrderDone(now time.Time, end any) {
	switch e := end.(type) {
	case startDone:
		n.manager.StartDone(now, e.call, e.answer, e.clock)
	case stopDone:
		n.manager.StopDone(now, e.call, e.answer, e.clock)
	}
}

// tick does what time alone brings about.
func (n *Node) tick() {
	now := boottime.Now()
	n.pulse.Tick(now)
	n.manager.Tick(now)
	for _, l := range n.links.DropSilent(now, n.pulse.RunningSince, links.Limits{LinkTimeout: n.set.Links.LinkTimeout(), Silence: n.set.Links.Silence}) {
		n.manager.EntryUnlinked(now, l.Peer, "silent")
	}
	n.countFollowing()
	n.manager.Flush(now)
}
