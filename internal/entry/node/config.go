package node

import (
	"slices"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/route"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/wire"
)

// holders is about how many agents of each entry, at least, shall get a new configuration to pass on: some may be cut off. An agent is linked
// to several entries and may get it from each of them.
const minRelayAgents = 6

// relays is to how many agents this entry passes a new configuration.
func (n *Node) relayCount() int {
	shared := min(max(len(n.peers), 1), n.set.Links.Entries)
	return (minRelayAgents + shared - 1) / shared
}

// Decoder decodes a configuration that another process has passed on.
type Decoder func(raw []byte) (*route.Table, error)

// Configure puts a configuration in force that was read from the store; an older one changes nothing.
func (n *Node) Configure(t *route.Table) { n.loop.Post(configured{table: t}) }

// Routes returns the configuration in force, or nil before there is one.
func (n *Node) Routes() *route.Table { return n.routes.Load() }

// handleConfigured puts a configuration in force unless it is an older one; from is zero when the store had it.
func (n *Node) handleConfigured(t *route.Table, from ident.Incarnation) {
	have := n.routes.Load()
	if have != nil && t.Version <= have.Version {
		return
	}
	old := n.routes.Swap(t)
	invariant.Check(old == nil || old.Version < t.Version, invariant.ConfigOnlyGrows, func() logrus.Fields {
		return logrus.Fields{"version": t.Version}
	})
	source := "store"
	if from != 0 {
		source = "relay"
	}
	n.log.WithFields(logrus.Fields{"version": t.Version, "routes": len(t.Routes), "source": source}).Info("config_adopted")
	n.relay(t, from)
}

// relay passes a configuration to a few agents; they pass it to entries that the store turns away.
func (n *Node) relay(t *route.Table, from ident.Incarnation) {
	left := n.relayCount()
	for l := range n.links.All() {
		if left == 0 {
			return
		}
		if l.Peer == from || l.Config >= t.Version {
			continue
		}
		l.Config = t.Version
		l.Session.Send(codec.Config(t.Version, t.Raw))
		left--
	}
}

// handleRelayed takes in a configuration that an agent has passed on.
func (n *Node) handleRelayedConfig(l *link, m *wire.Config) {
	l.Config = max(l.Config, ident.ConfigVersion(m.GetVersion()))
	t, err := n.decode(m.GetRaw())
	if err != nil {
		n.log.WithFields(logrus.Fields{"agent": l.Name(), "error": err.Error()}).Warn("config_unusable")
		return
	}
	n.handleConfigured(t, l.Peer)
}

// SetEntries tells the node which entries there are, for agents that can't read the store.
func (n *Node) SetEntries(entries []fleet.Entry) { n.loop.Post(entriesListed{entries}) }

// handleListed takes in which entries there are, for all agents to be told.
func (n *Node) handleEntries(entries []fleet.Entry) {
	same := func(a, b fleet.Entry) bool { return a.Address == b.Address && slices.Equal(a.Wants, b.Wants) }
	if slices.EqualFunc(n.peers, entries, same) {
		return
	}
	n.peers, n.peersVersion = entries, n.peersVersion+1
	n.table.SetEntries(len(entries))
	n.log.WithField("entries", len(entries)).Info("entries_listed")
}

// peersTicks is within how many ticks all agents are told of a new list of entries: if they all were at once, a thin link would hold up orders
// behind as many copies of it.
const peersSpreadTicks = 50

// tellPeers tells some of the agents that have not been told of the newest list.
func (n *Node) sendPeersToSome() {
	left := 1 + n.links.Len()/peersSpreadTicks
	for l := range n.links.All() {
		if left == 0 {
			return
		}
		if l.State.peersVersion != n.peersVersion {
			n.sendPeers(l)
			left--
		}
	}
}

// sendPeers tells an agent of the newest list.
func (n *Node) sendPeers(l *link) {
	l.State.peersVersion = n.peersVersion
	l.Session.Send(codec.Peers(n.peers))
}
