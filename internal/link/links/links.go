// Package links keeps the links of one process, by the incarnation of the process at the other end, and notices which
// have fallen silent. One goroutine uses it.
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

// Link is the session with one process; T is what its user keeps beside it.
type Link[T any] struct {
	Peer    ident.Incarnation
	Session *session.Session
	// Heard is when the last frame came.
	LastReceived time.Time
	// Config is the configuration that the other side has, or can pass on, as far as it is known.
	Config ident.ConfigVersion
	// cordons is what the other side knows of cordons.
	cordons *cordon.Peer
	State   T
}

// Name is that of the VM at the other end.
func (l *Link[T]) Name() string { return l.Session.Remote.GetName() }

// Set holds a process's links.
type Set[T any] struct {
	// role is what the other ends are, for the log.
	role  string
	log   *logrus.Entry
	links map[ident.Incarnation]*Link[T]
	// newest is the highest session that each process has begun: 16 bytes for each life of a process that was ever linked.
	newestSession map[ident.Incarnation]uint64
	// newPeer makes the account of what the other side of a new link knows of cordons.
	newCordonPeer func() *cordon.Peer
}

// New returns an empty Set; role says what the other ends are, newPeer makes the account of what one knows of cordons.
func New[T any](role string, newPeer func() *cordon.Peer, log *logrus.Entry) *Set[T] {
	return &Set[T]{role, log, make(map[ident.Incarnation]*Link[T]), make(map[ident.Incarnation]uint64), newPeer}
}

// Outdated tells whether a session is an earlier one of its process than one that was seen already: a connection that was held
// up on the way, whose other end is closed. What comes over it is old, and must not replace what a newer one has said.
func (s *Set[T]) IsOutdated(session *session.Session) bool {
	peer, number := ident.Incarnation(session.Remote.GetIncarnation()), session.Remote.GetSession()
	if number < s.newestSession[peer] {
		s.log.WithFields(logrus.Fields{s.role: session.Remote.GetName(), "session": number, "newest": s.newestSession[peer]}).Info("link_outdated")
		return true
	}
	s.newestSession[peer] = number
	return false
}

// Len returns how many links there are.
func (s *Set[T]) Len() int { return len(s.links) }

// All ranges over the links, in no order.
func (s *Set[T]) All() iter.Seq[*Link[T]] { return maps.Values(s.links) }

// Get returns the link with a process, or nil.
func (s *Set[T]) Get(peer ident.Incarnation) *Link[T] { return s.links[peer] }

// Of returns the present link of a session, or nil when another has taken its place.
func (s *Set[T]) Current(session *session.Session) *Link[T] {
	l := s.links[ident.Incarnation(session.Remote.GetIncarnation())]
	if l == nil || l.Session != session {
		return nil
	}
	return l
}

// Add takes up a session with a process that has no link.
func (s *Set[T]) Add(now time.Time, session *session.Session) *Link[T] {
	l := &Link[T]{
		Peer: ident.Incarnation(session.Remote.GetIncarnation()), Session: session, LastReceived: now,
		Config: ident.ConfigVersion(session.Remote.GetConfigVersion()), cordons: s.newCordonPeer(),
	}
	s.links[l.Peer] = l
	s.log.WithFields(logrus.Fields{s.role: l.Name(), "incarnation": l.Peer, "zone": session.Remote.GetZone()}).Info("link_up")
	return l
}

// Drop closes a link and forgets it.
func (s *Set[T]) Drop(l *Link[T]) {
	l.Session.Close()
	delete(s.links, l.Peer)
}

// Ended forgets the link of a session that has ended, and returns it; it returns nil when another link has taken its
// place.
func (s *Set[T]) RemoveEnded(session *session.Session, err error) *Link[T] {
	l := s.Current(session)
	if l == nil {
		return nil
	}
	s.log.WithFields(logrus.Fields{s.role: l.Name(), "incarnation": l.Peer, "error": err}).Warn("link_down")
	s.Drop(l)
	return l
}

// Limits say how long a link may be silent.
type Limits struct {
	// Quiet is how long nothing may come while this process runs: then the link is given up so early that runs on it go on once
	// another stands. Silence is the same whether it runs or not: then its runs are given up as well.
	LinkTimeout, Silence time.Duration
}

// DropSilent forgets the links that are silent for too long, and returns them; running is since when this process runs without
// a pause. What came during a pause is read only after it.
func (s *Set[T]) DropSilent(now, running time.Time, limits Limits) []*Link[T] {
	var out []*Link[T]
	for _, l := range s.links {
		silent := now.Sub(l.LastReceived)
		if silent <= limits.Silence && (silent <= limits.LinkTimeout || now.Sub(running) <= limits.LinkTimeout) {
			continue
		}
		s.log.WithFields(logrus.Fields{s.role: l.Name(), "silent_ms": silent.Milliseconds()}).Warn("link_silent")
		s.Drop(l)
		out = append(out, l)
	}
	return out
}

// Receive hands the messages of one frame to handle, unless the session's link has ended.
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

// Broadcast sends a message to all processes but one; but may be nil.
func (s *Set[T]) Broadcast(m *wire.Msg, but *Link[T]) {
	for l := range s.All() {
		if l != but {
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

// Pulse notices that the process has stood still: a control goroutine ticks regularly while it runs.
type PauseDetector struct {
	// Limit is the longest pause between two ticks that is no standstill.
	MaxGap time.Duration
	// Pause is the longest one between two ticks during which the process counts as running.
	MaxRunningGap time.Duration
	// Every is the pause between two ticks that are in time. Late is told by how much each tick was late; it may be nil.
	Interval time.Duration
	OnTick   func(late time.Duration)
	Log      *logrus.Entry
	lastTick time.Time
	// Running is since when no pause was longer.
	RunningSince time.Time
}

// Tick notes a tick; the first one begins the account.
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

// Missed tells whether the process has stood still since the last tick. What has expired meanwhile must not be acted
// on, so time must pass for its user, by a tick, before anything else.
func (p *PauseDetector) HasPaused(now time.Time) bool { return now.Sub(p.lastTick) > p.MaxGap }

// CatchUp lets time pass by a tick if the process has stood still, and returns the time.
func (p *PauseDetector) CatchUp(tick func()) time.Time {
	now := boottime.Now()
	if !p.HasPaused(now) {
		return now
	}
	tick()
	return boottime.Now()
}
