// Package lease keeps an agent's account of its upstream's clock, of the lease on what runs there, and of the fencing
// token.
package lease

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
)

// Lease is the account of one life of an upstream, with a token that outlasts it.
type Lease struct {
	length time.Duration
	// clock is the newest known reading of the upstream's clock, taken at readAt; a zero readAt is none.
	clock       call.Clock
	clockReadAt time.Time
	// until is the latest lease that any call carried.
	until call.Clock
	// misled: calls that were meant for another life may have extended the lease of this one, whose clock isn't known yet.
	mayBeExtended bool
	// token never falls: the next life of an upstream may have the same id, and take late calls to the former for its own.
	token call.Token
	// step is by how much the token was raised last to outbid a foreign one.
	lastStep call.Token
}

// New returns an account of a life of which nothing is known yet.
func New(length time.Duration, now time.Time) Lease {
	return Lease{length: length, token: newToken(now)}
}

// token is one that is higher than those of all earlier agents of this VM: they were at most the VM's time of day, in Unix
// milliseconds. If that was set back meanwhile, the upstream refuses the token, and Outbid finds a higher one.
func newToken(now time.Time) call.Token { return call.Token(now.UnixMilli()) }

// Begin begins the account of another life. clock is a reading of its clock; zero is none. misled: calls that were meant for the life
// before, whose clock read something else, may have extended the lease of this one.
func (l *Lease) Reset(now time.Time, clock call.Clock, misled bool) {
	l.RaiseToken(now)
	l.clock, l.clockReadAt, l.until, l.mayBeExtended = 0, time.Time{}, 0, misled
	if clock > 0 {
		l.RecordClock(now, clock)
	}
}

// Longest is the longest lease that an upstream takes: hold_max_ms on all deployments seen. It cuts longer ones to that.
const MaxLength = call.Clock(time.Second)

// Now is a reading that the upstream's clock has surely passed.
func (l *Lease) ClockNow(now time.Time) call.Clock {
	if l.clockReadAt.IsZero() {
		return 0
	}
	return l.clock + call.Clock(float64(now.Sub(l.clockReadAt))/fleet.MaxClockRatio)
}

// Read notes a reading that came with an answer.
func (l *Lease) RecordClock(now time.Time, c call.Clock) {
	if c > l.ClockNow(now) {
		l.clock, l.clockReadAt = c, now
	}
	if l.mayBeExtended {
		l.AssumeForeignExtension(now)
		l.mayBeExtended = false
	}
}

// Mislead notes that until now calls which were meant for another life may have extended the lease.
func (l *Lease) AssumeForeignExtension(now time.Time) {
	l.until = max(l.until, l.ClockNow(now)+MaxLength)
}

// Extend returns the lease that a call made now carries.
func (l *Lease) Extend(now time.Time) call.Clock {
	until := l.ClockNow(now) + call.Clock(l.length)
	l.until = max(l.until, until)
	return until
}

// Margin is the upstream's own time to kill what has lapsed: stop_ms on all deployments seen.
const KillMargin = 50 * time.Millisecond

// Lapsed tells whether the latest lease has surely run out, so that nothing runs any more.
func (l *Lease) Lapsed(now time.Time) bool { return l.LapsedFor(now) > 0 }

// Overdue is for how long the latest lease has surely run out; it is negative before.
func (l *Lease) LapsedFor(now time.Time) time.Duration {
	return time.Duration(l.ClockNow(now) - l.until - call.Clock(KillMargin))
}

// Token is what calls carry.
func (l *Lease) Token() call.Token { return l.token }

// Raise raises the token, so that calls made before can do nothing from the next answered call on.
func (l *Lease) RaiseToken(now time.Time) { l.token = max(l.token+1, newToken(now)) }

// Outbid raises the token by more each time: the upstream has seen a higher one than refused, and does not tell which. Twice as
// much each time reaches any in a few dozen calls.
func (l *Lease) RaiseTokenAbove(now time.Time, refused call.Token) {
	if refused < l.token {
		return // it was raised since
	}
	l.lastStep = max(1, 2*l.lastStep)
	l.token = max(l.token+l.lastStep, newToken(now))
}
