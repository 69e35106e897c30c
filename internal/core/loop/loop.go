// Package loop runs a process's control state on one goroutine: events come in through a queue and are
// handled one at a time, with a tick between them.
package loop

import (
	"time"
)

// backlog is how many events may wait; whoever posts more waits too.
const backlog = 1 << 14

// Event is what the control goroutine handles. A func() is called, all else goes to the handler.
type Event any

// Loop is one control goroutine.
type Loop struct {
	events chan Event
	stop   chan struct{}
	done   chan struct{}
}

// New returns a Loop that has not begun.
func New() *Loop {
	return &Loop{make(chan Event, backlog), make(chan struct{}), make(chan struct{})}
}

// Post queues an event. After Stop it is dropped and Post returns false.
func (l *Loop) Post(e Event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// Call runs f on the control goroutine and waits for it, unless the loop has ended.
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

// Run handles events and ticks until Stop.
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

// Stop ends Run and waits for it.
func (l *Loop) Stop() {
	close(l.stop)
	<-l.done
}
