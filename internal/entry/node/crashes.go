package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/link/codec"
)

// adoptCrashes takes in what an agent has told of crashes, and passes on to the others what is news and concerns tasks that more than
// one upstream was lost under.
func (n *Node) mergeCrashes(now time.Time, from *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	known := n.table.Crashes()
	var spread []fleet.Refutation
	for _, r := range refuted {
		if known.IsRepeatLoss(r.Life) {
			spread = append(spread, r)
		}
	}
	n.table.HandleRefutations(now, refuted)
	news := n.table.HandleCrashes(now, crashes)
	n.logProvenTasks(news)
	news = known.SelectRepeated(news)
	if len(news)+len(spread) > 0 {
		n.links.Broadcast(codec.Crashes(news, spread), from)
	}
}

// Crashes tells all agents of tasks that upstreams were lost under.
func (s *sender) SendCrashes(all []fleet.Crash) {
	(*Node)(s).logProvenTasks(all)
	s.links.Broadcast(codec.Crashes(all, nil), nil)
}

// logProven logs the tasks that news prove to crash upstreams, with all the crashes that the proof rests on.
func (n *Node) logProvenTasks(news []fleet.Crash) {
	for _, c := range news {
		if n.table.Crashes().Finding(c.Task) != crash.Proven {
			continue
		}
		n.log.WithFields(logrus.Fields{
			"job": c.Task.Job, "task": c.Task, "upstream": c.Life, "vm": c.VM, "after_ms": c.Age.Milliseconds(),
			"crashes": len(n.table.Crashes().Crashes(c.Task)),
		}).Warn("task_crashes_upstreams")
	}
}

// greetCrashes tells an agent that has linked of the tasks that more than one upstream was lost under: it passes that on to entries that
// begin later.
func (n *Node) sendRepeatedCrashes(now time.Time, l *link) {
	if known := n.table.Crashes().Repeated(now); len(known) > 0 {
		l.Session.Send(codec.Crashes(known, nil))
	}
}
