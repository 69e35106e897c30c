// Package lease keeps an agent's account of its upstream's clock, of the lease on what runs there, and of the fencing
// token, which is a reading of that clock.
package lease

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
)

// Lease is the account of one life of an upstream.
type Lease struct {
	length time.Duration
	// clock is the newest known reading of the upstream's clock, taken at readAt; a zero readAt is none.
	clock  call.Clock
	readAt time.Time
	// until is the latest lease that any call carried.
	until call.Clock
	token call.Token
}

// New returns the account of a new life. clock is a reading that came with its first heartbeat; zero is none. Every
// token of an earlier agent was at most the upstream's clock at that time, so the first token is above them all.
func New(length time.Duration, now time.Time, clock call.Clock) Lease {
	l := Lease{length: length}
	if clock > 0 {
		l.clock, l.readAt = clock, now
		l.token = Token(clock)
	}
	return l
}

// Token is one that is higher than those of all earlier agents, at a reading of the upstream's clock.
func Token(c call.Clock) call.Token { return milliseconds(c) + 1 }

// milliseconds is the token that a reading gives.
func milliseconds(c call.Clock) call.Token { return call.Token(time.Duration(c).Milliseconds()) }

// Now is a reading that the upstream's clock has surely passed.
func (l *Lease) Now(now time.Time) call.Clock {
	if l.readAt.IsZero() {
		return 0
	}
	return l.clock + call.Clock(float64(now.Sub(l.readAt))/fleet.SlowClock)
}

// Read notes a reading that came with an answer.
func (l *Lease) Read(now time.Time, c call.Clock) {
	if c > l.Now(now) {
		l.clock, l.readAt = c, now
	}
}

// Extend returns the lease that a call made now carries.
func (l *Lease) Extend(now time.Time) call.Clock {
	until := l.Now(now) + call.Clock(l.length)
	l.until = max(l.until, until)
	return until
}

// Margin is the upstream's own time to kill what has lapsed: stop_ms on all deployments seen.
const Margin = 50 * time.Millisecond

// Lapsed tells whether the latest lease has surely run out, so that nothing runs any more.
func (l *Lease) Lapsed(now time.Time) bool { return l.Now(now) > l.until+call.Clock(Margin) }

// Token is what calls carry; zero is none yet.
func (l *Lease) Token() call.Token { return l.token }

// Raise raises the token, so that calls made before can do nothing from the next answered call on.
func (l *Lease) Raise(now time.Time) { l.token = max(l.token+1, milliseconds(l.Now(now))) }
