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

// News of room wait for more: each entry is told at most every newsLeast, and one entry after the other, newsEach apart, so that an
// agent sends at most 333 such messages a second however many entries there are. At 300 VMs agents sent up to 248 kB a second
// without that bound. Telling all entries of the same room at once makes them race for it: with twelve entries and 67 upstreams that
// are asked for more than fits, one after the other costs 23,000 instead of 34,000 news and 8,200 instead of 10,500 orders a
// second, and 37% fewer orders find the room taken, at the same service (hillreel load).
const (
	roomInterval = 10 * time.Millisecond
	roomSpacing  = 3 * time.Millisecond
)

// linkedEntries lists the entries that are linked, from the oldest link on.
func (k *Controller) linkedEntries() []ident.Incarnation {
	var out []ident.Incarnation
	for _, s := range k.sessionOrder {
		if s.linked {
			out = append(out, s.entry)
		}
	}
	return out
}

// free returns the room that nothing has, or may have, taken.
func (k *Controller) free() job.Resources {
	free := k.info.Total
	for _, r := range k.runs {
		if k.without.Has(rule.CountStopping) && (r.stop != nil || r.phase == unsure) {
			continue
		}
		free = free.Sub(r.resources)
	}
	return free
}

// state returns the upstream's state as it is for all entries, and what decided it.
func (k *Controller) state(now time.Time) (fleet.State, string) {
	return condition.Evaluate(condition.Facts{
		AgentLeaving:    k.leaving,
		Draining:        k.draining,
		SaidEnded:       k.saidEnded,
		Described:       k.hasLife && k.described,
		RoomReported:    k.roomReported || k.without.Has(rule.RoomHeard),
		Listed:          k.runsKnown || k.without.Has(rule.LookFirst),
		EarlierLease:    now.Before(k.noAckUntil),
		Silent:          k.failedHolds >= unreachableAfter,
		AnswerOverdue:   k.mayHaveRestarted(now),
		UnknownRuns:     len(k.strays) > 0 && !k.without.Has(rule.LookFirst),
		StopUnconfirmed: k.mustLetLeaseLapse(now),
		CordonsUnknown:  k.zone == ZoneUnknown && !k.without.Has(rule.CordonKnown),
		EndsNotStored:   k.ends.Full(len(k.runs)),
		Cordoned:        k.isCordoned(),
		Failing:         k.health.IsSuspect(),
	})
}

// stateFor returns the state that one entry is told.
func (k *Controller) stateFor(now time.Time, entry ident.Incarnation) fleet.State {
	state, _ := k.state(now)
	return k.stateShownTo(now, state, entry)
}

// shown is the state that one entry is told while the upstream is in a state.
func (k *Controller) stateShownTo(now time.Time, state fleet.State, entry ident.Incarnation) fleet.State {
	if state == fleet.Suspect && k.selectProber(now) == entry {
		return fleet.Probing
	}
	return state
}

// prober returns the entry that may send the next task to a suspect upstream, or zero.
func (k *Controller) selectProber(now time.Time) ident.Incarnation {
	linked := k.linkedEntries()
	if len(k.runs) > 0 || len(linked) == 0 || !k.health.IsProbeDue(now) {
		return 0
	}
	slices.Sort(linked)
	return k.health.SelectProber(now, linked)
}

// touchAll makes the next Flush tell all entries.
func (k *Controller) markAllDirty() {
	if !slices.ContainsFunc(k.sessionOrder, func(s *session) bool { return s.dirty }) {
		k.roomTurn++ // else the same entry would always be the first to hear
	}
	for _, s := range k.sessionOrder {
		s.dirty = true
	}
}

// Flush sends news of room where it is due.
func (k *Controller) Flush(now time.Time) {
	k.startAlone(now)
	state, why := k.state(now)
	if state != k.announcedState {
		k.observer.StateChanged(k.announcedState, state, why)
		k.announcedState = state
		for _, s := range k.sessionOrder {
			s.dirty, s.urgent = true, true
		}
	}
	k.answerEndsQueries()
	for _, s := range k.sessionOrder {
		if s.linked && (now.Sub(s.roomSentAt) >= k.timing.KeepAlive || s.dirty && s.urgent) {
			k.sendRoom(now, s, state)
		}
	}
	if next := k.nextRoomRecipient(now); next != nil {
		k.roomTurnAt = now
		k.sendRoom(now, next, state)
	}
}

// nextTold returns the entry whose turn it is to be told of room, or nil.
func (k *Controller) nextRoomRecipient(now time.Time) *session {
	if now.Sub(k.roomTurnAt) < roomSpacing {
		return nil
	}
	for i := range k.sessionOrder {
		at := (k.roomTurn + i) % len(k.sessionOrder)
		if s := k.sessionOrder[at]; s.linked && s.dirty && now.Sub(s.roomSentAt) >= roomInterval {
			k.roomTurn = at + 1
			return s
		}
	}
	return nil
}

// sendRoom tells an entry what room there is, while the upstream is in a state.
func (k *Controller) sendRoom(now time.Time, s *session, state fleet.State) {
	s.dirty, s.urgent, s.roomSentAt = false, false, now
	free := k.free()
	if k.isReservedForAlone(now) {
		free = job.Resources{}
	}
	k.entries.Room(s.entry, fleet.Room{
		Free: free, Seq: s.seq, Clock: k.uptime(now), State: k.stateShownTo(now, state, s.entry), Pace: k.pace(),
	})
}
