package config

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/config/state"
	"hillreel/internal/core/bus"
	"hillreel/internal/core/poll"
)

// Reader reads the head row again and again and publishes each newer state on the bus. The store being
// down leaves the last state in force. Nudge it when this process has just changed something.
type Reader struct {
	*poll.Poller
	store *Store
	bus   *bus.Bus
	last  *state.State
}

// NewReader returns a Reader.
func NewReader(s *Store, every time.Duration, b *bus.Bus, log *logrus.Entry) *Reader {
	r := &Reader{store: s, bus: b, last: state.Empty()}
	r.Poller = poll.New("config_store", every, r.read, log)
	return r
}

func (r *Reader) read(ctx context.Context) error {
	next, err := r.store.Load(ctx, r.last)
	if err != nil || next.Version() == r.last.Version() {
		return err
	}
	r.last = next
	return r.bus.Publish(bus.Config, next.Full())
}
