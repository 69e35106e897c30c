package node

import (
	"math/rand/v2"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/wire"
)

// An entry that reads the store has a new configuration as soon as an agent has it, and most do. If each agent passed it to all its
// entries at once, each entry would get it from dozens of agents, and its other messages would wait behind that.
const (
	// relayAfter is how long an entry has to read a configuration itself: its keep-alives tell which it has.
	relayAfter = 300 * time.Millisecond
	// relayWithin: agents pass it on one after the other within this time, so that an entry that the store turns away has it from the
	// first of them. Both together leave a second of the shortest bound on putting a configuration in force.
	relayWithin = 700 * time.Millisecond
)

// relayed is the newest configuration that an entry has sent, to be passed on.
type relayedConfig struct {
	config *wire.Config
	// from is when entries that have an older one get it.
	from time.Time
}

// handleConfig keeps a configuration, to be passed to entries that have an older one.
func (n *Node) handleConfig(now time.Time, from *link, c *wire.Config) {
	from.Config = max(from.Config, ident.ConfigVersion(c.GetVersion()))
	if c.GetVersion() > n.relay.config.GetVersion() {
		n.relay = relayedConfig{c, now.Add(relayAfter + rand.N(relayWithin))}
	}
}

// passConfig sends an entry the configuration if it has had the time to read it, and has an older one.
func (n *Node) relayConfig(now time.Time, l *link) {
	version := ident.ConfigVersion(n.relay.config.GetVersion())
	if l.Config >= version || now.Before(n.relay.from) {
		return
	}
	l.Config = version
	l.Session.Send(codec.Config(version, n.relay.config.GetRaw()))
}
