// Package loop runs the control state of a process on one goroutine: events are queued and handled one at a time, with periodic ticks in
// between.
package loop

import (
	"time"
)

// backlog is how many events may be queued before Post blocks.
const backlog = 1 << 14

// Event is an event for the control goroutine. A func() is called; any other event goes to the handler.
type Event any

// Loop is the event queue of one control goroutine.
type Loop struct {
	events chan Event
	stop   chan struct{}
	done   chan struct{}
}

// New returns a Loop; call Run to start handling events.
func New() *Loop {
	return &Loop{make(chan Event, backlog), make(chan struct{}), make(chan struct{})}
}

// Post queues an event and returns true. After the loop has ended, it drops the event and returns false.
func (l *Loop) Post(e Event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// Call runs f on the control goroutine and waits until f has returned. If the loop has ended, f may not run.
func (l *Loop) Call(f func()) {
	done := make(chan struct{})
	if !l.Post(func() { f(); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-l.done:
	}
}

// Run handles events, and calls tick at the interval every, until Stop is called.
func (l *Loop) Run(every time.Duration, handle func(Event), tick func()) {
	defer close(l.done)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case e := <-l.events:
			if f, ok := e.(func()); ok {
				f()
				continue
			}
			handle(e)
		case <-ticker.C:
			tick()
		case <-l.stop:
			return
		}
	}
}

// Stop ends Run and waits until it has returned.
func (l *Loop) Stop() {
	close(l.stop)
	<-l.done
}
