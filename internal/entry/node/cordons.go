package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/config/cordon"
)

// SetCordons passes the node a snapshot of the cordoned zones that one source in the store lists.
func (n *Node) SetCordons(s cordon.Snapshot) { n.loop.Post(cordonsRead{s}) }

// adoptCordons adopts a snapshot from the store or from an agent if it is newer than the known one, and passes it to all agents.
func (n *Node) adoptCordons(now time.Time, s cordon.Snapshot, source string) {
	if !n.cordons.Adopt(s) {
		return
	}
	// Agents must know of a lifted cordon before the table places tasks in the zone, else they would refuse the orders.
	n.links.SendCordons(n.cordons.Snapshots())
	n.table.SetCordoned(now, n.cordons.Zones())
	n.log.WithFields(logrus.Fields{"of": s.Source, "version": s.Version, "zones": s.Zones, "source": source}).Info("cordons_adopted")
	for _, z := range n.table.Zones() {
		if z.Cordoned {
			// The line has the number of upstreams, because a zone without upstreams may be misspelt.
			n.log.WithFields(logrus.Fields{"zone": z.Zone, "upstreams": z.Upstreams, "runs": z.Runs}).Info("zone_cordoned")
		}
	}
}
