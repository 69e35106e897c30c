package node

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/shares"
)

// SetShares replaces the teams' shares in force.
func (n *Node) SetShares(all []shares.Share) { n.loop.Post(func() { n.table.SetShares(all) }) }

// Shares returns the state of the teams that have shares.
func (n *Node) Shares() (out []shares.Status) {
	n.loop.Call(func() { out = n.table.Shares() })
	return out
}

// PreviewShares returns what each team would get now if other shares were in force.
func (n *Node) PreviewShares(all []shares.Share) (out []shares.Status) {
	n.call(func(now time.Time) { out = n.table.PreviewShares(now, all) })
	return out
}

// servicesOf returns the service of each route.
func servicesOf(t *route.Table) map[route.Name]ident.Service {
	out := make(map[route.Name]ident.Service, len(t.Routes))
	for _, r := range t.Routes {
		out[r.Name] = r.Service
	}
	return out
}

// CutChanged logs that jobs beyond a team's part begin or cease to be refused.
func (o *Observer) CutChanged(s shares.Status) {
	msg := "share_cut_ended"
	if s.Cut {
		msg = "share_cut_began"
	}
	o.counters.Add(msg, 1)
	o.log.WithFields(logrus.Fields{
		"service": s.Service, "team": s.Team, "demand_cores": round(s.Demand), "part_cores": round(s.Part), "capacity_cores": round(s.Capacity),
	}).Info(msg)
}

// round rounds a number of cores for the log.
func round(cores float64) float64 { return math.Round(cores*100) / 100 }

// dropLogInterval is the least time between two log lines about dropped reports of demand.
const dropLogInterval = time.Second

// DemandDropped counts a report of an entry's demand that can't be true, and logs some of them.
func (o *Observer) DemandDropped(now time.Time, entry ident.Incarnation, why error) {
	o.counters.Add("demand_dropped", 1)
	if !o.droppedLoggedAt.IsZero() && now.Sub(o.droppedLoggedAt) < dropLogInterval {
		return
	}
	o.droppedLoggedAt = now
	o.log.WithFields(logrus.Fields{"other_entry": entry, "error": why.Error()}).Warn("demand_dropped")
}
