// Package loop runs a process's control state on one goroutine: events come in through a queue and are
// handled one at a time, with a tick between them.
package loop

import (
	"time"
)

// backlog is how many events may wait; whoever posts more waits too.
const backlog = 1 << 14

// Loop is one control goroutine for events of type E.
type Loop[E any] struct {
	events chan E
	stop   chan struct{}
	done   chan struct{}
}

// New returns a Loop that has not begun.
func New[E any]() *Loop[E] {
	return &Loop[E]{make(chan E, backlog), make(chan struct{}), make(chan struct{})}
}

// Post queues an event. After Stop it is dropped and Post returns false.
func (l *Loop[E]) Post(e E) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// Run handles events and ticks until Stop.
func (l *Loop[E]) Run(every time.Duration, handle func(E), tick func()) {
	defer close(l.done)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case e := <-l.events:
			handle(e)
		case <-ticker.C:
			tick()
		case <-l.stop:
			return
		}
	}
}

// Stop ends Run and waits for it.
func (l *Loop[E]) Stop() {
	close(l.stop)
	<-l.done
}

// Done is closed once Run has ended.
func (l *Loop[E]) Done() <-chan struct{} { return l.done }
