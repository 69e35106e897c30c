package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// doubt notes that a run was lost with its agent.
func (t *Table) doubt(now time.Time, a *upstreamOf, k *task) {
	if a.Up.ID == "" {
		return
	}
	// How old the run was when the upstream was lost nobody can tell; it may have been at its start.
	t.doubts.Add(now, fleet.Crash{Task: k.id, VM: a.Name, Life: ident.UpstreamLife{ID: a.Up.ID}})
	for _, other := range t.order {
		if other.Known() && other.Name == a.Name {
			t.decideDoubts(now, other)
		}
	}
}

// decideDoubts takes the upstreams that were on an agent's VM for lost if another one stands there now.
func (t *Table) decideDoubts(now time.Time, a *upstreamOf) {
	lost := t.doubts.Decide(now, a.Name, a.Up.ID, a.Known() && a.Room().State.Settled())
	if news := t.Crashed(now, lost); len(news) > 0 {
		t.agentsIO.Crashes(news)
	}
}
