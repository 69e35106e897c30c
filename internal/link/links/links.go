// Package links holds the links of one process, by the incarnation of the remote process, and drops those that have fallen silent. It is
// not safe for concurrent use.
package links

import (
	"iter"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/boottime"
	"hillreel/internal/core/ident"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// Link is the session with one process. T is the type of its user's own state for the link.
type Link[T any] struct {
	Peer    ident.Incarnation
	Session *session.Session
	// LastReceived is when the last frame was received.
	LastReceived time.Time
	// Config is the newest configuration that the remote process is known to have or to be able to forward.
	Config ident.ConfigVersion
	// cordons records which cordons the remote process knows.
	cordons *cordon.Peer
	State   T
}

// Name returns the name of the remote process's VM.
func (l *Link[T]) Name() string { return l.Session.Remote.GetName() }

// Set holds the links of a process.
type Set[T any] struct {
	// role is the role of the remote processes, used as a field of log lines.
	role  string
	log   *logrus.Entry
	links map[ident.Incarnation]*Link[T]
	// newestSession has the highest session number of each incarnation that was ever linked. It takes 16 bytes for each.
	newestSession map[ident.Incarnation]uint64
	// newCordonPeer returns the record of which cordons the remote process of a new link knows.
	newCordonPeer func() *cordon.Peer
}

// New returns an empty Set. role is the role of the remote processes, used as a field of log lines; newCordonPeer returns the record of
// which cordons one of them knows.
func New[T any](role string, newCordonPeer func() *cordon.Peer, log *logrus.Entry) *Set[T] {
	return &Set[T]{role, log, make(map[ident.Incarnation]*Link[T]), make(map[ident.Incarnation]uint64), newCordonPeer}
}

// IsOutdated reports whether a newer session of the same process was seen already, and otherwise records the session as the newest. An
// outdated session is a connection that was delayed on the way and is closed at its other end. Its messages are old and must not replace
// those of a newer session.
func (s *Set[T]) IsOutdated(session *session.Session) bool {
	peer, number := ident.Incarnation(session.Remote.GetIncarnation()), session.Remote.GetSession()
	if number < s.newestSession[peer] {
		s.log.WithFields(logrus.Fields{s.role: session.Remote.GetName(), "session": number, "newest": s.newestSession[peer]}).Info("link_outdated")
		return true
	}
	s.newestSession[peer] = number
	return false
}

// Len returns the number of links.
func (s *Set[T]) Len() int { return len(s.links) }

// All returns an iterator over the links, in no particular order.
func (s *Set[T]) All() iter.Seq[*Link[T]] { return maps.Values(s.links) }

// Get returns the link to a process, or nil.
func (s *Set[T]) Get(peer ident.Incarnation) *Link[T] { return s.links[peer] }

// Current returns the link of a session, or nil if the process has no link or a link with another session.
func (s *Set[T]) Current(session *session.Session) *Link[T] {
	l := s.links[ident.Incarnation(session.Remote.GetIncarnation())]
	if l == nil || l.Session != session {
		return nil
	}
	return l
}

// Add adds a link for a session with a process that has no link.
func (s *Set[T]) Add(now time.Time, session *session.Session) *Link[T] {
	l := &Link[T]{
		Peer: ident.Incarnation(session.Remote.GetIncarnation()), Session: session, LastReceived: now,
		Config: ident.ConfigVersion(session.Remote.GetConfigVersion()), cordons: s.newCordonPeer(),
	}
	s.links[l.Peer] = l
	s.log.WithFields(logrus.Fields{s.role: l.Name(), "incarnation": l.Peer, "zone": session.Remote.GetZone()}).Info("link_up")
	return l
}

// Drop closes a link and removes it.
func (s *Set[T]) Drop(l *Link[T]) {
	l.Session.Close()
	delete(s.links, l.Peer)
}

// RemoveEnded removes the link of a session that has ended with err, and returns the link. It returns nil if the link was removed or
// replaced before.
func (s *Set[T]) RemoveEnded(session *session.Session, err error) *Link[T] {
	l := s.Current(session)
	if l == nil {
		return nil
	}
	s.log.WithFields(logrus.Fields{s.role: l.Name(), "incarnation": l.Peer, "error": err}).Warn("link_down")
	s.Drop(l)
	return l
}

// Limits are the time limits after which a silent link is dropped.
type Limits struct {
	// LinkTimeout applies while this process runs without a pause. It drops the link early enough that the link's runs continue once
	// a new link replaces it. Silence applies always; after it the link's runs are given up as well.
	LinkTimeout, Silence time.Duration
}

// DropSilent drops the links that have been silent for too long, and returns them. runningSince is when the last pause of this process
// ended: frames that arrive during a pause are read only after it, so LinkTimeout is counted from then.
func (s *Set[T]) DropSilent(now, runningSince time.Time, limits Limits) []*Link[T] {
	var dropped []*Link[T]
	for _, l := range s.links {
		silent := now.Sub(l.LastReceived)
		if silent <= limits.Silence && (silent <= limits.LinkTimeout || now.Sub(runningSince) <= limits.LinkTimeout) {
			continue
		}
		s.log.WithFields(logrus.Fields{s.role: l.Name(), "silent_ms": silent.Milliseconds()}).Warn("link_silent")
		s.Drop(l)
		dropped = append(dropped, l)
	}
	return dropped
}

// Receive calls handle for each message of one frame, unless the session's link was removed or replaced.
func (s *Set[T]) Receive(now time.Time, session *session.Session, msgs []*wire.Msg, handle func(*Link[T], *wire.Msg)) {
	l := s.Current(session)
	if l == nil {
		return
	}
	l.LastReceived = now
	for _, m := range msgs {
		handle(l, m)
	}
}

// Send sends a message to a process, if it is linked.
func (s *Set[T]) Send(to ident.Incarnation, m *wire.Msg) {
	if l := s.links[to]; l != nil {
		l.Session.Send(m)
	}
}

// Broadcast sends a message over all links except one; except may be nil.
func (s *Set[T]) Broadcast(m *wire.Msg, except *Link[T]) {
	for l := range s.All() {
		if l != except {
			l.Session.Send(m)
		}
	}
}

// Close closes all links.
func (s *Set[T]) Close() {
	for _, l := range s.links {
		l.Session.Close()
	}
}

// PauseDetector detects that the process was paused, from the gaps between the ticks of a goroutine that ticks regularly while the process
// runs.
type PauseDetector struct {
	// MaxGap is the longest gap between two ticks that does not count as a pause.
	MaxGap time.Duration
	// MaxRunningGap is the longest gap between two ticks during which the process counts as running. A longer gap moves RunningSince.
	MaxRunningGap time.Duration
	// Interval is the gap between two ticks that are on time. OnTick is called with the delay of each tick but the first; it may be nil.
	Interval time.Duration
	OnTick   func(delay time.Duration)
	Log      *logrus.Entry
	lastTick time.Time
	// RunningSince is when the last gap longer than MaxRunningGap ended.
	RunningSince time.Time
}

// Tick records a tick. The first tick starts the measurement.
func (p *PauseDetector) Tick(now time.Time) {
	gap := now.Sub(p.lastTick)
	if p.HasPaused(now) && !p.lastTick.IsZero() {
		p.Log.WithField("gap_ms", gap.Milliseconds()).Warn("process_stood_still")
	}
	if p.OnTick != nil && !p.lastTick.IsZero() {
		p.OnTick(max(gap-p.Interval, 0))
	}
	if gap > p.MaxRunningGap {
		p.RunningSince = now
	}
	p.lastTick = now
}

// HasPaused reports whether the gap since the last tick is longer than MaxGap. Timeouts that expired during a pause must not be acted on,
// so the caller must run a tick before anything else.
func (p *PauseDetector) HasPaused(now time.Time) bool { return now.Sub(p.lastTick) > p.MaxGap }

// CatchUp calls tick if the process was paused since the last tick, and returns the current time.
func (p *PauseDetector) CatchUp(tick func()) time.Time {
	now := boottime.Now()
	if !p.HasPaused(now) {
		return now
	}
	tick()
	return boottime.Now()
}
