// Package node is the control part of an agent. One control goroutine owns the controller of the upstream and the links. The node makes the
// calls to the upstream, and links to all entries or, if there are many, to some of them.
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/reservation"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/agent/witness"
	"hillreel/internal/config/cordon"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/loop"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/timeout"
	"hillreel/internal/core/unconfirmed"
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
	// dialCount counts the hellos sent. Each hello carries its number, so that entries can tell newer sessions from older ones.
	dialCount atomic.Uint64
	// following is the number of linked entries that have current copies of the store's tables that agents need.
	following atomic.Int32
	ctx       context.Context
	cancel    context.CancelFunc

	// Only the control goroutine uses the fields from here on, except that toSave is also read by writeMemory.
	controller *upstream.Controller
	observer   *observer
	// lastSaved is the state that was last queued for the memory.
	lastSaved savedState
	// toSave holds the snapshot that waits to be written to the memory, if there is one.
	toSave chan lives.Snapshot
	// callTimeout is the timeout of start and stop calls, which adapts to the time that they take.
	callTimeout timeout.Adaptive
	links       *links.Set[linkState]
	// dialled holds the entries that are being dialled or are linked, by address.
	dialled map[string]*dialTarget
	// listed holds the entries that the settings and the store listed last, and listedByEntries those that linked entries listed last.
	listed          map[source][]fleet.Entry
	listedByEntries map[ident.Incarnation][]fleet.Entry
	// relay is the configuration to pass on to entries.
	relay relayedConfig
	// cordons holds the zones that operators have cordoned, as far as this agent knows.
	cordons *cordon.Set
	// crashes tracks the tasks that were running at upstreams when they were lost.
	crashes *crash.Tracker
	// unconfirmed holds the crashes that entries have told of and could not confirm yet.
	unconfirmed unconfirmed.Crashes
	// witness holds the runs of suspected tasks on other VMs that entries have reported.
	witness witness.Book
	// localCrashes holds the crashes of this VM's upstreams, which are saved in the memory.
	localCrashes []fleet.Crash
	pulse        links.PauseDetector
	// holdsFailing is true if the last hold call got no answer.
	holdsFailing bool
}

// New returns a Node that is not started. The node calls u, saves its state in m, and links to entries with dial.
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
		callTimeout:     timeout.New(callTimeoutFactor, minCallTimeout, set.Agent.CallTimeout),
	}
	n.observer = newObserver(set.Links.Timing(), log)
	n.pulse.Interval, n.pulse.OnTick = set.Links.Tick, n.observer.Ticked
	n.pulse.Tick(boottime.Now())
	n.controller = upstream.New(set.Links.Timing(), set.Agent.RestoreTime, nil, boottime.Now(), (*caller)(n), (*sender)(n), n.observer)
	n.controller.SetZone(upstream.ZoneUnknown)
	return n
}

// Start starts the control goroutine, dials the seeds, and loads the saved state from the memory.
func (n *Node) Start(context.Context) error {
	go n.loop.Run(n.set.Links.Tick, n.handle, n.tick)
	n.SetSeeds(n.set.Node.Seeds)
	go n.recall()
	go n.writeMemory()
	return nil
}

// Stop closes all links and stops the node at once, without draining.
func (n *Node) Stop() {
	n.cancel()
	n.loop.Call(n.links.Close)
	n.loop.Stop()
}

// HandleHeartbeat handles a heartbeat of the upstream.
func (n *Node) HandleHeartbeat(b lives.Heartbeat) { n.loop.Post(b) }

// HandleUpstreamLeft handles the upstream's message that it has ended.
func (n *Node) HandleUpstreamLeft(id ident.UpstreamID) { n.loop.Post(upstreamLeft{id}) }

// Leave makes the agent refuse new work.
func (n *Node) Leave() {
	n.loop.Post(func() { n.controller.Leave(); n.controller.Flush(boottime.Now()) })
}

// Runs returns the number of runs that are, or may be, at the upstream.
func (n *Node) Runs() (count int) {
	n.loop.Call(func() { count = n.controller.RunCount() })
	return count
}

// Reservations returns what has become of the entries' claims for room.
func (n *Node) Reservations() (out reservation.Counts) {
	n.loop.Call(func() { out = n.controller.ClaimCounts() })
	return out
}

// Ready reports whether the agent knows its upstream and is linked to an entry, and why.
func (n *Node) Ready() (ok bool, why string) {
	ok, why = false, "stopped"
	n.loop.Call(func() {
		switch _, known := n.controller.Snapshot(); {
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

// The events that the control goroutine handles, besides lives.Heartbeat.
type (
	// upstreamLeft reports that the upstream has ended.
	upstreamLeft struct{ id ident.UpstreamID }
	// recalled carries the snapshot that an earlier incarnation of this agent has saved.
	recalled struct{ known lives.Snapshot }
	// orderDone carries the result of a start or stop call. took is how long the call lasted, and limit its timeout; answered tells
	// whether there was an answer. end is a startDone or a stopDone.
	orderDone struct {
		took, limit time.Duration
		answered    bool
		end         any
	}
	// linkUp reports a new session with the entry at an address.
	linkUp struct {
		session *session.Session
		address string
	}
	// dialFailed reports that an entry's address can't be reached. refused is true if no process listens there.
	dialFailed struct {
		address string
		refused bool
	}
	// linkDown reports the end of a session.
	linkDown struct {
		session *session.Session
		err     error
	}
	// received carries the messages of one frame of a session.
	received struct {
		session *session.Session
		msgs    []*wire.Msg
	}
	// startDone carries the result of a start call.
	startDone struct {
		call   call.Start
		answer call.Answer
		clock  call.Clock
	}
	// stopDone carries the result of a stop call.
	stopDone struct {
		call   call.Stop
		answer call.Answer
		clock  call.Clock
	}
	// holdDone carries the result of a hold, a poll, or the query of a claim.
	holdDone struct {
		call call.Hold
		held call.HoldResult
		err  error
	}
	// cordonsRead carries the cordons that the store lists.
	cordonsRead struct{ snapshot cordon.Snapshot }
	// entriesListed carries the entries that a source lists.
	entriesListed struct {
		by      source
		entries []fleet.Entry
	}
)

// handle handles one event. It runs on the control goroutine.
func (n *Node) handle(e loop.Event) {
	now := n.pulse.CatchUp(n.tick)
	switch e := e.(type) {
	case lives.Heartbeat:
		n.controller.Heartbeat(now, e)
	case recalled:
		n.log.WithField("upstream", e.known.Life()).Info("upstream_recalled")
		n.recallCrashes(now, e.known.Crashes)
		n.controller.Recall(now, e.known)
	case upstreamLeft:
		n.log.WithField("upstream", e.id).Info("upstream_left")
		n.controller.UpstreamLeft(now, e.id)
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
			n.callTimeout.Observe(e.took)
		} else {
			n.callTimeout.ObserveTimeout(e.limit)
		}
		n.handleOrderDone(now, e.end)
	case holdDone:
		n.logHoldFailure(e.err)
		n.controller.HoldDone(now, e.call, e.held)
	case cordonsRead:
		n.adoptCordons(e.snapshot, "store")
	case entriesListed:
		n.handleListed(e.by, e.entries)
	}
	n.saveLife(now)
	n.controller.Flush(now)
}

// saveLife queues the state of the upstream to be saved if a new life of the upstream has begun, the upstream is leaving, its room has
// changed, or there is a new crash. When a new life has begun, it also chooses entries anew, since the life may have another service.
func (n *Node) saveLife(now time.Time) {
	u, known := n.controller.Snapshot()
	u.Crashes = n.localCrashes
	if !known || !n.lastSaved.outdated(now, savedStateOf(now, &u)) {
		return
	}
	isNewLife := n.lastSaved.life != u.Life()
	n.queueSave(now, u)
	if isNewLife {
		n.chooseEntries()
	}
}

// countFollowing counts the linked entries that have current copies of the store's tables.
func (n *Node) countFollowing() {
	var count int32
	for l := range n.links.All() {
		if l.State.follows {
			count++
		}
	}
	n.following.Store(count)
	if count >= MinFollowingEntries {
		delete(n.listed, store) // while the agent does not read the store, this list would become outdated
	}
}

// MinFollowingEntries is the number of linked entries that must have current copies of the store's tables so that the agent need not read
// the store. With fewer entries, as in small regions, the agent reads the store too. Otherwise its knowledge would depend on a few entries,
// and the store may have stopped answering them before they notice.
const MinFollowingEntries = 6

// FollowingEntries returns the number of linked entries that have current copies of the store's tables that agents need, and pass on
// the changes.
func (n *Node) FollowingEntries() int { return int(n.following.Load()) }

// logHoldFailure logs the first of several failed hold calls in a row, with its error: a refused call says more about the upstream than a
// lost one.
func (n *Node) logHoldFailure(err error) {
	if err != nil && !n.holdsFailing {
		n.log.WithField("error", err.Error()).Info("hold_unanswered")
	}
	n.holdsFailing = err != nil
}

// handleOrderDone passes the result of a start or stop call to the controller.
func (n *Node) handleOrderDone(now time.Time, end any) {
	switch e := end.(type) {
	case startDone:
		n.controller.StartDone(now, e.call, e.answer, e.clock)
	case stopDone:
		n.controller.StopDone(now, e.call, e.answer, e.clock)
	}
}

// tick does the periodic work: it handles timeouts of the upstream and of links.
func (n *Node) tick() {
	now := boottime.Now()
	n.pulse.Tick(now)
	n.controller.Tick(now)
	for _, l := range n.links.DropSilent(now, n.pulse.RunningSince, links.Limits{LinkTimeout: n.set.Links.LinkTimeout(), Silence: n.set.Links.Silence}) {
		n.controller.EntryUnlinked(now, l.Peer, "silent")
	}
	n.countFollowing()
	n.controller.Flush(now)
}
