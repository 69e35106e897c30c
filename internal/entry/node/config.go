package node

import (
	"slices"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/route"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/wire"
)

// minRelayAgents is the approximate minimum number of agents of each entry that get a new configuration to pass on. It is more than one
// because some agents may be cut off. An agent is linked to several entries and may get the configuration from each of them.
const minRelayAgents = 6

// relayCount returns the number of agents to which this entry passes a new configuration.
func (n *Node) relayCount() int {
	shared := min(max(len(n.peers), 1), n.set.Links.Entries)
	return (minRelayAgents + shared - 1) / shared
}

// Decoder decodes the raw form of a configuration.
type Decoder func(raw []byte) (*route.Table, error)

// Configure puts a configuration from the store in force, unless the one in force is as new or newer.
func (n *Node) Configure(t *route.Table) { n.loop.Post(configured{table: t}) }

// Routes returns the configuration in force, or nil before there is one.
func (n *Node) Routes() *route.Table { return n.routes.Load() }

// handleConfigured puts a configuration in force unless the one in force is as new or newer. from is the agent that passed it on,
// or zero for the store.
func (n *Node) handleConfigured(t *route.Table, from ident.Incarnation) {
	current := n.routes.Load()
	if current != nil && t.Version <= current.Version {
		return
	}
	old := n.routes.Swap(t)
	invariant.Check(old == nil || old.Version < t.Version, invariant.ConfigOnlyGrows, func() logrus.Fields {
		return logrus.Fields{"version": t.Version}
	})
	n.table.SetRoutes(servicesOf(t))
	source := "store"
	if from != 0 {
		source = "relay"
	}
	n.log.WithFields(logrus.Fields{"version": t.Version, "routes": len(t.Routes), "source": source}).Info("config_adopted")
	n.relay(t, from)
}

// relay sends a configuration to a few agents. They pass it to entries whose calls the store refuses.
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

// handleRelayedConfig handles a configuration that an agent has passed on.
func (n *Node) handleRelayedConfig(l *link, m *wire.Config) {
	l.Config = max(l.Config, ident.ConfigVersion(m.GetVersion()))
	t, err := n.decode(m.GetRaw())
	if err != nil {
		n.log.WithFields(logrus.Fields{"agent": l.Name(), "error": err.Error()}).Warn("config_unusable")
		return
	}
	n.handleConfigured(t, l.Peer)
}

// SetEntries replaces the list of all entries, which the node sends to its agents because some of them can't read the store.
func (n *Node) SetEntries(entries []fleet.Entry) { n.loop.Post(entriesListed{entries}) }

// handleEntries stores a new list of entries. Later ticks send it to the agents.
func (n *Node) handleEntries(entries []fleet.Entry) {
	same := func(a, b fleet.Entry) bool { return a.Address == b.Address && slices.Equal(a.Wants, b.Wants) }
	if slices.EqualFunc(n.peers, entries, same) {
		return
	}
	if anyGone(n.peers, entries) {
		n.peerGoneAt = boottime.Now()
	}
	n.peers, n.peersVersion = entries, n.peersVersion+1
	n.table.SetEntries(len(entries))
	n.log.WithField("entries", len(entries)).Info("entries_listed")
}

// anyGone reports whether an entry of the list before is missing from the list after.
func anyGone(before, after []fleet.Entry) bool {
	listed := make(map[ident.Address]bool, len(after))
	for _, e := range after {
		listed[e.Address] = true
	}
	return slices.ContainsFunc(before, func(e fleet.Entry) bool { return !listed[e.Address] })
}

// peersSpreadTicks is the number of ticks over which a new list of entries is sent to all agents. If all agents got the list in one tick,
// orders would wait behind the copies of the list on a link with little bandwidth.
const peersSpreadTicks = 50

// sendPeersToSome sends the newest list of entries to some of the agents that don't have it.
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

// sendPeers sends the newest list of entries to an agent.
func (n *Node) sendPeers(l *link) {
	l.State.peersVersion = n.peersVersion
	l.Session.Send(codec.Peers(n.peers))
}
