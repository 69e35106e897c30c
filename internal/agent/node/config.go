package node

import (
	"math/rand/v2"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/wire"
)

// Most entries read a new configuration from the store as soon as an agent gets it. If each agent passed it to all its entries at once, each
// entry would get it from dozens of agents, and its other messages would wait behind these copies.
const (
	// relayAfter is how long an agent gives entries to read a configuration themselves. An entry's keep-alives tell which version it has.
	relayAfter = 300 * time.Millisecond
	// relayWithin is the time after relayAfter in which agents pass a configuration on, each at a random moment. An entry whose calls the
	// store refuses gets it from the first of them. After both times, a second remains of the shortest bound on putting a configuration
	// in force.
	relayWithin = 700 * time.Millisecond
)

// relayedConfig is the newest configuration that an entry has sent to this agent, which passes it on.
type relayedConfig struct {
	config *wire.Config
	// from is the time from which the agent passes the configuration to entries that have an older one.
	from time.Time
}

// handleConfig stores a configuration from an entry, to pass it to entries that have an older one.
func (n *Node) handleConfig(now time.Time, from *link, c *wire.Config) {
	from.Config = max(from.Config, ident.ConfigVersion(c.GetVersion()))
	if c.GetVersion() > n.relay.config.GetVersion() {
		n.relay = relayedConfig{c, now.Add(relayAfter + rand.N(relayWithin))}
	}
}

// relayConfig sends the configuration to an entry that has an older one, if the entry has had the time to read it from the store.
func (n *Node) relayConfig(now time.Time, l *link) {
	version := ident.ConfigVersion(n.relay.config.GetVersion())
	if l.Config >= version || now.Before(n.relay.from) {
		return
	}
	l.Config = version
	l.Session.Send(codec.Config(version, n.relay.config.GetRaw()))
}
