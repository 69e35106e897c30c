package node

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// roleEntry is the role that an entry's hello names.
const roleEntry = "entry"

// hello returns the first message that this entry sends on each link.
func (n *Node) hello() *wire.Hello {
	h := &wire.Hello{
		Role: roleEntry, Name: n.set.Node.Name, Incarnation: uint64(n.inc), Zone: n.set.Node.Zone,
		Region: n.set.Node.Region, Link: n.Address(),
	}
	if t := n.routes.Load(); t != nil {
		h.ConfigVersion = uint64(t.Version)
	}
	return h
}

// accept accepts the connections that agents and other entries open, until the listener is closed.
func (n *Node) accept() {
	for {
		conn, err := n.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.WithField("error", err.Error()).Warn("link_not_accepted")
			time.Sleep(n.set.Links.RedialEvery)
			continue
		}
		go n.serve(conn)
	}
}

// serve exchanges hellos with the agent and receives its messages until the link ends. Another entry that connects is served apart: its
// session is no link.
func (n *Node) serve(conn net.Conn) {
	s, err := session.Accept(conn, n.hello())
	if err != nil {
		n.log.WithField("error", err.Error()).Info("link_greeting_failed")
		return
	}
	if s.Remote.GetRole() == roleEntry {
		n.serveEntry(s)
		return
	}
	if !n.loop.Post(linkUp{s}) {
		s.Close()
		return
	}
	err = s.Receive(func(msgs []*wire.Msg) { n.loop.Post(received{s, msgs}) })
	n.loop.Post(linkDown{s, err})
}

// handleLinkUp adds a new link. It replaces an older link with the same agent; a session older than the present link is closed.
func (n *Node) handleLinkUp(now time.Time, s *session.Session) {
	if n.links.IsOutdated(s) {
		s.Close()
		return
	}
	if old := n.links.Get(ident.Incarnation(s.Remote.GetIncarnation())); old != nil {
		n.links.Drop(old)
		n.unlinked(now, old)
	}
	l := n.links.Add(now, s)
	l.State.pinged = now
	l.SendCordons(n.cordons.Snapshots())
	n.sendRepeatedCrashes(now, l)
	n.linked.Store(int32(n.links.Len()))
	n.table.HandleLinked(now, l.Peer, ident.UpstreamName(l.Name()), ident.Zone(s.Remote.GetZone()))
	if len(n.peers) > 0 {
		n.sendPeers(l)
	}
}

// handleLinkDown handles the end of a link's session.
func (n *Node) handleLinkDown(now time.Time, s *session.Session, err error) {
	if l := n.links.RemoveEnded(s, err); l != nil {
		n.unlinked(now, l)
	}
}

// unlinked handles the end of a link: its agent can't be reached until it links again.
func (n *Node) unlinked(now time.Time, l *link) {
	n.linked.Store(int32(n.links.Len()))
	n.table.HandleUnlinked(now, l.Peer)
	n.keptJobs.HandleAgentLost(now, l.Peer)
}

// handleMessage handles one message from an agent.
func (n *Node) handleMessage(now time.Time, l *link, m *wire.Msg) {
	switch m := m.GetKind().(type) {
	case *wire.Msg_Upstream:
		n.table.HandleUpstream(now, l.Peer, codec.ReadUpstream(m.Upstream))
	case *wire.Msg_Room:
		r := codec.ReadRoom(m.Room)
		first := l.State.clock == 0
		l.State.clock = r.Clock
		if first {
			n.ping(now, l)
		}
		n.table.HandleRoom(now, l.Peer, r)
	case *wire.Msg_Ended:
		e := codec.ReadEnd(m.Ended)
		if !n.table.HandleEnd(now, l.Peer, e) && e.Kept {
			n.keptJobs.HandleStrayEnd(now, l.Peer, e)
		}
	case *wire.Msg_Asked:
		n.keptJobs.HandleEndsReported(now, l.Peer, m.Asked.GetNumber())
	case *wire.Msg_Progress:
		n.table.HandleProgress(now, l.Peer, codec.ReadProgress(m.Progress))
	case *wire.Msg_Resumed:
		n.table.HandleResumed(l.Peer, codec.ReadResumed(m.Resumed))
	case *wire.Msg_Settled:
		n.table.HandleSettled(now, l.Peer)
	case *wire.Msg_Cordons:
		n.adoptCordons(now, l.ReceiveCordons(m.Cordons), "relay")
		l.SendCordons(n.cordons.Snapshots()) // the agent's snapshot may be out of date
	case *wire.Msg_Crashes:
		crashes, refuted := codec.ReadCrashes(m.Crashes)
		n.mergeCrashes(now, l, crashes, refuted)
	case *wire.Msg_Unconfirmed:
		n.table.HandleUnconfirmed(now, codec.ReadUnconfirmed(m.Unconfirmed))
	case *wire.Msg_Holding:
		holder, jobs := codec.ReadHolding(m.Holding)
		n.table.HandleHeld(now, holder, jobs)
	case *wire.Msg_Release:
		n.table.HandleTakeover(now, l.Peer, codec.ReadRelease(m.Release, 0))
	case *wire.Msg_Released:
		n.table.HandleReleased(now, l.Peer, codec.ReadReleased(m.Released))
	case *wire.Msg_Demand:
		n.table.HandleDemand(now, codec.ReadDemand(m.Demand, 0))
	case *wire.Msg_Config:
		n.handleRelayedConfig(l, m.Config)
	default:
		n.log.WithField("agent", l.Name()).Warn("message_unknown")
	}
}

// ping sends a keep-alive. An agent that receives no keep-alives from this entry for too long stops the entry's runs.
func (n *Node) ping(now time.Time, l *link) {
	l.State.pinged = now
	var v ident.ConfigVersion
	if t := n.routes.Load(); t != nil {
		v = t.Version
	}
	l.Session.Send(codec.Ping(fleet.KeepAlive{Echo: l.State.clock, Config: v, Pace: n.table.Pace(), Follows: n.follows()}))
}

// sender sends the dispatch table's messages to agents.
type sender Node

// Order sends an order to an agent.
func (s *sender) Order(agent ident.Incarnation, o fleet.Order) {
	s.links.Send(agent, codec.Order(o))
}

// Stop asks an agent to stop a run.
func (s *sender) Stop(agent ident.Incarnation, r fleet.OrderedRun, why fleet.Reason) {
	s.links.Send(agent, codec.Stop(r, why))
}
