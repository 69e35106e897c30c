// Package boottime is the clock of everything that must expire: leases, silences, deadlines.
//
// The clock behind time.Now stands still while a VM is suspended, as when it is moved to another host. A process that wakes would take
// what it was told before for fresh: an agent an order that its entry has given up since, an entry a job that its caller has
// sent elsewhere. This clock counts that time, so that a suspension is a standstill like any other. It is never set, and
// says nothing of other VMs' time of day.
package boottime

import "time"

// clock counts from a process's start; elapsed is the time since some fixed moment.
type clock struct {
	began   time.Time
	from    time.Duration
	elapsed func() time.Duration
}

// newClock returns a clock that starts with the time of day.
func newClock(elapsed func() time.Duration) clock {
	// Without a monotonic reading, which would go before the clock's own in differences.
	return clock{began: time.Now().Round(0), from: elapsed(), elapsed: elapsed}
}

// now is the clock's reading.
func (c *clock) now() time.Time { return c.began.Add(c.elapsed() - c.from) }

var process = newClock(sinceBoot)

// Now is the time that has passed since the process began, suspensions included, added to the time of day at its start.
func Now() time.Time { return process.now() }

// Since returns the time since a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
