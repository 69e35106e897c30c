package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/codec"
)

// mergeCrashes adds the crashes and refutations that an agent has reported. It passes the new ones to the other agents if they concern
// tasks that were running at more than one lost upstream.
func (n *Node) mergeCrashes(now time.Time, from *link, crashes []fleet.Crash, refuted []fleet.Refutation) {
	known := n.table.Crashes()
	var repeated []fleet.Refutation
	for _, r := range refuted {
		if known.IsRepeatLoss(r.Life) {
			repeated = append(repeated, r)
		}
	}
	n.table.HandleRefutations(now, refuted)
	added := n.table.HandleCrashes(now, crashes)
	n.logProvenTasks(added)
	added = known.SelectRepeated(added)
	if len(added)+len(repeated) > 0 {
		n.links.Broadcast(codec.Crashes(added, repeated), from)
	}
}

// SendCrashes reports crashes to all agents: tasks that were running at an upstream when it was lost.
func (s *sender) SendCrashes(all []fleet.Crash) {
	(*Node)(s).logProvenTasks(all)
	s.links.Broadcast(codec.Crashes(all, nil), nil)
}

// SendUnconfirmed tells an agent of crashes that are not confirmed yet. The agent passes them to its other entries.
func (s *sender) SendUnconfirmed(agent ident.Incarnation, all []fleet.Crash) {
	s.links.Send(agent, codec.Unconfirmed(all))
}

// SendSuspects reports the runs of suspected tasks that are alone to an agent on another VM.
func (s *sender) SendSuspects(agent ident.Incarnation, running []fleet.Crash) {
	s.links.Send(agent, codec.Suspects(running))
}

// logProvenTasks logs each new crash whose task is now proven to crash upstreams, with the number of the task's crashes.
func (n *Node) logProvenTasks(added []fleet.Crash) {
	for _, c := range added {
		if n.table.Crashes().Finding(c.Task) != crash.Proven {
			continue
		}
		n.log.WithFields(logrus.Fields{
			"job": c.Task.Job, "task": c.Task, "upstream": c.Life, "vm": c.VM, "after_ms": c.Age.Milliseconds(),
			"crashes": len(n.table.Crashes().Crashes(c.Task)),
		}).Warn("task_crashes_upstreams")
	}
}

// sendRepeatedCrashes reports the tasks that were running at more than one lost upstream to an agent that has just linked. The agent
// passes them to entries that start later.
func (n *Node) sendRepeatedCrashes(now time.Time, l *link) {
	if known := n.table.Crashes().Repeated(now); len(known) > 0 {
		l.Session.Send(codec.Crashes(known, nil))
	}
}
