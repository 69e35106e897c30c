package upstream

import (
	"slices"
	"time"

	"hillreel/internal/agent/condition"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Messages about room are combined: each entry gets at most one per roomInterval, and the entries get theirs one after the other,
// roomSpacing apart, so that an agent sends at most 333 of them a second however many entries there are. Without that bound, agents sent
// up to 248 kB a second at 300 VMs. Entries that learn of the same room at once compete for it: with twelve entries, 67 upstreams and
// more work than fits, sending in turn takes 23,000 instead of 34,000 messages and 8,200 instead of 10,500 orders a second, and 37% fewer
// orders find the room taken, at the same level of service (hillreel load).
const (
	roomInterval = 10 * time.Millisecond
	roomSpacing  = 3 * time.Millisecond
)

// linkedEntries returns the linked entries in the order of their first links.
func (u *Controller) linkedEntries() []ident.Incarnation {
	var out []ident.Incarnation
	for _, s := range u.sessionOrder {
		if s.linked {
			out = append(out, s.entry)
		}
	}
	return out
}

// free returns the room that no run takes or may take.
func (u *Controller) free() job.Resources {
	free := u.info.Total
	for _, r := range u.runs {
		if u.without.Has(rule.CountStopping) && (r.stop != nil || r.phase == unsure) {
			continue
		}
		free = free.Sub(r.resources)
	}
	return free
}

// state returns the upstream's state as it is for all entries, and the fact that decided it.
func (u *Controller) state(now time.Time) (fleet.State, string) {
	return condition.Evaluate(condition.Facts{
		AgentLeaving:    u.leaving,
		Draining:        u.draining,
		SaidEnded:       u.saidEnded,
		Described:       u.hasLife && u.described,
		RoomReported:    u.roomReported || u.without.Has(rule.RoomHeard),
		Listed:          u.runsKnown || u.without.Has(rule.LookFirst),
		EarlierLease:    now.Before(u.noAckUntil),
		Silent:          u.failedHolds >= unreachableAfter,
		AnswerOverdue:   u.mayHaveRestarted(now),
		UnknownRuns:     len(u.strays) > 0 && !u.without.Has(rule.LookFirst),
		StopUnconfirmed: u.mustLetLeaseLapse(now),
		CordonsUnknown:  u.zone == ZoneUnknown && !u.without.Has(rule.CordonKnown),
		EndsNotStored:   u.ends.Full(len(u.runs)),
		Cordoned:        u.isCordoned(),
		Failing:         u.health.IsSuspect(),
	})
}

// stateFor returns the state that is reported to one entry.
func (u *Controller) stateFor(now time.Time, entry ident.Incarnation) fleet.State {
	state, _ := u.state(now)
	return u.stateShownTo(now, state, entry)
}

// stateShownTo returns the state that is reported to one entry while the upstream is in state.
func (u *Controller) stateShownTo(now time.Time, state fleet.State, entry ident.Incarnation) fleet.State {
	if state == fleet.Suspect && u.selectProber(now) == entry {
		return fleet.Probing
	}
	return state
}

// selectProber returns the entry that may send the next task to a suspect upstream; zero if none may.
func (u *Controller) selectProber(now time.Time) ident.Incarnation {
	linked := u.linkedEntries()
	if len(u.runs) > 0 || len(linked) == 0 || !u.health.IsProbeDue(now) {
		return 0
	}
	slices.Sort(linked)
	return u.health.SelectProber(now, linked)
}

// markAllDirty makes Flush report the room to all entries.
func (u *Controller) markAllDirty() {
	if !slices.ContainsFunc(u.sessionOrder, func(s *session) bool { return s.dirty }) {
		u.roomTurn++ // otherwise the same entry would always be the first
	}
	for _, s := range u.sessionOrder {
		s.dirty = true
	}
}

// Flush sends what is due: the state, answers to queries, and messages about room.
func (u *Controller) Flush(now time.Time) {
	u.startAlone(now)
	state, why := u.state(now)
	if state != u.announcedState {
		u.observer.StateChanged(u.announcedState, state, why)
		u.announcedState = state
		for _, s := range u.sessionOrder {
			s.dirty, s.urgent = true, true
		}
	}
	u.answerEndsQueries()
	u.updateReservations(now, state)
	for _, s := range u.sessionOrder {
		if s.linked && (now.Sub(s.roomSentAt) >= u.timing.KeepAlive || s.dirty && s.urgent) {
			u.sendRoom(now, s, state)
		}
	}
	if next := u.nextRoomRecipient(now); next != nil {
		u.roomTurnAt = now
		u.sendRoom(now, next, state)
	}
}

// nextRoomRecipient returns the session whose turn it is to get a message about room, or nil.
func (u *Controller) nextRoomRecipient(now time.Time) *session {
	if now.Sub(u.roomTurnAt) < roomSpacing {
		return nil
	}
	for i := range u.sessionOrder {
		at := (u.roomTurn + i) % len(u.sessionOrder)
		if s := u.sessionOrder[at]; s.linked && s.dirty && now.Sub(s.roomSentAt) >= roomInterval {
			u.roomTurn = at + 1
			return s
		}
	}
	return nil
}

// sendRoom reports the room to an entry, while the upstream is in state.
func (u *Controller) sendRoom(now time.Time, s *session, state fleet.State) {
	s.dirty, s.urgent, s.roomSentAt = false, false, now
	u.entries.Room(s.entry, fleet.Room{
		Free: u.availableTo(s.entry), Reserved: u.claims.ReservedFor(s.entry), Seq: s.seq, Clock: u.uptime(now), State: u.stateShownTo(now, state, s.entry), Pace: u.pace(), Suspects: u.suspectsOf(s.entry),
	})
}
