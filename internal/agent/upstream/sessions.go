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
	// epoch counts the sessions of the entry. A run has the epoch of the session that ordered it, or that has resumed it.
	epoch  uint64
	linked bool
	// echoed is the newest reading of the agent's clock that the entry has echoed.
	echoed time.Duration
	// hasEchoed is true once the entry has echoed a reading.
	hasEchoed bool
	// seq is the number of the newest order of the session that was handled.
	seq uint64
	// dirty is true while a message about room is due, urgent if that must not wait for its turn. roomSentAt is when the last one was
	// sent.
	dirty, urgent bool
	roomSentAt    time.Time
	// settledSent is true once the entry was told that nothing of its earlier sessions remains.
	settledSent bool
	// unsent holds the ends that will be sent when the entry links again.
	unsent []unsentEnd
	// unlinkedAt is when the link ended.
	unlinkedAt time.Time
	// unconfirmed holds the newest ends, maxUnsent at most, that were sent after the newest reading that the entry has echoed.
	unconfirmed []sentEnd
}

// sentEnd is an end with the agent's clock at the time when it was sent.
type sentEnd struct {
	end    fleet.End
	sentAt time.Duration
}

// recordSentEnd records that an end is sent to the entry. Ends of runs that were not started are left out: nothing depends on them.
func (s *session) recordSentEnd(at time.Duration, e fleet.End) {
	if e.Outcome == job.NotStarted || e.Outcome == job.Used {
		return
	}
	s.unconfirmed = append(s.unconfirmed, sentEnd{e, at})
	if len(s.unconfirmed) > maxUnsent {
		s.unconfirmed = s.unconfirmed[1:]
	}
}

// dropConfirmed removes the ends that were sent before the newest echoed reading: messages of a session keep their order.
func (s *session) dropConfirmed() {
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(t sentEnd) bool { return t.sentAt <= s.echoed })
}

// takeUnconfirmed returns the ends that the entry may not have received, and removes them.
func (s *session) takeUnconfirmed() []fleet.End {
	var out []fleet.End
	for _, t := range s.unconfirmed {
		out = append(out, t.end)
	}
	s.unconfirmed = nil
	return out
}

// unsentEnd is an end that could not be sent yet.
type unsentEnd struct {
	end     fleet.End
	endedAt time.Time
}

// maxUnsent bounds the ends that are kept for an entry whose session broke.
const maxUnsent = 256

// unsentTTL is how long unsent ends are kept. An entry that links again later has by then settled its tasks by timeout.
const unsentTTL = 2 * time.Second

// EntryLinked handles a new session with an entry.
func (u *Controller) EntryLinked(now time.Time, entry ident.Incarnation) {
	s := u.sessions[entry]
	if s == nil {
		s = &session{entry: entry}
		u.sessions[entry] = s
		u.sessionOrder = append(u.sessionOrder, s)
	}
	if s.linked {
		u.EntryUnlinked(now, entry, "replaced")
	}
	*s = session{
		entry: entry, epoch: s.epoch + 1, linked: true, dirty: true, urgent: true, unsent: s.unsent, echoed: s.echoed, hasEchoed: s.hasEchoed,
	}
	if u.hasLife && u.described {
		u.entries.Upstream(entry, u.describe())
	}
	if u.isHeardRecently(now, s) {
		u.resumeRuns(s)
	} else {
		u.stopOrphans(now, entry, "silent")
	}
	for _, w := range u.ends.ListOwnedBy(entry) {
		u.entries.End(entry, w.End)
	}
	for _, l := range s.unsent {
		if now.Sub(l.endedAt) < unsentTTL {
			u.entries.End(entry, l.end)
		}
	}
	s.unsent = nil
	u.sendHoldings(now, entry)
	u.sendSettled(entry)
}

// resumeRuns moves the runs of an entry's earlier session to its new one, except runs that are being stopped because nobody wants them.
func (u *Controller) resumeRuns(s *session) {
	var runs []fleet.OrderedRun
	for _, r := range u.sortedRuns() {
		if r.owner == s.entry && (r.stop == nil || !r.stop.unwanted) {
			r.epoch = s.epoch
			runs = append(runs, r.ordered())
		}
	}
	if len(runs) > 0 {
		u.entries.Resumed(s.entry, runs)
	}
}

// EntryUnlinked handles the end of an entry's session. An entry whose link was only reset links again at once, so its runs go on until
// its silence deadline.
func (u *Controller) EntryUnlinked(now time.Time, entry ident.Incarnation, why string) {
	s := u.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	s.linked, s.unlinkedAt = false, now
	u.claims.Drop(entry)
	if ends := s.takeUnconfirmed(); len(ends) > 0 {
		u.observer.EndsUnconfirmed(entry, ends)
	}
	if !u.isHeardRecently(now, s) {
		u.stopOrphans(now, entry, why)
	}
}

// EntryGone handles that an entry has certainly ended: nobody wants its runs any more.
func (u *Controller) EntryGone(now time.Time, entry ident.Incarnation, why string) {
	if s := u.sessions[entry]; s != nil && !s.linked {
		u.stopOrphans(now, entry, why)
	}
}

// forgetSessions removes entries that have been unlinked for so long that they have settled their tasks by timeout.
func (u *Controller) forgetSessions(now time.Time) {
	u.sessionOrder = slices.DeleteFunc(u.sessionOrder, func(s *session) bool {
		gone := !s.linked && now.Sub(s.unlinkedAt) > unsentTTL && !u.HasRunsOf(s.entry)
		if gone {
			delete(u.sessions, s.entry)
		}
		return gone
	})
}

// HasRunsOf reports whether a run of an entry is, or may be, at the upstream, or an order of the entry waits for the end of a run.
func (u *Controller) HasRunsOf(entry ident.Incarnation) bool {
	for _, r := range u.runs {
		if r.owner == entry || r.successor != nil && r.successor.owner == entry {
			return true
		}
	}
	return false
}

// stopOrphans stops all runs of an entry that is lost. If the entry's silence deadline has passed, the runs count as unwanted from then
// on: the tick that notices it may be late.
func (u *Controller) stopOrphans(now time.Time, entry ident.Incarnation, why string) {
	if u.without.Has(rule.StopSilent) {
		return
	}
	n, since := 0, now
	if silent := u.silenceDeadline(u.sessions[entry]); silent.Before(now) {
		since = silent
	}
	u.dropAlone(fleet.StaleSession, func(p *pendingOrder) bool { return p.owner == entry })
	for _, r := range u.sortedRuns() {
		if r.successor != nil && r.successor.owner == entry {
			u.refuse(*r.successor, fleet.StaleSession) // the entry's link may still be up, and no other message reports this
			r.successor = nil
		}
		if r.owner == entry && (r.stop == nil || !r.stop.unwanted) {
			u.stopRun(now, r, stopState{outcome: job.Stopped, reason: fleet.OnRequest, cause: StopCause(why), unwanted: true, urgentSince: since})
			n++
		}
	}
	if n > 0 {
		u.observer.RunsOrphaned(entry, n, why, u.overdueFor(now, u.sessions[entry]))
	}
}

// Ping handles a keep-alive of an entry. echoed is the newest reading of the agent's clock that the entry has received; pace is the
// median of all upstreams' paces as the entry knows them, or zero.
func (u *Controller) Ping(now time.Time, entry ident.Incarnation, echoed time.Duration, pace float64) {
	if pace > 0 {
		u.medianPace = pace
	}
	if u.without.Has(rule.EchoedClock) {
		echoed = u.uptime(now)
	}
	if s := u.sessions[entry]; s != nil && s.linked && echoed > s.echoed {
		s.echoed, s.hasEchoed = echoed, true
		s.dropConfirmed()
	}
}

// isHeardRecently reports whether an entry was heard recently enough to keep its runs. The silence counts from the time when the agent
// sent the echoed reading, so that a delayed message keeps no runs alive.
func (u *Controller) isHeardRecently(now time.Time, s *session) bool {
	return s.hasEchoed && now.Before(u.silenceDeadline(s))
}

// overdueFor returns how long ago the silence deadline of an entry passed; zero if it has not.
func (u *Controller) overdueFor(now time.Time, s *session) time.Duration {
	if s == nil || !s.hasEchoed {
		return 0
	}
	return max(now.Sub(u.silenceDeadline(s)), 0)
}

// silenceDeadline returns the time at which an entry counts as lost, unless it is heard before.
func (u *Controller) silenceDeadline(s *session) time.Time {
	return u.start.Add(s.echoed + u.timing.Silence)
}

// acceptsOrdersOf reports whether orders of a session are accepted.
func (u *Controller) acceptsOrdersOf(now time.Time, s *session) bool {
	return s != nil && s.linked && u.isHeardRecently(now, s)
}

// sendRunEnd sends the end of a run to its owner, or keeps it until the owner links again.
func (u *Controller) sendRunEnd(now time.Time, r *run, e fleet.End) {
	s := u.sessions[r.owner]
	if s == nil {
		return
	}
	if !s.linked && e.Kept {
		return // it is withheld, and sent when the owner links again
	}
	if !s.linked {
		s.unsent = append(s.unsent, unsentEnd{e, now})
		if len(s.unsent) > maxUnsent {
			s.unsent = s.unsent[1:]
		}
		return
	}
	s.recordSentEnd(u.uptime(now), e)
	u.sendEnd(r.owner, e)
}

func (u *Controller) sendEnd(to ident.Incarnation, e fleet.End) {
	s := u.sessions[to]
	if s == nil || !s.linked {
		return
	}
	s.urgent, s.dirty = true, true
	u.entries.End(to, e)
}

// sendSettled tells an entry, once per session, that no run of its earlier sessions remains.
func (u *Controller) sendSettled(entry ident.Incarnation) {
	s := u.sessions[entry]
	if s == nil || !s.linked || s.settledSent {
		return
	}
	for _, r := range u.runs {
		if r.owner == entry && r.epoch != s.epoch {
			return
		}
	}
	s.settledSent = true
	u.entries.Settled(entry)
}
