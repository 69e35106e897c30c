package node

import (
	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/config/cordon"
	"hillreel/internal/core/ident"
)

// SetCordons passes the node a snapshot of the cordoned zones that one source in the store lists.
func (n *Node) SetCordons(s cordon.Snapshot) { n.loop.Post(cordonsRead{s}) }

// adoptCordons adopts a snapshot from the store or from an entry if it is newer than the known one. It then sends its
// snapshots to all entries, because the store may refuse the calls of some entries.
func (n *Node) adoptCordons(s cordon.Snapshot, source string) {
	if !n.cordons.Adopt(s) {
		return
	}
	state := n.zoneState()
	n.log.WithFields(logrus.Fields{
		"of": s.Source, "version": s.Version, "zones": s.Zones, "source": source, "zone": state,
	}).Info("cordons_adopted")
	n.controller.SetZone(state)
	n.links.SendCordons(n.cordons.Snapshots())
}

// zoneState returns the state of the VM's own zone. The zone is cordoned if any source cordons it. It is open only if the snapshots of
// all sources are known and none cordons it.
func (n *Node) zoneState() upstream.ZoneState {
	switch {
	case n.cordons.Cordoned(ident.Zone(n.set.Node.Zone)):
		return upstream.ZoneCordoned
	case n.cordons.Complete():
		return upstream.ZoneOpen
	}
	return upstream.ZoneUnknown
}
