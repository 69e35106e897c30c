// Package clock implements a virtual clock for simulations: its time advances only when an event runs.
package clock

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of scheduled events.
type Clock struct {
	start, now time.Time
	queue      events
	seq        int
}

// New returns a Clock whose time is start.
func New(start time.Time) *Clock { return &Clock{start: start, now: start} }

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the virtual time that has passed since the start.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(c.start) }

// After schedules do to run d from now; a negative d counts as zero. Events that are due at the same time run in the order in
// which they were scheduled.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.Elapsed() + max(d, 0), c.seq, c.queue.put(do)})
}

// RunNext runs the next event that is due at or before until, a time since the start, and sets the clock to its time.
// It returns false if there is no such event.
func (c *Clock) RunNext(until time.Duration) bool {
	if c.queue.Len() == 0 || c.queue.queue[0].at > until {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = c.start.Add(e.at)
	c.queue.take(e.slot)()
	return true
}

// Advance sets the clock to until, a time since the start. No event may be due before that time.
func (c *Clock) Advance(until time.Duration) { c.now = c.start.Add(until) }

// event is a scheduled function. It holds a slot number instead of a pointer, so that moving events in the queue causes no
// work for the garbage collector.
type event struct {
	at   time.Duration
	seq  int
	slot int
}

// events is a heap of events, ordered by time and then by sequence number.
type events struct {
	queue []event
	// funcs holds the function of each event by its slot; free lists the unused slots.
	funcs []func()
	free  []int
}

func (e *events) Len() int { return len(e.queue) }
func (e *events) Less(i, k int) bool {
	a, b := e.queue[i], e.queue[k]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (e *events) Swap(i, k int) { e.queue[i], e.queue[k] = e.queue[k], e.queue[i] }
func (e *events) Push(x any)    { e.queue = append(e.queue, x.(event)) }
func (e *events) Pop() any {
	last := e.queue[len(e.queue)-1]
	e.queue = e.queue[:len(e.queue)-1]
	return last
}

// put stores the function of an event and returns its slot.
func (e *events) put(do func()) (slot int) {
	if n := len(e.free); n > 0 {
		slot = e.free[n-1]
		e.free = e.free[:n-1]
		e.funcs[slot] = do
		return slot
	}
	e.funcs = append(e.funcs, do)
	return len(e.funcs) - 1
}

// take returns the function in slot and frees the slot.
func (e *events) take(slot int) func() {
	do := e.funcs[slot]
	e.funcs[slot] = nil
	e.free = append(e.free, slot)
	return do
}
