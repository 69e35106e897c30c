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
	"hillreel/internal/core/unconfirmed"
	"hillreel/internal/link/codec"
)

// UpstreamLost reports to all entries the tasks that were running at the upstream when it was lost.
func (s *sender) UpstreamLost(l upstream.Loss) {
	n := (*Node)(s)
	n.broadcastCrashes(nil, n.addCrashes(boottime.Now(), l.Crashes(n.vm())), nil)
}

// vm returns the name of the agent's VM.
func (n *Node) vm() ident.UpstreamName { return ident.UpstreamName(n.set.Node.Name) }

// addCrashes adds crashes, updates localCrashes if there are new ones of this VM, and returns the new ones.
func (n *Node) addCrashes(now time.Time, all []fleet.Crash) []fleet.Crash {
	added := n.crashes.AddAll(now, all)
	if slices.ContainsFunc(added, func(c fleet.Crash) bool { return n.crashes.HasCrashOn(c.Task, n.vm()) }) {
		n.localCrashes = n.crashes.CrashesOn(now, n.vm())
	}
	return added
}

// LossRefuted reports to all entries that a life of the upstream that was taken for lost has answered.
func (s *sender) LossRefuted(r fleet.Refutation) {
	n := (*Node)(s)
	n.log.WithField("upstream", r.Life).Info("loss_refuted")
	n.crashes.Refute(r)
	n.broadcastCrashes(nil, nil, []fleet.Refutation{r})
}

// recallCrashes adds the crashes that an earlier incarnation of this agent has saved, and reports the new ones to all entries. If all
// processes have stopped since, no other process knows of these crashes.
func (n *Node) recallCrashes(now time.Time, all []fleet.Crash) {
	recent := slices.DeleteFunc(slices.Clone(all), func(c fleet.Crash) bool { return time.Since(time.UnixMilli(int64(c.Loss))) > crash.Retention })
	n.broadcastCrashes(nil, n.addCrashes(now, recent), nil)
}

// mergeCrashes adds the crashes and refutations that an entry has reported. It passes the new ones to the other entries if they concern tasks
// that were running at more than one lost upstream.
func (n *Node) mergeCrashes(now time.Time, from *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	added := n.addCrashes(now, crashes)
	var repeated []fleet.Refutation
	for _, r := range refuted {
		repeats := n.crashes.IsRepeatLoss(r.Life)
		if n.crashes.Refute(r) && repeats {
			repeated = append(repeated, r)
		}
	}
	n.broadcastCrashes(from, n.crashes.SelectRepeated(added), repeated)
}

// relayUnconfirmed passes crashes that an entry could not confirm yet to the other entries, and keeps them for those that link later.
func (n *Node) relayUnconfirmed(now time.Time, from *link, all []fleet.Crash) {
	for _, c := range all {
		n.unconfirmed.Add(now, c, unconfirmed.Relayed)
	}
	n.links.Broadcast(codec.Unconfirmed(all), from)
}

// reportWitnessed tells the other entries of the suspects that ran for an entry whose link has ended. If the entry still is there, or the
// upstreams have not crashed, the entries find that out by themselves.
func (n *Node) reportWitnessed(now time.Time, from *link) {
	running := n.witness.Take(from.Peer)
	if len(running) == 0 {
		return
	}
	n.log.WithFields(logrus.Fields{"entry": from.Name(), "runs": len(running)}).Info("suspects_witnessed")
	n.relayUnconfirmed(now, from, running)
}

// broadcastCrashes sends crashes and refutations to all entries except one. It sends to all if except is nil.
func (n *Node) broadcastCrashes(except *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	if len(crashes)+len(refuted) > 0 {
		n.links.Broadcast(codec.Crashes(crashes, refuted), except)
	}
}

// sendAllCrashes sends all known crashes to an entry that has just linked: it may have started since, or have been unreachable.
func (n *Node) sendAllCrashes(now time.Time, l *link) {
	if all := n.unconfirmed.Recent(now); len(all) > 0 {
		l.Session.Send(codec.Unconfirmed(all))
	}
	all := n.crashes.All(now)
	if len(all) == 0 {
		return
	}
	n.log.WithFields(logrus.Fields{"entry": l.Name(), "crashes": len(all)}).Debug("crashes_told")
	l.Session.Send(codec.Crashes(all, nil))
}
