package world

import (
	"slices"
	"time"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/ident"
	"hillreel/internal/load/plan"
)

// cordonHeard is within which time each process has heard of a change of the cordons: by its feed of the store, which answers within
// milliseconds, or from others.
const maxCordonDelay = 50 * time.Millisecond

// cordon cordons a zone for a while.
func (w *World) cordon(f *plan.Fault) {
	w.setCordoned(f.Zone, true)
	w.After(f.For, func() { w.setCordoned(f.Zone, false) })
}

// setCordoned changes the cordons, and lets every process hear of it some time later.
func (w *World) setCordoned(zone string, cordoned bool) {
	w.cordoned = slices.DeleteFunc(slices.Clone(w.cordoned), func(z ident.Zone) bool { return string(z) == zone })
	if cordoned {
		w.cordoned = append(w.cordoned, ident.Zone(zone))
	}
	for _, e := range w.entries {
		w.After(w.drawCordonDelay(), e.applyCordons)
	}
	for _, a := range w.agents {
		w.After(w.drawCordonDelay(), a.applyCordons)
	}
}

// hears draws when a process hears of the cordons, after they have changed or it has begun.
func (w *World) drawCordonDelay() time.Duration {
	return time.Duration(w.faultRNG.Int64N(int64(maxCordonDelay)))
}

// hearCordons lets an entry hear of the cordons as they are now.
func (e *entry) applyCordons() {
	if e.alive {
		e.table.SetCordoned(e.w.Now(), e.w.cordoned)
	}
}

// hearCordons lets an agent hear of the cordons as they are now.
func (a *agent) applyCordons() {
	if !a.alive {
		return
	}
	state := upstream.ZoneOpen
	if slices.Contains(a.w.cordoned, ident.Zone(a.zone)) {
		state = upstream.ZoneCordoned
	}
	a.controller.SetZone(state)
	a.controller.Flush(a.w.Now())
}
