// Package lease tracks the clock of an agent's upstream, the lease on the runs there, and the fencing token.
package lease

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
)

// Lease holds the clock and the lease of one life of an upstream, and a fencing token that goes on across lives. Unless the agent extends
// the lease, the upstream kills all runs when its clock passes the lease.
type Lease struct {
	length time.Duration
	// clock is the newest known reading of the upstream's clock, taken at clockReadAt; a zero clockReadAt means that there is none.
	clock       call.Clock
	clockReadAt time.Time
	// until is the latest lease that any call has carried.
	until call.Clock
	// mayBeExtended: calls that were meant for another life may have extended the lease of this one, whose clock isn't known yet.
	mayBeExtended bool
	// token never falls: the next life of an upstream may have the same id, and accept late calls for the former one.
	token call.Token
	// lastStep is by how much RaiseTokenAbove last raised the token.
	lastStep call.Token
}

// New returns the Lease of a life of which nothing is known yet. length is the length of the leases that calls carry.
func New(length time.Duration, now time.Time) Lease {
	return Lease{length: length, token: newToken(now)}
}

// newToken returns a token that is higher than those of all earlier agents of this VM: these tokens were at most the VM's time of day, in Unix
// milliseconds. If the VM's clock was set back in the meantime, the upstream refuses the token, and RaiseTokenAbove finds a higher one.
func newToken(now time.Time) call.Token { return call.Token(now.UnixMilli()) }

// Reset prepares the Lease for another life. clock is a reading of its clock; zero if there is none. mayBeExtended says that calls for
// the former life, whose clock had other readings, may have extended the lease of the new one.
func (l *Lease) Reset(now time.Time, clock call.Clock, mayBeExtended bool) {
	l.RaiseToken(now)
	l.clock, l.clockReadAt, l.until, l.mayBeExtended = 0, time.Time{}, 0, mayBeExtended
	if clock > 0 {
		l.RecordClock(now, clock)
	}
}

// MaxLength is the longest lease that an upstream accepts: hold_max_ms in all known deployments. The upstream cuts longer ones to it.
const MaxLength = call.Clock(time.Second)

// ClockNow returns a reading that the upstream's clock has certainly passed.
func (l *Lease) ClockNow(now time.Time) call.Clock {
	if l.clockReadAt.IsZero() {
		return 0
	}
	return l.clock + call.Clock(float64(now.Sub(l.clockReadAt))/fleet.MaxClockRatio)
}

// RecordClock records a reading of the upstream's clock from an answer.
func (l *Lease) RecordClock(now time.Time, c call.Clock) {
	if c > l.ClockNow(now) {
		l.clock, l.clockReadAt = c, now
	}
	if l.mayBeExtended {
		l.AssumeForeignExtension(now)
		l.mayBeExtended = false
	}
}

// AssumeForeignExtension assumes that until now calls that were meant for another life may have extended the lease.
func (l *Lease) AssumeForeignExtension(now time.Time) {
	l.until = max(l.until, l.ClockNow(now)+MaxLength)
}

// Extend returns the lease for a call that is made now.
func (l *Lease) Extend(now time.Time) call.Clock {
	until := l.ClockNow(now) + call.Clock(l.length)
	l.until = max(l.until, until)
	return until
}

// KillMargin is the time that the upstream takes to kill runs whose lease has lapsed: stop_ms in all known deployments.
const KillMargin = 50 * time.Millisecond

// Lapsed reports whether the latest lease has certainly lapsed, so that nothing runs any more.
func (l *Lease) Lapsed(now time.Time) bool { return l.LapsedFor(now) > 0 }

// LapsedFor returns for how long the latest lease has certainly lapsed; it is negative before.
func (l *Lease) LapsedFor(now time.Time) time.Duration {
	return time.Duration(l.ClockNow(now) - l.until - call.Clock(KillMargin))
}

// Token returns the fencing token for calls.
func (l *Lease) Token() call.Token { return l.token }

// RaiseToken raises the token, so that earlier calls have no effect after the next answered call.
func (l *Lease) RaiseToken(now time.Time) { l.token = max(l.token+1, newToken(now)) }

// RaiseTokenAbove raises the token after a call was refused. The upstream has seen a token above refused, but doesn't tell which. The
// step doubles each time, so that any token is reached within a few dozen calls.
func (l *Lease) RaiseTokenAbove(now time.Time, refused call.Token) {
	if refused < l.token {
		return // the token was raised since that call
	}
	l.lastStep = max(1, 2*l.lastStep)
	l.token = max(l.token+l.lastStep, newToken(now))
}
