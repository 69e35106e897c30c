package node

import (
	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/config/cordon"
	"hillreel/internal/core/ident"
)

// SetCordons tells the node which zones a source in the store says are cordoned.
func (n *Node) SetCordons(s cordon.Snapshot) { n.loop.Post(cordonsRead{s}) }

// adoptCordons takes in what the store or an entry has told of cordons. News are passed on to all entries, since the store may turn
// some of them away.
func (n *Node) adoptCordons(s cordon.Snapshot, source string) {
	if !n.cordons.Adopt(s) {
		return
	}
	state := n.zoneState()
	n.log.WithFields(logrus.Fields{
		"of": s.Source, "version": s.Version, "zones": s.Zones, "source": source, "zone": state,
	}).Info("cordons_adopted")
	n.manager.SetZone(state)
	n.links.SendCordons(n.cordons.Snapshots())
}

// zoneState is what is known of the VM's own zone. What one source says is enough to start nothing, and takes all sources to say
// that it is open.
func (n *Node) zoneState() upstream.ZoneState {
	switch {
	case n.cordons.Cordoned(ident.Zone(n.set.Node.Zone)):
		return upstream.ZoneCordoned
	case n.cordons.Complete():
		return upstream.ZoneOpen
	}
	return upstream.ZoneUnknown
}
