package upstream

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/rule"
)

// ZoneState says whether operators have cordoned the availability zone of the agent's VM.
type ZoneState string

// The states of a zone.
const (
	// ZoneUnknown: it is not known yet. Nothing is started, since the zone may have been cordoned long ago.
	ZoneUnknown ZoneState = "unknown"
	// ZoneOpen: the zone is not cordoned. A new Controller begins in this state.
	ZoneOpen ZoneState = "open"
	// ZoneCordoned: no task is started; present runs go on to their ends.
	ZoneCordoned ZoneState = "cordoned"
)

// SetZone sets what is known of the zone. The agent makes the final check: an entry that doesn't know of a cordon yet goes on ordering,
// and learns of the cordon by the refusal.
func (u *Controller) SetZone(s ZoneState) {
	if s == u.zone {
		return
	}
	u.zone = s
	u.markAllDirty()
}

// isCordoned reports whether nothing may be started because the zone is cordoned.
func (u *Controller) isCordoned() bool {
	return u.zone == ZoneCordoned && !u.without.Has(rule.CordonGate)
}

// refuseCordoned refuses an order because the zone is cordoned. Nothing was started, so that the task can be placed elsewhere at once.
func (u *Controller) refuseCordoned(p pendingOrder) {
	u.observer.OrderGated(p.order.Task(p.index), p.owner)
	u.refuse(p, fleet.ZoneCordoned)
}
