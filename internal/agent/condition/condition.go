// Package condition decides which state an agent reports for its upstream.
//
// The state is never ready while a run that the agent doesn't know may be at the upstream, or while the agent doesn't know all cordons.
package condition

import "hillreel/internal/core/fleet"

// Facts holds what an agent knows of its upstream.
type Facts struct {
	// AgentLeaving: the agent is about to end.
	AgentLeaving bool
	// Draining: the upstream has announced that it ends soon. SaidEnded: it has sent a message that it has ended.
	Draining, SaidEnded bool
	// Described: a heartbeat has described the present life of the upstream. RoomReported: this incarnation of the agent knows the room
	// from a heartbeat.
	Described, RoomReported bool
	// Listed: the upstream has listed what runs there.
	Listed bool
	// EarlierLease: a lease that an earlier incarnation of the agent has extended may still be in force.
	EarlierLease bool
	// Silent: several consecutive calls got no answer. AnswerOverdue: an answer is so late that another life may have begun.
	Silent, AnswerOverdue bool
	// UnknownRuns: the upstream has runs that the agent doesn't know. StopUnconfirmed: a run that nobody wants may still go on, or an end
	// that was made void waits for the lease to lapse.
	UnknownRuns, StopUnconfirmed bool
	// CordonsUnknown: the agent doesn't know which zones are cordoned. Cordoned: its own zone is cordoned.
	CordonsUnknown, Cordoned bool
	// EndsNotStored: so many ends wait to be stored that the ends of present runs might not be listed.
	EndsNotStored bool
	// Failing: consecutive runs have failed there.
	Failing bool
}

// Evaluate returns the state as it is for all entries, and the fact that decided it.
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
