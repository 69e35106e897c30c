package node

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// roleEntry stands in an entry's hello.
const roleEntry = "entry"

// hello is this process's first message on each link.
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

// accept takes the links that agents open.
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

// serve runs one link until it ends.
func (n *Node) serve(conn net.Conn) {
	s, err := session.Accept(conn, n.hello())
	if err != nil {
		n.log.WithField("error", err.Error()).Info("link_greeting_failed")
		return
	}
	if !n.loop.Post(linkUp{s}) {
		s.Close()
		return
	}
	err = s.Receive(func(msgs []*wire.Msg) { n.loop.Post(received{s, msgs}) })
	n.loop.Post(linkDown{s, err})
}

// handleLinkUp takes up a new link, in place of an older one with the same agent.
func (n *Node) handleLinkUp(now time.Time, s *session.Session) {
	id := ident.Incarnation(s.Remote.GetIncarnation())
	if old := n.links[id]; old != nil {
		old.session.Close()
		n.dropLink(now, old)
	}
	n.links[id] = &link{
		agent: id, session: s, heard: now, pinged: now, config: ident.ConfigVersion(s.Remote.GetConfigVersion()),
	}
	n.linked.Store(int32(len(n.links)))
	n.log.WithFields(logrus.Fields{"agent": s.Remote.GetName(), "incarnation": id, "zone": s.Remote.GetZone()}).Info("link_up")
	n.table.Linked(now, id, ident.UpstreamName(s.Remote.GetName()), ident.Zone(s.Remote.GetZone()))
	if len(n.peers) > 0 {
		s.Send(codec.Peers(n.peers))
	}
}

// handleLinkDown handles the end of a link's session.
func (n *Node) handleLinkDown(now time.Time, s *session.Session, err error) {
	l := n.linkOf(s)
	if l == nil {
		return
	}
	n.log.WithFields(logrus.Fields{"agent": s.Remote.GetName(), "incarnation": l.agent, "error": err}).Warn("link_down")
	n.dropLink(now, l)
}

// linkOf returns the present link of a session, or nil when another has taken its place.
func (n *Node) linkOf(s *session.Session) *link {
	l := n.links[ident.Incarnation(s.Remote.GetIncarnation())]
	if l == nil || l.session != s {
		return nil
	}
	return l
}

// dropLink forgets a link: its agent is out of hearing.
func (n *Node) dropLink(now time.Time, l *link) {
	delete(n.links, l.agent)
	n.linked.Store(int32(len(n.links)))
	n.table.Unlinked(now, l.agent)
}

// handleReceived handles the messages of one frame.
func (n *Node) handleReceived(now time.Time, s *session.Session, msgs []*wire.Msg) {
	l := n.linkOf(s)
	if l == nil {
		return
	}
	l.heard = now
	for _, m := range msgs {
		n.handleMessage(now, l, m)
	}
}

// handleMessage handles one message of the agent.
func (n *Node) handleMessage(now time.Time, l *link, m *wire.Msg) {
	switch m := m.GetKind().(type) {
	case *wire.Msg_Upstream:
		n.table.Upstream(l.agent, codec.ReadUpstream(m.Upstream))
	case *wire.Msg_Room:
		r := codec.ReadRoom(m.Room)
		first := l.clock == 0
		l.clock = r.Clock
		if first {
			n.ping(now, l)
		}
		n.table.Room(now, l.agent, r)
	case *wire.Msg_Ended:
		n.table.Ended(now, l.agent, codec.ReadEnd(m.Ended))
	case *wire.Msg_Settled:
		n.table.Settled(now, l.agent)
	case *wire.Msg_Config:
		n.handleRelayed(l, m.Config)
	default:
		n.log.WithField("agent", l.session.Remote.GetName()).Warn("message_unknown")
	}
}

// ping lets an agent keep this entry's runs.
func (n *Node) ping(now time.Time, l *link) {
	l.pinged = now
	var v ident.ConfigVersion
	if t := n.routes.Load(); t != nil {
		v = t.Version
	}
	l.session.Send(codec.Ping(l.clock, v))
}

// sender sends the table's orders to agents.
type sender Node

// Order sends an order.
func (s *sender) Order(agent ident.Incarnation, o fleet.Order) {
	if l := s.links[agent]; l != nil {
		l.session.Send(codec.Order(o))
	}
}

// Stop sends the wish to stop a run.
func (s *sender) Stop(agent ident.Incarnation, t job.TaskID, r job.Run) {
	if l := s.links[agent]; l != nil {
		l.session.Send(codec.Stop(t, r))
	}
}
