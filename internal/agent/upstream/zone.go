package upstream

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/rule"
)

// ZoneState says whether operators have cordoned the availability zone of the agent's VM.
type ZoneState string

// The states of a zone.
const (
	// ZoneUnknown: nobody has told yet. Nothing is started: the cordon may be as old as the region.
	ZoneUnknown ZoneState = "unknown"
	// ZoneOpen: it is not cordoned. A new Keeper takes this for granted.
	ZoneOpen ZoneState = "open"
	// ZoneCordoned: nothing new is started; what runs goes on to its end.
	ZoneCordoned ZoneState = "cordoned"
)

// SetZone notes what is known of the zone. The agent is the last to decide: an entry that has not heard of a cordon goes on
// ordering, and is told with the refusal.
func (k *Controller) SetZone(s ZoneState) {
	if s == k.zone {
		return
	}
	k.zone = s
	k.markAllDirty()
}

// cordoned tells whether nothing may be started for the zone's sake.
func (k *Controller) isCordoned() bool {
	return k.zone == ZoneCordoned && !k.without.Has(rule.CordonGate)
}

// gate refuses an order because the zone is cordoned. Nothing was begun, so that the task can be placed elsewhere at once.
func (k *Controller) refuseCordoned(w pendingOrder) {
	k.observer.OrderGated(w.order.Task(w.index), w.owner)
	k.refuse(w, fleet.ZoneCordoned)
}
