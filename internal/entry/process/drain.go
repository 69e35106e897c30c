package process

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/kernel"
	"hillreel/internal/core/settings"
)

const (
	// lastAnswersTime is the time for answering the callers that still wait. It lets the answers reach their callers. It also lets stopped
	// runs end (50 ms) before a caller can send its job again.
	lastAnswersTime = 200 * time.Millisecond
	// stopReserve is the part of the grace that remains after the last answers: 50 ms to hand jobs over, 300 ms to remove the entry's row
	// from the store, and 100 ms to write logs.
	stopReserve = settings.LeaveReserve - lastAnswersTime
	// handOverTime is how long the entry waits for the store to write that its kept jobs may be taken over. It is about ten times the
	// store's usual response time.
	handOverTime = 50 * time.Millisecond
)

// listener is a server that can stop accepting connections and wait for its requests in progress.
type listener interface {
	// Leave makes the server's answers ask the callers to use other connections.
	Leave()
	// Shutdown stops listening and waits for the requests in progress, until ctx ends.
	Shutdown(ctx context.Context) error
}

// Drain stops the entry gracefully. The entry is unready at once, but accepts requests until the load balancer has noticed. Then it
// answers the requests in progress and stops. The grace setting bounds the whole drain: shortly before its end, callers that still wait
// are told what is known of their jobs.
func (p *Process) Drain() {
	began := time.Now()
	end := began.Add(p.set.Entry.Grace - stopReserve)
	p.log.WithField("unanswered", p.Node.Unanswered()).Info("leaving")
	p.Node.Leave()
	for _, l := range p.listeners(nameFront, nameCallers) {
		l.Leave()
	}
	time.Sleep(p.set.Entry.Unready)
	closeTimer := time.AfterFunc(time.Until(end.Add(-lastAnswersTime)), p.Node.CloseAll)
	defer closeTimer.Stop()
	p.shutdown(end, p.listeners(nameFront, nameCallers))
	p.Node.HandOver()
	time.Sleep(handOverTime)
	// The metrics server stops last: operators read metrics until the end, and their changes may still wait for the store.
	p.shutdown(end, p.listeners(nameMetrics))
	p.Stop()
	p.log.WithField("took_ms", time.Since(began).Milliseconds()).Info("left")
}

// listeners returns the servers with these names. Servers without an address are left out, because they are not registered.
func (p *Process) listeners(names ...string) []listener {
	var out []listener
	for _, name := range names {
		if l, err := kernel.Find[listener](p.kernel, name); err == nil {
			out = append(out, l)
		}
	}
	return out
}

// shutdown shuts servers down concurrently. Requests that are still in progress at end are cut.
func (p *Process) shutdown(end time.Time, listeners []listener) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var group sync.WaitGroup
	for _, l := range listeners {
		group.Go(func() {
			if err := l.Shutdown(ctx); err != nil {
				p.log.WithFields(logrus.Fields{"error": err.Error(), "unanswered": p.Node.Unanswered()}).Warn("requests_cut")
			}
		})
	}
	group.Wait()
}
