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
	hasEchoed bool
	// seq is the newest order of the session that the account has taken in.
	seq uint64
	// dirty is true while there is news of room to tell, urgent when it can't wait for more; sent is when the last went.
	dirty, urgent bool
	roomSentAt    time.Time
	// settled is true once the entry was told that nothing of its earlier sessions remains.
	settledSent bool
	// unsent are the ends that wait for the entry's return.
	unsent []unsentEnd
	// ended is when the link ended.
	unlinkedAt time.Time
	// unconfirmed are the ends that were told since the newest reading that the entry has returned, the newest of many.
	unconfirmed []sentEnd
}

// toldEnd is an end with the agent's clock when it was told.
type sentEnd struct {
	end    fleet.End
	sentAt time.Duration
}

// noteTold notes that the entry is told of an end. Of a run that was not started none is noted: nothing depends on it.
func (s *session) recordSentEnd(at time.Duration, e fleet.End) {
	if e.Outcome == job.NotStarted || e.Outcome == job.Used {
		return
	}
	s.unconfirmed = append(s.unconfirmed, sentEnd{e, at})
	if len(s.unconfirmed) > maxUnsent {
		s.unconfirmed = s.unconfirmed[1:]
	}
}

// confirm forgets the ends that were told before the newest reading that has come back: messages of a session keep their order.
func (s *session) dropConfirmed() {
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(t sentEnd) bool { return t.sentAt <= s.echoed })
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
type unsentEnd struct {
	end     fleet.End
	endedAt time.Time
}

// maxUnsent bounds the ends that are kept for an entry whose session broke.
const maxUnsent = 256

// unsentFor is how long they are kept: an entry that is back later has settled its tasks by time.
const unsentTTL = 2 * time.Second

// Linked handles a new session with an entry.
func (k *Controller) EntryLinked(now time.Time, entry ident.Incarnation) {
	s := k.sessions[entry]
	if s == nil {
		s = &session{entry: entry}
		k.sessions[entry] = s
		k.sessionOrder = append(k.sessionOrder, s)
	}
	if s.linked {
		k.EntryUnlinked(now, entry, "replaced")
	}
	*s = session{
		entry: entry, epoch: s.epoch + 1, linked: true, dirty: true, urgent: true, unsent: s.unsent, echoed: s.echoed, hasEchoed: s.hasEchoed,
	}
	if k.hasLife && k.described {
		k.entries.Upstream(entry, k.info)
	}
	if k.isHeardRecently(now, s) {
		k.resumeRuns(s)
	} else {
		k.stopOrphans(now, entry, "silent")
	}
	for _, w := range k.ends.ListOwnedBy(entry) {
		k.entries.End(entry, w.End)
	}
	for _, l := range s.unsent {
		if now.Sub(l.endedAt) < unsentTTL {
			k.entries.End(entry, l.end)
		}
	}
	s.unsent = nil
	k.sendHoldings(now, entry)
	k.sendSettled(entry)
}

// resume lets the runs of an entry's earlier session go on under its new one, unless they are being stopped because
// nobody wants them.
func (k *Controller) resumeRuns(s *session) {
	var runs []fleet.OrderedRun
	for _, r := range k.sortedRuns() {
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
func (k *Controller) EntryUnlinked(now time.Time, entry ident.Incarnation, why string) {
	s := k.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	s.linked, s.unlinkedAt = false, now
	if ends := s.takeUnconfirmed(); len(ends) > 0 {
		k.observer.EndsUnconfirmed(entry, ends)
	}
	if !k.isHeardRecently(now, s) {
		k.stopOrphans(now, entry, why)
	}
}

// Gone handles that an entry has surely ended: its runs have nobody left who wants them.
func (k *Controller) EntryGone(now time.Time, entry ident.Incarnation, why string) {
	if s := k.sessions[entry]; s != nil && !s.linked {
		k.stopOrphans(now, entry, why)
	}
}

// forgetSessions drops entries that have been gone for so long that they have settled their tasks by time.
func (k *Controller) forgetSessions(now time.Time) {
	k.sessionOrder = slices.DeleteFunc(k.sessionOrder, func(s *session) bool {
		gone := !s.linked && now.Sub(s.unlinkedAt) > unsentTTL && !k.HasRunsOf(s.entry)
		if gone {
			delete(k.sessions, s.entry)
		}
		return gone
	})
}

// Owns tells whether a run of an entry is, or may be, at the upstream.
func (k *Controller) HasRunsOf(entry ident.Incarnation) bool {
	for _, r := range k.runs {
		if r.owner == entry || r.successor != nil && r.successor.owner == entry {
			return true
		}
	}
	return false
}

// orphan stops all runs of an entry. Nobody has wanted them since its silence was over, if that was earlier: time may pass late here.
func (k *Controller) stopOrphans(now time.Time, entry ident.Incarnation, why string) {
	if k.without.Has(rule.StopSilent) {
		return
	}
	n, since := 0, now
	if silent := k.silenceDeadline(k.sessions[entry]); silent.Before(now) {
		since = silent
	}
	k.dropAlone(fleet.StaleSession, func(w *pendingOrder) bool { return w.owner == entry })
	for _, r := range k.sortedRuns() {
		if r.successor != nil && r.successor.owner == entry {
			k.refuse(*r.successor, fleet.StaleSession) // its link may still stand, and nothing else would tell it
			r.successor = nil
		}
		if r.owner == entry && (r.stop == nil || !r.stop.unwanted) {
			k.stopRun(now, r, stopState{outcome: job.Stopped, reason: fleet.OnRequest, cause: StopCause(why), unwanted: true, urgentSince: since})
			n++
		}
	}
	if n > 0 {
		k.observer.RunsOrphaned(entry, n, why, k.overdueFor(now, k.sessions[entry]))
	}
}

// Ping handles a keep-alive of an entry; pace is the median of all upstreams' paces as it knows them, or zero.
func (k *Controller) Ping(now time.Time, entry ident.Incarnation, echoed time.Duration, pace float64) {
	if pace > 0 {
		k.medianPace = pace
	}
	if k.without.Has(rule.EchoedClock) {
		echoed = k.uptime(now)
	}
	if s := k.sessions[entry]; s != nil && s.linked && echoed > s.echoed {
		s.echoed, s.hasEchoed = echoed, true
		s.dropConfirmed()
	}
}

// heardLately tells whether an entry was heard recently enough to keep its runs. It counts from when the agent
// sent the reading that came back, so that a message held up on the way keeps nothing alive.
func (k *Controller) isHeardRecently(now time.Time, s *session) bool {
	return s.hasEchoed && now.Before(k.silenceDeadline(s))
}

// overdue is how long ago an entry should have been heard for its runs to be kept; zero is not yet.
func (k *Controller) overdueFor(now time.Time, s *session) time.Duration {
	if s == nil || !s.hasEchoed {
		return 0
	}
	return max(now.Sub(k.silenceDeadline(s)), 0)
}

// silentFrom is the moment from which on an entry's silence is too long, unless it is heard before.
func (k *Controller) silenceDeadline(s *session) time.Time {
	return k.start.Add(s.echoed + k.timing.Silence)
}

// fresh tells whether orders of an entry are taken.
func (k *Controller) acceptsOrdersOf(now time.Time, s *session) bool {
	return s != nil && s.linked && k.isHeardRecently(now, s)
}

// tellRun tells the owner of a run how it ended, or keeps that until the owner is back.
func (k *Controller) sendRunEnd(now time.Time, r *run, e fleet.End) {
	s := k.sessions[r.owner]
	if s == nil {
		return
	}
	if !s.linked && e.Kept {
		return // it is withheld, and told when the owner is back
	}
	if !s.linked {
		s.unsent = append(s.unsent, unsentEnd{e, now})
		if len(s.unsent) > maxUnsent {
			s.unsent = s.unsent[1:]
		}
		return
	}
	s.recordSentEnd(k.uptime(now), e)
	k.sendEnd(r.owner, e)
}

func (k *Controller) sendEnd(to ident.Incarnation, e fleet.End) {
	s := k.sessions[to]
	if s == nil || !s.linked {
		return
	}
	s.urgent, s.dirty = true, true
	k.entries.End(to, e)
}

// settle tells an entry once that no run of its earlier sessions remains.
func (k *Controller) sendSettled(entry ident.Incarnation) {
	s := k.sessions[entry]
	if s == nil || !s.linked || s.settledSent {
		return
	}
	for _, r := range k.runs {
		if r.owner == entry && r.epoch != s.epoch {
			return
		}
	}
	s.settledSent = true
	k.entries.Settled(entry)
}
