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

// roleAgent is the role that an agent's hello names.
const roleAgent = "agent"

// source names where a list of entries comes from.
type source string

// The sources are the settings and the platform's store. Lists that linked entries send are kept apart, in listedByEntries.
const (
	seeds source = "seeds"
	store source = "store"
)

// link is the session with one entry.
type link = links.Link[linkState]

// linkState holds the agent's own state of a link.
type linkState struct {
	// follows is true if the entry's last keep-alive said that it has current copies of the store's tables that agents need.
	follows bool
}

// dialTarget is an entry's address that is being dialled or is linked.
type dialTarget struct {
	cancel context.CancelFunc
	// lastEntry is the entry that was last linked at this address, or zero.
	lastEntry ident.Incarnation
	// failing is true while the address can't be reached.
	failing bool
}

// seedLinks returns the seeds with their addresses for links. All entries of a region listen for links on the same port.
func (n *Node) seedLinks(from []string) []fleet.Entry {
	_, port, err := net.SplitHostPort(string(n.set.Node.Link))
	if err != nil {
		return nil // can't happen: the address was checked when the settings were loaded
	}
	var out []fleet.Entry
	for _, seed := range from {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, fleet.Entry{Address: ident.Address(net.JoinHostPort(host, port))})
		}
	}
	return out
}

// SetSeeds replaces the addresses of the seeds.
func (n *Node) SetSeeds(from []string) { n.loop.Post(entriesListed{seeds, n.seedLinks(from)}) }

// SetEntries replaces the list of entries from the store.
func (n *Node) SetEntries(all []fleet.Entry) { n.loop.Post(entriesListed{store, all}) }

// handleListed stores the entries that the settings or the store list, and chooses entries anew.
func (n *Node) handleListed(by source, entries []fleet.Entry) {
	n.listed[by] = entries
	n.chooseEntries()
}

// handlePeers stores the entries that a linked entry lists, and chooses entries anew. The list of an entry that is no longer linked is kept
// until the next list from another entry arrives.
func (n *Node) handlePeers(by ident.Incarnation, entries []fleet.Entry) {
	n.listedByEntries[by] = entries
	maps.DeleteFunc(n.listedByEntries, func(other ident.Incarnation, _ []fleet.Entry) bool { return n.links.Get(other) == nil })
	n.chooseEntries()
}

// allListed returns the entries in listed and listedByEntries. An entry may occur several times.
func (n *Node) allListed() []fleet.Entry {
	all := slices.Concat(slices.Collect(maps.Values(n.listed))...)
	return append(all, slices.Concat(slices.Collect(maps.Values(n.listedByEntries))...)...)
}

// chooseEntries chooses the entries to link to. It dials those that are newly chosen. It stops dialling those that are no longer listed
// or no longer chosen, except for entries that are listed and still have runs here.
func (n *Node) chooseEntries() {
	candidates := make(map[string]peers.Candidate)
	up, _ := n.controller.Snapshot()
	for _, e := range n.allListed() {
		address := string(e.Address)
		d := n.dialled[address]
		wanted := candidates[address].Wanted || slices.Contains(e.Wants, up.Service)
		candidates[address] = peers.Candidate{Address: address, Wanted: wanted, Failing: d != nil && d.failing}
	}
	chosen := peers.Choose(n.set.Node.Name, n.set.Links.Entries, slices.Collect(maps.Values(candidates)))
	for address := range chosen {
		if n.dialled[address] == nil {
			ctx, cancel := context.WithCancel(n.ctx)
			n.dialled[address] = &dialTarget{cancel: cancel}
			go n.keepLink(ctx, address)
		}
	}
	for address, d := range n.dialled {
		_, listed := candidates[address]
		if listed && (chosen[address] || n.controller.HasRunsOf(d.lastEntry)) {
			continue
		}
		d.cancel()
		delete(n.dialled, address)
		if link := n.links.Get(d.lastEntry); listed && link != nil {
			// The entry has no runs here. A link to an entry that is no longer listed stays open, because that entry may still have runs.
			link.Session.Close()
		}
	}
}

// quickRedialPeriod is how long a lost entry is dialled at the shorter pause. An entry that restarts is back within this period.
const quickRedialPeriod = 5 * time.Second

// slowRedialFactor is the factor by which the pause between dials is longer after quickRedialPeriod.
const slowRedialFactor = 5

// keepLink dials an entry repeatedly until ctx ends, and serves each link. A link that is open when ctx ends stays open.
func (n *Node) keepLink(ctx context.Context, address string) {
	// lostAt is when the link was last lost, or when dialling began.
	lostAt, greet := time.Now(), n.set.Links.LinkTimeout()
	for ctx.Err() == nil {
		began := time.Now()
		s, err := session.Dial(n.dial, address, session.Limits{Dial: n.set.Links.DialTimeout, Handshake: greet}, n.hello())
		greet = n.nextGreetTimeout(greet, err)
		if err != nil {
			n.loop.Post(dialFailed{address, errors.Is(err, syscall.ECONNREFUSED)})
		} else if ctx.Err() != nil {
			s.Close() // ctx ended during the dial
		} else {
			n.serve(s, address)
		}
		pause := n.set.Links.RedialEvery
		if err == nil && time.Since(began) > pause {
			lostAt = time.Now()
			continue // redial at once, so that a link that was reset is back before its runs are given up
		}
		if time.Since(lostAt) > quickRedialPeriod {
			pause *= slowRedialFactor
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// nextGreetTimeout returns the timeout of the next greeting, from the timeout and the error of the last one. One timeout may come from a
// connection that fell silent. After several timeouts, the entry's process is probably paused, and each of the connections will be waiting
// when it resumes; therefore the timeout doubles.
func (n *Node) nextGreetTimeout(last time.Duration, err error) time.Duration {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n.set.Links.LinkTimeout()
	}
	return min(2*last, session.MaxHandshake)
}

// hello returns the first message that this agent sends on a link.
func (n *Node) hello() *wire.Hello {
	return &wire.Hello{
		Role: roleAgent, Session: n.dialCount.Add(1), Name: n.set.Node.Name, Incarnation: uint64(n.inc), Zone: n.set.Node.Zone, Region: n.set.Node.Region,
	}
}

// serve receives the entry's messages until the link ends.
func (n *Node) serve(s *session.Session, address string) {
	if !n.loop.Post(linkUp{s, address}) {
		s.Close()
		return
	}
	err := s.Receive(func(msgs []*wire.Msg) { n.loop.Post(received{s, msgs}) })
	n.loop.Post(linkDown{s, err})
}

// handleLinkUp adds a new link with the entry at an address, or closes it if the entry is already linked.
func (n *Node) handleLinkUp(now time.Time, s *session.Session, address string) {
	if old := n.links.Get(ident.Incarnation(s.Remote.GetIncarnation())); old != nil {
		// The entry has two addresses. The older link is kept, because otherwise the links of the two addresses would
		// replace each other forever.
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
			n.controller.EntryGone(now, d.lastEntry, "restarted")
		}
		d.lastEntry, d.failing = l.Peer, false
	}
	n.sendAllCrashes(now, l)
	n.controller.EntryLinked(now, l.Peer)
	n.relayConfig(now, l)
	l.SendCordons(n.cordons.Snapshots())
}

// hasLinkOrRuns reports whether an entry is linked or has runs here.
func (n *Node) hasLinkOrRuns(entry ident.Incarnation) bool {
	return n.links.Get(entry) != nil || n.controller.HasRunsOf(entry)
}

// handleDialFailed handles an address that can't be reached. If the connection was refused, no process listens there: the entry that was
// there has ended.
func (n *Node) handleDialFailed(now time.Time, address string, refused bool) {
	d := n.dialled[address]
	if d == nil {
		return
	}
	if refused && d.lastEntry != 0 {
		n.controller.EntryGone(now, d.lastEntry, "refused")
		d.lastEntry = 0
	}
	if !d.failing {
		d.failing = true
		n.chooseEntries()
	}
}

// handleLinkDown handles the end of a link's session: its entry can't be reached until a new link is up.
func (n *Node) handleLinkDown(now time.Time, s *session.Session, err error) {
	if l := n.links.RemoveEnded(s, err); l != nil {
		n.controller.EntryUnlinked(now, l.Peer, "link_down")
		n.reportWitnessed(now, l)
	}
}

// handleMessage handles one message from an entry.
func (n *Node) handleMessage(now time.Time, l *link, m *wire.Msg) {
	switch m := m.GetKind().(type) {
	case *wire.Msg_Start:
		o, err := codec.ReadOrder(m.Start)
		if err != nil {
			// Agents acknowledge orders by sequence number. By handling a later order, the agent would also acknowledge this one.
			n.log.WithFields(logrus.Fields{"entry": l.Name(), "error": err.Error()}).Error("order_unreadable")
			l.Session.Close()
			return
		}
		n.controller.Order(now, l.Peer, o)
	case *wire.Msg_Stop:
		r, why := codec.ReadStop(m.Stop)
		n.controller.StopTask(now, l.Peer, r, why)
	case *wire.Msg_Ping:
		k := codec.ReadPing(m.Ping)
		n.controller.Ping(now, l.Peer, k.Echo, k.Pace)
		l.State.follows = k.Follows
		l.Config = max(l.Config, k.Config)
		n.relayConfig(now, l)
	case *wire.Msg_Noted:
		n.controller.ResolveEnds(codec.ReadNoted(m.Noted))
	case *wire.Msg_Ask:
		number, jobs := codec.ReadAsk(m.Ask)
		n.controller.QueryEnds(now, l.Peer, number, jobs)
	case *wire.Msg_Unconfirmed:
		n.relayUnconfirmed(now, l, codec.ReadUnconfirmed(m.Unconfirmed))
	case *wire.Msg_Suspects:
		n.witness.Replace(l.Peer, codec.ReadSuspects(m.Suspects))
	case *wire.Msg_Claim:
		n.controller.Claim(now, l.Peer, codec.ReadClaim(m.Claim))
	case *wire.Msg_Demand:
		n.links.Broadcast(codec.Demand(codec.ReadDemand(m.Demand, l.Peer)), l)
	case *wire.Msg_Holding:
		_, jobs := codec.ReadHolding(m.Holding)
		n.controller.Holding(now, l.Peer, jobs)
	case *wire.Msg_Release:
		n.controller.Release(now, codec.ReadRelease(m.Release, l.Peer))
	case *wire.Msg_Released:
		n.controller.Released(codec.ReadReleased(m.Released))
	case *wire.Msg_Config:
		n.handleConfig(now, l, m.Config)
	case *wire.Msg_Cordons:
		n.adoptCordons(l.ReceiveCordons(m.Cordons), "link")
		l.SendCordons(n.cordons.Snapshots()) // the entry's snapshot may be out of date
	case *wire.Msg_Crashes:
		crashes, refuted := codec.ReadCrashes(m.Crashes)
		n.mergeCrashes(now, l, crashes, refuted)
	case *wire.Msg_Peers:
		n.handlePeers(l.Peer, codec.ReadPeers(m.Peers))
	default:
		n.log.WithField("entry", l.Name()).Warn("message_unknown")
	}
}

// sender sends the controller's messages to entries.
type sender Node

// Upstream sends the description of the upstream.
func (s *sender) Upstream(to ident.Incarnation, u fleet.Upstream) {
	s.links.Send(to, codec.Upstream(u))
}

// Room sends the room that the upstream has.
func (s *sender) Room(to ident.Incarnation, r fleet.Room) { s.links.Send(to, codec.Room(r)) }

// End reports how a run ended.
func (s *sender) End(to ident.Incarnation, e fleet.End) { s.links.Send(to, codec.End(e)) }

// Resumed reports which runs of an earlier session continue.
func (s *sender) Resumed(to ident.Incarnation, runs []fleet.OrderedRun) {
	s.links.Send(to, codec.Resumed(runs))
}

// Progress reports the progress of runs while the upstream is slow.
func (s *sender) Progress(to ident.Incarnation, runs []fleet.Progress) {
	s.links.Send(to, codec.Progress(runs))
}

// EndsSent reports that all ends that the query with this number asked for have been sent.
func (s *sender) EndsSent(to ident.Incarnation, number uint64) { s.links.Send(to, codec.Asked(number)) }

// Settled reports that no run of the entry's earlier sessions remains.
func (s *sender) Settled(to ident.Incarnation) { s.links.Send(to, codec.Settled()) }
