package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/config/cordon"
)

// SetCordons tells the node which zones a source in the store says are cordoned.
func (n *Node) SetCordons(s cordon.Snapshot) { n.loop.Post(cordonsRead{s}) }

// adoptCordons takes in what the store or an agent has told of cordons, and passes news on to all agents.
func (n *Node) adoptCordons(now time.Time, s cordon.Snapshot, source string) {
	if !n.cordons.Adopt(s) {
		return
	}
	// Agents hear of it before the table places anything that the news make room for.
	n.links.SendCordons(n.cordons.Snapshots())
	n.table.SetCordoned(now, n.cordons.Zones())
	n.log.WithFields(logrus.Fields{"of": s.Source, "version": s.Version, "zones": s.Zones, "source": source}).Info("cordons_adopted")
	for _, w := range n.table.Zones() {
		if w.Cordoned {
			// A zone without upstreams may be misspelt.
			n.log.WithFields(logrus.Fields{"zone": w.Zone, "upstreams": w.Upstreams, "runs": w.Runs}).Info("zone_cordoned")
		}
	}
}
