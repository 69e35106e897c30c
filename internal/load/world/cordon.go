package world

import (
	"slices"
	"time"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/ident"
	"hillreel/internal/load/plan"
)

// maxCordonDelay is the longest time until a process learns of a changed cordon: from its feed of the store, which answers within
// milliseconds, or from other processes.
const maxCordonDelay = 50 * time.Millisecond

// cordon cordons the zone of a fault and lifts the cordon when the fault ends.
func (w *World) cordon(f *plan.Fault) {
	w.setCordoned(f.Zone, true)
	w.After(f.For, func() { w.setCordoned(f.Zone, false) })
}

// setCordoned changes the cordon of a zone. Each process learns of the change after a delay.
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

// drawCordonDelay draws the time until a process learns of a changed cordon.
func (w *World) drawCordonDelay() time.Duration {
	return time.Duration(w.faultRNG.Int64N(int64(maxCordonDelay)))
}

// applyCordons hands the current cordons to the entry's table.
func (e *entry) applyCordons() {
	if e.alive {
		e.table.SetCordoned(e.w.Now(), e.w.cordoned)
	}
}

// applyCordons tells the agent's controller whether its zone is cordoned.
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
