// Package condition decides in which state an agent says that its upstream is.
//
// It takes what the agent knows, and calls no upstream ready while a run that it does not know may be there, or a cordon that it has not heard of.
package condition

import "hillreel/internal/core/fleet"

// Facts are what an agent knows of its upstream.
type Facts struct {
	// AgentLeaves: the agent is about to end.
	AgentLeaving bool
	// Draining: the upstream has said that it leaves; Ended: that it has ended.
	Draining, SaidEnded bool
	// Described: a life of the upstream is known, with its room. RoomHeard: this life of the agent has heard of the room.
	Described, RoomReported bool
	// Listed: the upstream has listed what runs there.
	Listed bool
	// EarlierLease: a lease that an earlier life of the agent has extended may not be over.
	EarlierLease bool
	// Silent: several calls got no answer. Overdue: one is so late that another life may have begun.
	Silent, AnswerOverdue bool
	// UnknownRuns: runs that the agent does not know are there. StopUnconfirmed: a run that nobody wants may still go on.
	UnknownRuns, StopUnconfirmed bool
	// CordonsUnknown: the agent has not heard which zones are cordoned. Cordoned: its own is.
	CordonsUnknown, Cordoned bool
	// EndsNotStored: as many ends as the agent may hold back wait to be stored.
	EndsNotStored bool
	// Failing: runs there have failed one after the other.
	Failing bool
}

// Of returns the state for all entries, and what decided it.
func Evaluate(f Facts) (state fleet.State, why string) {
	switch {
	case f.AgentLeaving:
		return fleet.Leaving, "agent_leaving"
	case f.Draining:
		return fleet.Leaving, "draining"
	case f.SaidEnded:
		return fleet.Leaving, "said_it_ended"
	case !f.Described:
		return fleet.Clearing, "no_heartbeat"
	case !f.RoomReported:
		return fleet.Clearing, "room_not_heard"
	case !f.Listed:
		return fleet.Clearing, "not_listed_yet"
	case f.EarlierLease:
		return fleet.Clearing, "earlier_lease"
	case f.Silent:
		return fleet.Unreachable, "no_answer"
	case f.AnswerOverdue:
		return fleet.Unreachable, "answer_overdue"
	case f.UnknownRuns:
		return fleet.Clearing, "unknown_runs"
	case f.StopUnconfirmed:
		return fleet.Clearing, "stop_unconfirmed"
	case f.CordonsUnknown:
		return fleet.Clearing, "cordons_not_known"
	case f.EndsNotStored:
		return fleet.Clearing, "ends_not_stored"
	case f.Cordoned:
		return fleet.Cordoned, "zone_cordoned"
	case f.Failing:
		return fleet.Suspect, "failing"
	}
	return fleet.Ready, "sound"
}
