package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
	"hillreel/internal/platform/vms"
)

func (n *Node) hello() *wire.Hello {
	return &wire.Hello{
		Role: string(vms.Entry), Name: n.set.Node.Name, Incarnation: uint64(n.inc), Address: n.Address(),
		Zone: n.set.Node.Zone, Region: n.set.Node.Region, ClockMs: time.Now().UnixMilli(),
	}
}

// handleMembers dials what the list has new and stops dialling what it has no more. A link that stands is
// kept: the list lags, the link does not.
func (n *Node) handleMembers(list vms.List) {
	wanted := make(map[ident.Address]bool)
	for _, vm := range list.VMs {
		if vm.Region != ident.Region(n.set.Node.Region) || vm.Address == ident.Address(n.Address()) {
			continue
		}
		// Of two entries, the one with the lower address dials.
		if vm.Role == vms.Entry && vm.Address < ident.Address(n.Address()) {
			continue
		}
		if vm.Role == vms.Agent && vm.State == vms.Leaving {
			n.table.AgentLeavingAt(vm.Address)
		}
		wanted[vm.Address] = true
		if n.dialled[vm.Address] == nil {
			ctx, cancel := context.WithCancel(n.ctx)
			n.dialled[vm.Address] = cancel
			go n.keepLink(ctx, vm.Address)
		}
	}
	for address, cancel := range n.dialled {
		if !wanted[address] {
			cancel()
			delete(n.dialled, address)
			n.table.Unlisted(address)
		}
	}
}

// keepLink dials address again and again until ctx ends.
func (n *Node) keepLink(ctx context.Context, address ident.Address) {
	for ctx.Err() == nil {
		s, err := session.Dial(n.dial, string(address), n.set.Links.DialTimeout, n.hello())
		if err == nil {
			ended := make(chan struct{})
			if n.loop.Post(linkUp{s, ended}) {
				<-ended
			}
		} else {
			n.noteRefusal(address, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(n.set.Links.RedialEvery):
		}
	}
}

// noteRefusal takes a refused connection as the word that nobody listens there any more: its process has
// ended. That is only a hint; safety rests on seals.
func (n *Node) noteRefusal(address ident.Address, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.loop.Post(func() { n.table.Unlisted(address) })
	}
}

// probe asks whether anybody listens at the address of a process whose link was lost. Those who were dialled
// would not notice otherwise.
func (n *Node) probe(address ident.Address) {
	conn, err := n.dial(string(address), n.set.Links.DialTimeout)
	if err != nil {
		n.noteRefusal(address, err)
		return
	}
	conn.Close()
}

func (n *Node) accept() {
	for {
		conn, err := n.ln.Accept()
		if err != nil {
			return
		}
		go func(conn net.Conn) {
			s, err := session.Accept(conn, n.hello())
			if err != nil {
				n.log.WithField("error", err.Error()).Debug("link_refused")
				return
			}
			if !n.loop.Post(linkUp{s, nil}) {
				s.Close()
			}
		}(conn)
	}
}

func (n *Node) linksOf(role string) map[ident.Incarnation]link {
	if role == string(vms.Agent) {
		return n.agents
	}
	return n.peers
}

func (n *Node) handleLinkUp(e linkUp) {
	h := e.session.Remote
	n.counter++
	number, from, role := n.counter, ident.Incarnation(h.GetIncarnation()), h.GetRole()
	held := n.linksOf(role)
	if old, ok := held[from]; ok {
		go old.session.Close()
	}
	held[from] = link{number, e.session, ident.Address(h.GetAddress())}
	if role == string(vms.Agent) {
		n.table.AgentUp(h, number)
	} else {
		n.table.PeerUp(h, number)
	}
	n.greetConfig(from, h)
	n.log.WithFields(logrus.Fields{"peer_role": role, "peer": h.GetName(), "incarnation": from}).Info("link_up")
	go func() {
		err := e.session.Receive(func(msgs []*wire.Msg) { n.loop.Post(received{role, from, number, msgs}) })
		n.log.WithFields(logrus.Fields{"peer_role": role, "peer": h.GetName(), "error": err.Error()}).Info("link_down")
		n.loop.Post(linkDown{role, from, number})
		if e.ended != nil {
			close(e.ended)
		}
	}()
}

func (n *Node) handleLinkDown(e linkDown) {
	held := n.linksOf(e.role)
	if held[e.from].number != e.number {
		return
	}
	go n.probe(held[e.from].address)
	delete(held, e.from)
	n.forgetConfig(e.from)
	if e.role == string(vms.Agent) {
		n.table.AgentDown(e.from, e.number)
	} else {
		n.table.PeerDown(e.from, e.number)
	}
}
