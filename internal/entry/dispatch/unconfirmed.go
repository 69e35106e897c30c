package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// doubt notes that a run was lost with its agent.
func (t *Table) addUnconfirmed(now time.Time, a *agentState, k *task) {
	if a.Upstream.ID == "" {
		return
	}
	// How old the run was when the upstream was lost nobody can tell; it may have been at its start.
	t.unconfirmed.Add(now, fleet.Crash{Task: k.id, VM: a.Name, Life: ident.UpstreamLife{ID: a.Upstream.ID}})
	for _, other := range t.agentList {
		if other.Known() && other.Name == a.Name {
			t.resolveUnconfirmed(now, other)
		}
	}
}

// decideDoubts takes the upstreams that were on an agent's VM for lost if another one stands there now.
func (t *Table) resolveUnconfirmed(now time.Time, a *agentState) {
	lost := t.unconfirmed.Resolve(now, a.Name, a.Upstream.ID, a.Known() && a.Room().State.RunsKnown())
	if news := t.HandleCrashes(now, lost); len(news) > 0 {
		t.agentsIO.SendCrashes(news)
	}
}
