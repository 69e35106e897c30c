package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
)

// Lost tells all entries of the tasks that the upstream was lost under.
func (s *sender) Lost(l upstream.Loss) {
	n := (*Node)(s)
	n.tellCrashes(nil, n.crashes.AddAll(boottime.Now(), l.Crashes(ident.UpstreamName(n.set.Node.Name))), nil)
}

// Refuted tells all entries that a life has answered which was taken for lost.
func (s *sender) Refuted(r fleet.Refutation) {
	n := (*Node)(s)
	n.log.WithField("upstream", r.Life).Info("loss_refuted")
	n.crashes.Refute(r)
	n.tellCrashes(nil, nil, []fleet.Refutation{r})
}

// adoptCrashes takes in what an entry has told of crashes, and passes on to the others what is news and concerns tasks that more than one
// upstream was lost under.
func (n *Node) adoptCrashes(now time.Time, from *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	news := n.crashes.AddAll(now, crashes)
	var spread []fleet.Refutation
	for _, r := range refuted {
		repeats := n.crashes.Repeats(r.Life)
		if n.crashes.Refute(r) && repeats {
			spread = append(spread, r)
		}
	}
	n.tellCrashes(from, n.crashes.Spread(news), spread)
}

// tellCrashes tells all entries but one of crashes.
func (n *Node) tellCrashes(but *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	if len(crashes)+len(refuted) > 0 {
		n.links.Broadcast(codec.Crashes(crashes, refuted), but)
	}
}

// greetCrashes tells an entry that has linked of all crashes that are remembered: it may have begun since, or have been out of reach.
func (n *Node) greetCrashes(now time.Time, l *link) {
	all := n.crashes.All(now)
	if len(all) == 0 {
		return
	}
	n.log.WithFields(logrus.Fields{"entry": l.Name(), "crashes": len(all)}).Debug("crashes_told")
	l.Session.Send(codec.Crashes(all, nil))
}
