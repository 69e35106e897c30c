package upstream

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// coalesce is how long news of room may wait for more. At 45 starts and as many ends a second an agent would
// otherwise send each of three entries 90 messages a second.
const coalesce = 10 * time.Millisecond

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
	switch {
	case k.leaving:
		return fleet.Leaving, "draining"
	case !k.known:
		return fleet.Clearing, "no_heartbeat"
	case !k.looked && !k.without.Off(rule.LookFirst):
		return fleet.Clearing, "not_listed_yet"
	case k.failures >= unreachableAfter:
		return fleet.Unreachable, "no_answer"
	case len(k.strays) > 0 && !k.without.Off(rule.LookFirst):
		return fleet.Clearing, "unknown_runs"
	case k.mustLapse(now):
		return fleet.Clearing, "stop_unconfirmed"
	case k.health.suspect:
		return fleet.Suspect, "failing"
	}
	return fleet.Ready, "sound"
}

// stateFor returns the state that one entry is told.
func (k *Keeper) stateFor(now time.Time, entry ident.Incarnation) fleet.State {
	state, _ := k.state(now)
	if state == fleet.Suspect && k.prober(now) == entry {
		return fleet.Probing
	}
	return state
}

// prober returns the entry that may send the next task to a suspect upstream, or zero.
func (k *Keeper) prober(now time.Time) ident.Incarnation {
	if len(k.runs) > 0 || now.Before(k.health.probeAt) {
		return 0
	}
	var linked []ident.Incarnation
	for _, s := range k.order {
		if s.linked {
			linked = append(linked, s.entry)
		}
	}
	if len(linked) == 0 {
		return 0
	}
	slices.Sort(linked)
	// An entry that has nothing to send loses its turn after a while.
	turn := int(now.Sub(k.health.probeAt) / probeTurn)
	return linked[(k.health.probes+turn)%len(linked)]
}

// touchAll makes the next Flush tell all entries.
func (k *Keeper) touchAll() {
	for _, s := range k.order {
		s.dirty = true
	}
}

// Flush sends news of room where it is due.
func (k *Keeper) Flush(now time.Time) {
	state, why := k.state(now)
	if state != k.told {
		k.observer.State(k.told, state, why)
		k.told = state
		for _, s := range k.order {
			s.dirty, s.urgent = true, true
		}
	}
	for _, s := range k.order {
		if !s.linked {
			continue
		}
		since := now.Sub(s.sent)
		if since >= k.timing.KeepAlive || s.dirty && (s.urgent || since >= coalesce) {
			k.sendRoom(now, s)
		}
	}
}

func (k *Keeper) sendRoom(now time.Time, s *session) {
	s.dirty, s.urgent, s.sent = false, false, now
	k.entries.Room(s.entry, fleet.Room{
		Free: k.free(), Seq: s.seq, Clock: k.uptime(now), State: k.stateFor(now, s.entry), Pace: k.health.pace,
	})
}
