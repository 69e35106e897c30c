// Package boottime is the clock for everything that expires: leases, silences, deadlines.
//
// The monotonic clock behind time.Now stops while a VM is suspended, for example when it is moved to another host. After it resumes, a
// process would take what it was told before for current: an agent would accept an order that its entry has given up since, and an entry
// would place a job that its caller has sent to another entry. This clock includes the time of suspensions, so a suspension counts like
// any other time in which the process was paused. The clock is never adjusted, and its readings can't be compared with those of other
// VMs.
package boottime

import "time"

// clock reads began plus the time that has elapsed since its start. elapsed returns the time since some fixed moment; from is what it
// returned at the start.
type clock struct {
	began   time.Time
	from    time.Duration
	elapsed func() time.Duration
}

// newClock returns a clock that starts at the current time of day.
func newClock(elapsed func() time.Duration) clock {
	// Round strips the monotonic reading, which Sub would otherwise use instead of the clock's own time.
	return clock{began: time.Now().Round(0), from: elapsed(), elapsed: elapsed}
}

// now returns the clock's reading.
func (c *clock) now() time.Time { return c.began.Add(c.elapsed() - c.from) }

var process = newClock(sinceBoot)

// Now returns the time of day at the start of the process plus the time since then, suspensions included.
func Now() time.Time { return process.now() }

// Since returns the time since t, which must be a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
