// Package clock is a clock whose time passes only as events are handled, for experiments in virtual time.
package clock

import (
	"container/heap"
	"time"
)

// Clock holds what is to happen, and when.
type Clock struct {
	start, now time.Time
	queue      events
	seq        int
}

// New returns a Clock that stands at a moment.
func New(start time.Time) *Clock { return &Clock{start: start, now: start} }

// Now is the present moment.
func (c *Clock) Now() time.Time { return c.now }

// Since is how long the clock has run.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(c.start) }

// After does something after a while; of what is due at one moment, the first that was asked for comes first.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.Elapsed() + max(d, 0), c.seq, c.queue.put(do)})
}

// Next does the next thing that is due until a time after the start, and tells whether there was one.
func (c *Clock) RunNext(until time.Duration) bool {
	if c.queue.Len() == 0 || c.queue.queue[0].at > until {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = c.start.Add(e.at)
	c.queue.take(e.slot)()
	return true
}

// Advance lets time pass until a time after the start, once nothing is due before it.
func (c *Clock) Advance(until time.Duration) { c.now = c.start.Add(until) }

// event is something that happens at a time. It holds no pointer, so that moving it in the queue costs the garbage
// collector nothing.
type event struct {
	at   time.Duration
	seq  int
	slot int
}

// events is a queue of what is to happen, the next first.
type events struct {
	queue []event
	// do holds what the events' slots stand for, free the slots that stand for nothing.
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

// put stores what an event does.
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

// take returns what an event does, and frees its slot.
func (e *events) take(slot int) func() {
	do := e.funcs[slot]
	e.funcs[slot] = nil
	e.free = append(e.free, slot)
	return do
}
