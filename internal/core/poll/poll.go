// Package poll reads something again and again, and logs when it becomes unreadable or readable.
package poll

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Poller calls a function at once, then at each interval, and when it is nudged.
type Poller struct {
	event  string
	every  time.Duration
	read   func(ctx context.Context) error
	log    *logrus.Entry
	cancel context.CancelFunc
	done   chan struct{}
	nudge  chan struct{}
}

// New returns a Poller that has not begun; event names it in the log.
func New(event string, every time.Duration, read func(ctx context.Context) error, log *logrus.Entry) *Poller {
	return &Poller{
		event: event, every: every, read: read, log: log, done: make(chan struct{}), nudge: make(chan struct{}, 1),
	}
}

// Start begins. That nothing can be read is no reason not to.
func (p *Poller) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.run(ctx)
	return nil
}

// Stop ends it and waits.
func (p *Poller) Stop() {
	p.cancel()
	<-p.done
}

// Nudge makes it read now.
func (p *Poller) Nudge() {
	select {
	case p.nudge <- struct{}{}:
	default:
	}
}

func (p *Poller) run(ctx context.Context) {
	defer close(p.done)
	ticker := time.NewTicker(p.every)
	defer ticker.Stop()
	failing := false
	for {
		err := p.read(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			p.log.WithFields(logrus.Fields{"readable": !failing, "error": err}).Warn(p.event)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.nudge:
		}
	}
}
