package upstream

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// session is what an agent knows of one entry.
type session struct {
	entry ident.Incarnation
	// epoch counts the entry's sessions; a run has that of the session which ordered it.
	epoch  uint64
	linked bool
	// echoed is the newest reading of the agent's clock that the entry has returned.
	echoed time.Duration
	// heard is false until the session has returned a reading.
	heard bool
	// seq is the newest order of the session that the account has taken in.
	seq uint64
	// dirty is true while there is news of room to tell, urgent when it can't wait for more; sent is when the last went.
	dirty, urgent bool
	sent          time.Time
	// settled is true once the entry was told that nothing of its earlier sessions remains.
	settled bool
	// unsent are the ends that wait for the entry's return.
	unsent []late
	// ended is when the link ended.
	ended time.Time
	// unconfirmed are the ends that were told since the newest reading that the entry has returned, the newest of many.
	unconfirmed []toldEnd
}

// toldEnd is an end with the agent's clock when it was told.
type toldEnd struct {
	end fleet.End
	at  time.Duration
}

// noteTold notes that the entry is told of an end. Of a run that was not started none is noted: nothing depends on it.
func (s *session) noteTold(at time.Duration, e fleet.End) {
	if e.Outcome == job.NotStarted || e.Outcome == job.Used {
		return
	}
	s.unconfirmed = append(s.unconfirmed, toldEnd{e, at})
	if len(s.unconfirmed) > maxUnsent {
		s.unconfirmed = s.unconfirmed[1:]
	}
}

// confirm forgets the ends that were told before the newest reading that has come back: messages of a session keep their order.
func (s *session) confirm() {
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(t toldEnd) bool { return t.at <= s.echoed })
}

// takeUnconfirmed returns the ends of which it isn't known whether the entry has heard, and forgets them.
func (s *session) takeUnconfirmed() []fleet.End {
	var out []fleet.End
	for _, t := range s.unconfirmed {
		out = append(out, t.end)
	}
	s.unconfirmed = nil
	return out
}

// late is an end that could not be told yet.
type late struct {
	end fleet.End
	at  time.Time
}

// maxUnsent bounds the ends that are kept for an entry whose session broke.
const maxUnsent = 256

// unsentFor is how long they are kept: an entry that is back later has settled its tasks by time.
const unsentFor = 2 * time.Second

// Linked handles a new session with an entry.
func (k *Keeper) Linked(now time.Time, entry ident.Incarnation) {
	s := k.sessions[entry]
	if s == nil {
		s = &session{entry: entry}
		k.sessions[entry] = s
		k.order = append(k.order, s)
	}
	if s.linked {
		k.Unlinked(now, entry, "replaced")
	}
	*s = session{
		entry: entry, epoch: s.epoch + 1, linked: true, dirty: true, urgent: true, unsent: s.unsent, echoed: s.echoed, heard: s.heard,
	}
	if k.known && k.described {
		k.entries.Upstream(entry, k.up)
	}
	if k.heardLately(now, s) {
		k.resume(s)
	} else {
		k.orphan(now, entry, "silent")
	}
	for _, w := range k.ends.Of(entry) {
		k.entries.End(entry, w.End)
	}
	for _, l := range s.unsent {
		if now.Sub(l.at) < unsentFor {
			k.entries.End(entry, l.end)
		}
	}
	s.unsent = nil
	k.greetHolding(now, entry)
	k.settle(entry)
}

// resume lets the runs of an entry's earlier session go on under its new one, unless they are being stopped because
// nobody wants them.
func (k *Keeper) resume(s *session) {
	var runs []fleet.OrderedRun
	for _, r := range k.sorted() {
		if r.owner == s.entry && (r.stop == nil || !r.stop.unwanted) {
			r.epoch = s.epoch
			runs = append(runs, r.ordered())
		}
	}
	if len(runs) > 0 {
		k.entries.Resumed(s.entry, runs)
	}
}

// Unlinked handles the end of an entry's session. A link that was reset is back in a moment, so its runs go on until
// the entry has not been heard for the silence.
func (k *Keeper) Unlinked(now time.Time, entry ident.Incarnation, why string) {
	s := k.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	s.linked, s.ended = false, now
	if ends := s.takeUnconfirmed(); len(ends) > 0 {
		k.observer.Unconfirmed(entry, ends)
	}
	if !k.heardLately(now, s) {
		k.orphan(now, entry, why)
	}
}

// Gone handles that an entry has surely ended: its runs have nobody left who wants them.
func (k *Keeper) Gone(now time.Time, entry ident.Incarnation, why string) {
	if s := k.sessions[entry]; s != nil && !s.linked {
		k.orphan(now, entry, why)
	}
}

// forgetSessions drops entries that have been gone for so long that they have settled their tasks by time.
func (k *Keeper) forgetSessions(now time.Time) {
	k.order = slices.DeleteFunc(k.order, func(s *session) bool {
		gone := !s.linked && now.Sub(s.ended) > unsentFor && !k.Owns(s.entry)
		if gone {
			delete(k.sessions, s.entry)
		}
		return gone
	})
}

// Owns tells whether a run of an entry is, or may be, at the upstream.
func (k *Keeper) Owns(entry ident.Incarnation) bool {
	for _, r := range k.runs {
		if r.owner == entry || r.next != nil && r.next.owner == entry {
			return true
		}
	}
	return false
}

// orphan stops all runs of an entry. Nobody has wanted them since its silence was over, if that was earlier: time may pass late here.
func (k *Keeper) orphan(now time.Time, entry ident.Incarnation, why string) {
	if k.without.Off(rule.StopSilent) {
		return
	}
	n, since := 0, now
	if silent := k.silentFrom(k.sessions[entry]); silent.Before(now) {
		since = silent
	}
	k.dropAlone(fleet.StaleSession, func(w *waiting) bool { return w.owner == entry })
	for _, r := range k.sorted() {
		if r.next != nil && r.next.owner == entry {
			k.refuse(*r.next, fleet.StaleSession) // its link may still stand, and nothing else would tell it
			r.next = nil
		}
		if r.owner == entry && (r.stop == nil || !r.stop.unwanted) {
			k.stopRun(now, r, stopping{outcome: job.Stopped, reason: fleet.OnRequest, cause: StopCause(why), unwanted: true, since: since})
			n++
		}
	}
	if n > 0 {
		k.observer.Orphaned(entry, n, why, k.overdue(now, k.sessions[entry]))
	}
}

// Ping handles a keep-alive of an entry; pace is the median of all upstreams' paces as it knows them, or zero.
func (k *Keeper) Ping(now time.Time, entry ident.Incarnation, echoed time.Duration, pace float64) {
	if pace > 0 {
		k.median = pace
	}
	if k.without.Off(rule.EchoedClock) {
		echoed = k.uptime(now)
	}
	if s := k.sessions[entry]; s != nil && s.linked && echoed > s.echoed {
		s.echoed, s.heard = echoed, true
		s.confirm()
	}
}

// heardLately tells whether an entry was heard recently enough to keep its runs. It counts from when the agent
// sent the reading that came back, so that a message held up on the way keeps nothing alive.
func (k *Keeper) heardLately(now time.Time, s *session) bool {
	return s.heard && now.Before(k.silentFrom(s))
}

// overdue is how long ago an entry should have been heard for its runs to be kept; zero is not yet.
func (k *Keeper) overdue(now time.Time, s *session) time.Duration {
	if s == nil || !s.heard {
		return 0
	}
	return max(now.Sub(k.silentFrom(s)), 0)
}

// silentFrom is the moment from which on an entry's silence is too long, unless it is heard before.
func (k *Keeper) silentFrom(s *session) time.Time { return k.start.Add(s.echoed + k.timing.Silence) }

// fresh tells whether orders of an entry are taken.
func (k *Keeper) fresh(now time.Time, s *session) bool {
	return s != nil && s.linked && k.heardLately(now, s)
}

// tellRun tells the owner of a run how it ended, or keeps that until the owner is back.
func (k *Keeper) tellRun(now time.Time, r *run, e fleet.End) {
	s := k.sessions[r.owner]
	if s == nil {
		return
	}
	if !s.linked && e.Kept {
		return // it is withheld, and told when the owner is back
	}
	if !s.linked {
		s.unsent = append(s.unsent, late{e, now})
		if len(s.unsent) > maxUnsent {
			s.unsent = s.unsent[1:]
		}
		return
	}
	s.noteTold(k.uptime(now), e)
	k.tell(r.owner, e)
}

func (k *Keeper) tell(to ident.Incarnation, e fleet.End) {
	s := k.sessions[to]
	if s == nil || !s.linked {
		return
	}
	s.urgent, s.dirty = true, true
	k.entries.End(to, e)
}

// settle tells an entry once that no run of its earlier sessions remains.
func (k *Keeper) settle(entry ident.Incarnation) {
	s := k.sessions[entry]
	if s == nil || !s.linked || s.settled {
		return
	}
	for _, r := range k.runs {
		if r.owner == entry && r.epoch != s.epoch {
			return
		}
	}
	s.settled = true
	k.entries.Settled(entry)
}
