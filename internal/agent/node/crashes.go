package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
)

// Lost tells all entries of the tasks that the upstream was lost under.
func (s *sender) UpstreamLost(l upstream.Loss) {
	n := (*Node)(s)
	n.broadcastCrashes(nil, n.addCrashes(boottime.Now(), l.Crashes(n.vm())), nil)
}

// vm is the name of the agent's VM.
func (n *Node) vm() ident.UpstreamName { return ident.UpstreamName(n.set.Node.Name) }

// addCrashes takes in crashes, notes which of this VM are to be remembered, and returns what is news.
func (n *Node) addCrashes(now time.Time, all []fleet.Crash) []fleet.Crash {
	news := n.crashes.AddAll(now, all)
	if slices.ContainsFunc(news, func(c fleet.Crash) bool { return n.crashes.HasCrashOn(c.Task, n.vm()) }) {
		n.localCrashes = n.crashes.CrashesOn(now, n.vm())
	}
	return news
}

// Refuted tells all entries that a life has answered which was taken for lost.
func (s *sender) LossRefuted(r fleet.Refutation) {
	n := (*Node)(s)
	n.log.WithField("upstream", r.Life).Info("loss_refuted")
	n.crashes.Refute(r)
	n.broadcastCrashes(nil, nil, []fleet.Refutation{r})
}

// recallCrashes takes in and tells what an earlier life has remembered of crashes: where all processes have ended, nobody else knows.
func (n *Node) recallCrashes(now time.Time, all []fleet.Crash) {
	lately := slices.DeleteFunc(slices.Clone(all), func(c fleet.Crash) bool { return time.Since(time.UnixMilli(int64(c.Loss))) > crash.Retention })
	n.broadcastCrashes(nil, n.addCrashes(now, lately), nil)
}

// adoptCrashes takes in what an entry has told of crashes, and passes on to the others what is news and concerns tasks that more than one
// upstream was lost under.
func (n *Node) mergeCrashes(now time.Time, from *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	news := n.addCrashes(now, crashes)
	var spread []fleet.Refutation
	for _, r := range refuted {
		repeats := n.crashes.IsRepeatLoss(r.Life)
		if n.crashes.Refute(r) && repeats {
			spread = append(spread, r)
		}
	}
	n.broadcastCrashes(from, n.crashes.SelectRepeated(news), spread)
}

// tellCrashes tells all entries but one of crashes.
func (n *Node) broadcastCrashes(but *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	if len(crashes)+len(refuted) > 0 {
		n.links.Broadcast(codec.Crashes(crashes, refuted), but)
	}
}

// greetCrashes tells an entry that has linked of all crashes that are remembered: it may have begun since, or have been out of reach.
func (n *Node) sendAllCrashes(now time.Time, l *link) {
	all := n.crashes.All(now)
	if len(all) == 0 {
		return
	}
	n.log.WithFields(logrus.Fields{"entry": l.Name(), "crashes": len(all)}).Debug("crashes_told")
	l.Session.Send(codec.Crashes(all, nil))
}
