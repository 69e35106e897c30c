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
	// lastAnswers is for those who still wait to be answered: the answers have time to get to their callers, and what is
	// stopped is gone (50 ms) before a caller can send its job again.
	lastAnswersTime = 200 * time.Millisecond
	// leaveMargin is what of the grace is left then: 50 ms to hand jobs over, 300 ms to take the entry's row out of the store,
	// 100 ms to write logs.
	stopReserve = settings.LeaveReserve - lastAnswersTime
	// handOverTime is what the store has for taking in that kept jobs may be taken over: some ten times its usual answer.
	handOverTime = 50 * time.Millisecond
)

// listener is a service that can stop listening and let what it serves end.
type listener interface {
	// Leave lets answers ask their callers to use other connections.
	Leave()
	Shutdown(ctx context.Context) error
}

// Drain leaves: the entry is unready at once, but takes requests until the balancer has noticed; then it answers
// those in progress, and all stops. The grace of the settings bounds it: shortly before its end, those who still wait are
// told what is known of their jobs.
func (p *Process) Drain() {
	began := time.Now()
	end := began.Add(p.set.Entry.Grace - stopReserve)
	p.log.WithField("unanswered", p.Node.Unanswered()).Info("leaving")
	p.Node.Leave()
	for _, l := range p.listeners(nameFront, nameCallers) {
		l.Leave()
	}
	time.Sleep(p.set.Entry.Unready)
	last := time.AfterFunc(time.Until(end.Add(-lastAnswersTime)), p.Node.CloseAll)
	defer last.Stop()
	p.shutdown(end, p.listeners(nameFront, nameCallers))
	p.Node.HandOver()
	time.Sleep(handOverTime)
	// Operators look at metrics until the end, and their changes wait for the store.
	p.shutdown(end, p.listeners(nameMetrics))
	p.Stop()
	p.log.WithField("took_ms", time.Since(began).Milliseconds()).Info("left")
}

// listeners returns the servers of some names; those without an address are not served.
func (p *Process) listeners(names ...string) []listener {
	var out []listener
	for _, name := range names {
		if l, err := kernel.Find[listener](p.kernel, name); err == nil {
			out = append(out, l)
		}
	}
	return out
}

// shutdown lets servers end, side by side.
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
