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
	newsLeast = 10 * time.Millisecond
	newsEach  = 3 * time.Millisecond
)

// linkedEntries lists the entries that are linked, from the oldest link on.
func (k *Keeper) linkedEntries() []ident.Incarnation {
	var out []ident.Incarnation
	for _, s := range k.order {
		if s.linked {
			out = append(out, s.entry)
		}
	}
	return out
}

// free returns the room that nothing has, or may have, taken.
func (k *Keeper) free() job.Resources {
	free := k.up.Total
	for _, r := range k.runs {
		if k.without.Off(rule.CountStopping) && (r.stop != nil || r.phase == unsure) {
			continue
		}
		free = free.Sub(r.each)
	}
	return free
}

// state returns the upstream's state as it is for all entries, and what decided it.
func (k *Keeper) state(now time.Time) (fleet.State, string) {
	return condition.Of(condition.Facts{
		AgentLeaves:     k.leaving,
		Draining:        k.draining,
		Ended:           k.departed,
		Described:       k.known && k.described,
		RoomHeard:       k.roomHeard || k.without.Off(rule.RoomHeard),
		Listed:          k.looked || k.without.Off(rule.LookFirst),
		EarlierLease:    now.Before(k.quietUntil),
		Silent:          k.failures >= unreachableAfter,
		Overdue:         k.unsure(now),
		UnknownRuns:     len(k.strays) > 0 && !k.without.Off(rule.LookFirst),
		StopUnconfirmed: k.mustLapse(now),
		CordonsUnknown:  k.zone == ZoneUnknown && !k.without.Off(rule.CordonKnown),
		EndsNotStored:   k.ends.Full(len(k.runs)),
		Cordoned:        k.cordoned(),
		Failing:         k.health.Suspect(),
	})
}

// stateFor returns the state that one entry is told.
func (k *Keeper) stateFor(now time.Time, entry ident.Incarnation) fleet.State {
	state, _ := k.state(now)
	return k.shown(now, state, entry)
}

// shown is the state that one entry is told while the upstream is in a state.
func (k *Keeper) shown(now time.Time, state fleet.State, entry ident.Incarnation) fleet.State {
	if state == fleet.Suspect && k.prober(now) == entry {
		return fleet.Probing
	}
	return state
}

// prober returns the entry that may send the next task to a suspect upstream, or zero.
func (k *Keeper) prober(now time.Time) ident.Incarnation {
	linked := k.linkedEntries()
	if len(k.runs) > 0 || len(linked) == 0 || !k.health.ProbeDue(now) {
		return 0
	}
	slices.Sort(linked)
	return k.health.Prober(now, linked)
}

// touchAll makes the next Flush tell all entries.
func (k *Keeper) touchAll() {
	if !slices.ContainsFunc(k.order, func(s *session) bool { return s.dirty }) {
		k.turn++ // else the same entry would always be the first to hear
	}
	for _, s := range k.order {
		s.dirty = true
	}
}

// Flush sends news of room where it is due.
func (k *Keeper) Flush(now time.Time) {
	k.startAlone(now)
	state, why := k.state(now)
	if state != k.told {
		k.observer.State(k.told, state, why)
		k.told = state
		for _, s := range k.order {
			s.dirty, s.urgent = true, true
		}
	}
	k.answerQuestions()
	for _, s := range k.order {
		if s.linked && (now.Sub(s.sent) >= k.timing.KeepAlive || s.dirty && s.urgent) {
			k.sendRoom(now, s, state)
		}
	}
	if next := k.nextTold(now); next != nil {
		k.newsAt = now
		k.sendRoom(now, next, state)
	}
}

// nextTold returns the entry whose turn it is to be told of room, or nil.
func (k *Keeper) nextTold(now time.Time) *session {
	if now.Sub(k.newsAt) < newsEach {
		return nil
	}
	for i := range k.order {
		at := (k.turn + i) % len(k.order)
		if s := k.order[at]; s.linked && s.dirty && now.Sub(s.sent) >= newsLeast {
			k.turn = at + 1
			return s
		}
	}
	return nil
}

// sendRoom tells an entry what room there is, while the upstream is in a state.
func (k *Keeper) sendRoom(now time.Time, s *session, state fleet.State) {
	s.dirty, s.urgent, s.sent = false, false, now
	free := k.free()
	if k.closed(now) {
		free = job.Resources{}
	}
	k.entries.Room(s.entry, fleet.Room{
		Free: free, Seq: s.seq, Clock: k.uptime(now), State: k.shown(now, state, s.entry), Pace: k.pace(),
	})
}
