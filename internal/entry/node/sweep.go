package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/kept/jobstore"
)

// sweep deletes ended jobs and tombstones whose retention time has passed, until the node stops.
func (n *Node) sweep() {
	parts := n.layout().AllParts()
	for turn := 0; ; turn++ {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(jobstore.SweepInterval):
		}
		if !n.mustSweep() {
			continue // each sweep costs store calls
		}
		count, err := n.reader.Sweep(n.ctx, parts[turn%len(parts)])
		if err != nil || count > 0 {
			n.log.WithFields(logrus.Fields{"jobs": count, "error": err}).Info("jobs_forgotten")
		}
	}
}

// mustSweep reports whether there may be rows to delete: an entry has kept jobs, or this one has written a tombstone.
func (n *Node) mustSweep() (active bool) {
	n.loop.Call(func() {
		now := boottime.Now()
		active = n.keptJobs.AnyLease(now) || n.tombstones.Open(now)
	})
	return active
}
