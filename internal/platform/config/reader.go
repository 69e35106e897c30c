package config

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/config/state"
	"hillreel/internal/core/bus"
)

// Reader reads the head row again and again and publishes each newer state on the bus. The store being
// down leaves the last state in force.
type Reader struct {
	store  *Store
	every  time.Duration
	bus    *bus.Bus
	log    *logrus.Entry
	last   *state.State
	cancel context.CancelFunc
	done   chan struct{}
	nudge  chan struct{}
}

// NewReader returns a Reader.
func NewReader(s *Store, every time.Duration, b *bus.Bus, log *logrus.Entry) *Reader {
	return &Reader{
		store: s, every: every, bus: b, log: log, last: state.Empty(),
		done: make(chan struct{}), nudge: make(chan struct{}, 1),
	}
}

// Start begins to read.
func (r *Reader) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return nil
}

// Stop ends the reading.
func (r *Reader) Stop() {
	r.cancel()
	<-r.done
}

// Nudge makes the Reader read now: this process has just changed something.
func (r *Reader) Nudge() {
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}

func (r *Reader) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(r.every)
	defer ticker.Stop()
	failing := false
	for {
		err := r.read(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			r.log.WithFields(logrus.Fields{"readable": !failing, "error": err, "version": r.last.Version()}).Warn("config_store")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.nudge:
		}
	}
}

func (r *Reader) read(ctx context.Context) error {
	next, err := r.store.Load(ctx, r.last)
	if err != nil || next.Version() == r.last.Version() {
		return err
	}
	r.last = next
	return r.bus.Publish(bus.Config, next.Full())
}
