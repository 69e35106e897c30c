package node

import (
	"context"
	"maps"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/peers"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/links"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// roleAgent stands in an agent's hello.
const roleAgent = "agent"

// source is who told of an entry.
type source string

// The sources, besides entries over their links: the settings and the platform's store.
const (
	seeds source = "seeds"
	store source = "store"
)

// link is the session with one entry.
type link = links.Link[linkState]

// keepAlive is what an entry's keep-alives have said.
type linkState struct {
	// follows: the entry reads the store's tables that agents need.
	follows bool
}

// dialled is an entry's address that is being dialled or linked.
type dialTarget struct {
	cancel context.CancelFunc
	// last is the entry that was linked last by this address; zero is none.
	lastEntry ident.Incarnation
	// failing is true while the entry can't be reached.
	failing bool
}

// seedLinks are the seeds' addresses for links: all entries of a region use the same port.
func (n *Node) seedLinks(from []string) []fleet.Entry {
	_, port, err := net.SplitHostPort(string(n.set.Node.Link))
	if err != nil {
		return nil // the settings were checked
	}
	var out []fleet.Entry
	for _, seed := range from {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, fleet.Entry{Address: ident.Address(net.JoinHostPort(host, port))})
		}
	}
	return out
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(from []string) { n.loop.Post(entriesListed{seeds, n.seedLinks(from)}) }

// SetEntries tells the node which entries the store lists.
func (n *Node) SetEntries(all []fleet.Entry) { n.loop.Post(entriesListed{store, all}) }

// handleListed takes in which entries the settings or the store list.
func (n *Node) handleListed(by source, entries []fleet.Entry) {
	n.listed[by] = entries
	n.chooseEntries()
}

// handleTold takes in which entries a linked one lists. What others have told counts while they are linked, or until somebody else tells.
func (n *Node) handlePeers(by ident.Incarnation, entries []fleet.Entry) {
	n.listedByEntries[by] = entries
	maps.DeleteFunc(n.listedByEntries, func(other ident.Incarnation, _ []fleet.Entry) bool { return n.links.Get(other) == nil })
	n.chooseEntries()
}

// allListed is what all sources list; an entry may come several times.
func (n *Node) allListed() []fleet.Entry {
	all := slices.Concat(slices.Collect(maps.Values(n.listed))...)
	return append(all, slices.Concat(slices.Collect(maps.Values(n.listedByEntries))...)...)
}

// chooseEntries dials entries that are newly chosen, and gives up those that are not listed any more, or that others have
// taken the place of.
func (n *Node) chooseEntries() {
	candidates := make(map[string]peers.Candidate)
	up, _ := n.manager.Snapshot()
	for _, e := range n.allListed() {
		l := string(e.Address)
		d := n.dialled[l]
		wanted := candidates[l].Wanted || slices.Contains(e.Wants, up.Service)
		candidates[l] = peers.Candidate{Address: l, Wanted: wanted, Failing: d != nil && d.failing}
	}
	chosen := peers.Choose(n.set.Node.Name, n.set.Links.Entries, slices.Collect(maps.Values(candidates)))
	for l := range chosen {
		if n.dialled[l] == nil {
			ctx, cancel := context.WithCancel(n.ctx)
			n.dialled[l] = &dialTarget{cancel: cancel}
			go n.keepLink(ctx, l)
		}
	}
	for l, d := range n.dialled {
		_, listed := candidates[l]
		if listed && (chosen[l] || n.manager.HasRunsOf(d.lastEntry)) {
			continue
		}
		d.cancel()
		delete(n.dialled, l)
		if link := n.links.Get(d.lastEntry); listed && link != nil {
			// It is linked and has nothing here. One that nobody lists any more may still have, and keeps its link.
			link.Session.Close()
		}
	}
}

// quickDials is how long a lost entry is dialled at the shorter pause; one that restarts is back within it.
const quickRedialPeriod = 5 * time.Second

// slowDown is by how much the pause is longer afterwards.
const slowRedialFactor = 5

// keepLink dials an entry again and again until ctx ends. A link that stands when ctx ends is kept.
func (n *Node) keepLink(ctx context.Context, address string) {
	since, greet := time.Now(), n.set.Links.LinkTimeout()
	for ctx.Err() == nil {
		began := time.Now()
		s, err := session.Dial(n.dial, address, session.Limits{Dial: n.set.Links.DialTimeout, Handshake: greet}, n.hello())
		greet = n.nextGreetTimeout(greet, err)
		if err != nil {
			n.loop.Post(dialFailed{address, errors.Is(err, syscall.ECONNREFUSED)})
		} else if ctx.Err() != nil {
			s.Close() // the entry was given up meanwhile
		} else {
			n.serve(s, address)
		}
		pause := n.set.Links.RedialEvery
		if err == nil && time.Since(began) > pause {
			since = time.Now()
			continue // a link that was reset is back sooner than its runs are given up
		}
		if time.Since(since) > quickRedialPeriod {
			pause *= slowRedialFactor
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// greeting returns how long the next greeting is waited for. A connection may have fallen silent during the last one; but after
// several that came to nothing the entry stands still, and finds each of them when it wakes.
func (n *Node) nextGreetTimeout(last time.Duration, err error) time.Duration {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n.set.Links.LinkTimeout()
	}
	return min(2*last, session.MaxHandshake)
}

// hello is this process's first message on each link.
func (n *Node) hello() *wire.Hello {
	return &wire.Hello{
		Role: roleAgent, Session: n.dialCount.Add(1), Name: n.set.Node.Name, Incarnation: uint64(n.inc), Zone: n.set.Node.Zone, Region: n.set.Node.Region,
	}
}

// serve runs one link until it ends.
func (n *Node) serve(s *session.Session, address string) {
	if !n.loop.Post(linkUp{s, address}) {
		s.Close()
		return
	}
	err := s.Receive(func(msgs []*wire.Msg) { n.loop.Post(received{s, msgs}) })
	n.loop.Post(linkDown{s, err})
}

// handleLinkUp takes up a new link with the entry at an address.
func (n *Node) handleLinkUp(now time.Time, s *session.Session, address string) {
	if old := n.links.Get(ident.Incarnation(s.Remote.GetIncarnation())); old != nil {
		// The entry goes by two addresses. The older link is kept: with the newer one, the two would go on replacing
		// each other.
		if d := n.dialled[address]; d != nil {
			d.lastEntry, d.failing = old.Peer, false
		}
		s.Close()
		return
	}
	l := n.links.Add(now, s)
	n.observer.Linked(l.Peer, l.Name(), n.hasLinkOrRuns)
	if d := n.dialled[address]; d != nil {
		if d.lastEntry != l.Peer {
			n.manager.EntryGone(now, d.lastEntry, "restarted")
		}
		d.lastEntry, d.failing = l.Peer, false
	}
	n.sendAllCrashes(now, l)
	n.manager.EntryLinked(now, l.Peer)
	n.relayConfig(now, l)
	l.SendCordons(n.cordons.Snapshots())
}

// needsName tells whether an entry is linked or has runs here.
func (n *Node) hasLinkOrRuns(entry ident.Incarnation) bool {
	return n.links.Get(entry) != nil || n.manager.HasRunsOf(entry)
}

// handleDialFailed handles an address that can't be reached. When it refuses, nobody listens there any more: the entry
// that was there has ended.
func (n *Node) handleDialFailed(now time.Time, address string, refused bool) {
	d := n.dialled[address]
	if d == nil {
		return
	}
	if refused && d.lastEntry != 0 {
		n.manager.EntryGone(now, d.lastEntry, "refused")
		d.lastEntry = 0
	}
	if !d.failing {
		d.failing = true
		n.chooseEntries()
	}
}

// handleLinkDown handles the end of a link's session: its entry is out of hearing.
func (n *Node) handleLinkDown(now time.Time, s *session.Session, err error) {
	if l := n.links.RemoveEnded(s, err); l != nil {
		n.manager.EntryUnlinked(now, l.Peer, "link_down")
	}
}

// handleMessage handles one message of the entry.
func (n *Node) handleMessage(now time.Time, l *link, m *wire.Msg) {
	switch m := m.GetKind().(type) {
	case *wire.Msg_Start:
		o, err := codec.ReadOrder(m.Start)
		if err != nil {
			// The orders behind it would be taken for it by their numbers.
			n.log.WithFields(logrus.Fields{"entry": l.Name(), "error": err.Error()}).Error("order_unreadable")
			l.Session.Close()
			return
		}
		n.manager.Order(now, l.Peer, o)
	case *wire.Msg_Stop:
		r, why := codec.ReadStop(m.Stop)
		n.manager.StopTask(now, l.Peer, r, why)
	case *wire.Msg_Ping:
		k := codec.ReadPing(m.Ping)
		n.manager.Ping(now, l.Peer, k.Echo, k.Pace)
		l.State.follows = k.Follows
		l.Config = max(l.Config, k.Config)
		n.relayConfig(now, l)
	case *wire.Msg_Noted:
		n.manager.ResolveEnds(codec.ReadNoted(m.Noted))
	case *wire.Msg_Ask:
		number, jobs := codec.ReadAsk(m.Ask)
		n.manager.QueryEnds(now, l.Peer, number, jobs)
	case *wire.Msg_Holding:
		_, jobs := codec.ReadHolding(m.Holding)
		n.manager.Holding(now, l.Peer, jobs)
	case *wire.Msg_Release:
		n.manager.Release(now, codec.ReadRelease(m.Release, l.Peer))
	case *wire.Msg_Released:
		n.manager.Released(codec.ReadReleased(m.Released))
	case *wire.Msg_Config:
		n.handleConfig(now, l, m.Config)
	case *wire.Msg_Cordons:
		n.adoptCordons(l.ReceiveCordons(m.Cordons), "link")
		l.SendCordons(n.cordons.Snapshots()) // what it told may be out of date
	case *wire.Msg_Crashes:
		crashes, refuted := codec.ReadCrashes(m.Crashes)
		n.mergeCrashes(now, l, crashes, refuted)
	case *wire.Msg_Peers:
		n.handlePeers(l.Peer, codec.ReadPeers(m.Peers))
	default:
		n.log.WithField("entry", l.Name()).Warn("message_unknown")
	}
}

// sender sends the keeper's words to entries.
type sender Node

// Upstream describes the upstream.
func (s *sender) Upstream(to ident.Incarnation, u fleet.Upstream) {
	s.links.Send(to, codec.Upstream(u))
}

// Room tells what room there is.
func (s *sender) Room(to ident.Incarnation, r fleet.Room) { s.links.Send(to, codec.Room(r)) }

// End tells how a run ended.
func (s *sender) End(to ident.Incarnation, e fleet.End) { s.links.Send(to, codec.End(e)) }

// Resumed tells which runs of an earlier session go on.
func (s *sender) Resumed(to ident.Incarnation, runs []fleet.OrderedRun) {
	s.links.Send(to, codec.Resumed(runs))
}

// Progress tells how runs get on while the upstream is slow.
func (s *sender) Progress(to ident.Incarnation, runs []fleet.Progress) {
	s.links.Send(to, codec.Progress(runs))
}

// Asked tells that all ends that a question is about have been told.
func (s *sender) EndsSent(to ident.Incarnation, number uint64) { s.links.Send(to, codec.Asked(number)) }

// Settled tells that nothing of earlier sessions remains.
func (s *sender) Settled(to ident.Incarnation) { s.links.Send(to, codec.Settled()) }
