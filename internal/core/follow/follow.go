// Package follow keeps a copy of one table of the platform's store: it reads the whole table once and then
// waits for changes, reading the whole again when the store has forgotten them.
package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/rows"
)

// Store is what a Follower needs of the store.
type Store interface {
	List(ctx context.Context, table rows.Table, part string) (rows.Page, error)
	Watch(ctx context.Context, table rows.Table, after rows.Version, wait time.Duration) (rows.Page, error)
}

// The pauses after a failed reading: short at first, because an outage is often over at once, and no longer
// than the shortest bound on putting a configuration in force (2 s) allows after the store's return.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// restPoll is how often a follower that rests, or waits for a change, looks whether it is to go on so.
const idlePoll = 100 * time.Millisecond

// Options say how a table is followed. The zero value reads each change at once.
type Options struct {
	// Gather says how long to wait after a change until the next is asked for, so that those of that time are read together: where many
	// rows change at once, each process would otherwise read once for each of them. Nil is not at all.
	BatchDelay func() time.Duration
	// Wait says how long one call waits for changes, where that is not always the same. Nil is what New was given.
	WatchTimeout func() time.Duration
	// Rest tells whether the table need not be read now, since others tell this process what is in it. Nil is never.
	Idle func() bool
}

// Changes are what one reading of a table has brought.
type Changes struct {
	// Rows are new or were removed; with Whole they are all that there are.
	Rows     []rows.Row
	Complete bool
	// Version is the store's version up to which the table is known now.
	Version rows.Version
	// Now is the store's steady clock.
	Now time.Duration
}

// Change takes in changes.
type Handler func(c Changes)

// Follower follows one table.
type Follower struct {
	store  Store
	table  rows.Table
	parts  []string
	wait   time.Duration
	handle Handler
	log    *logrus.Entry
	opts   Options

	cancel context.CancelFunc
	done   chan struct{}
	// current: the last reading was done, and the next is under way.
	current atomic.Bool

	// The goroutine that run is on owns what follows. at is the version up to which the table is known.
	version rows.Version
	loaded  bool
	failing bool
}

// Whole is the part of tables that are not divided.
var SinglePart = []string{""}

// New returns a Follower of a table with some parts that has not begun. wait bounds one call that waits for changes. A store whose
// connection falls silent is noticed by the connection, within two seconds; one that takes the call and never answers, only after wait:
// a change is noticed that much later then.
func New(s Store, table rows.Table, parts []string, wait time.Duration, c Handler, log *logrus.Entry) *Follower {
	return &Follower{
		store: s, table: table, parts: parts, wait: wait, handle: c, log: log.WithField("table", string(table)),
		done: make(chan struct{}),
	}
}

// With sets options, before Start.
func (f *Follower) With(o Options) *Follower {
	f.opts = o
	return f
}

// Current tells whether the table is known, as far as the store has answered.
func (f *Follower) Current() bool { return f.current.Load() }

// Start begins; that the store can't be read is no reason not to.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
	return nil
}

// Stop ends it and waits.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// run reads until ctx ends, with a growing pause between failures.
func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	pause := minBackoff
	for f.waitWhileIdle(ctx); ctx.Err() == nil; f.waitWhileIdle(ctx) {
		changed, err := f.pollUnlessIdle(ctx)
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		switch {
		case err != nil:
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxBackoff)
			continue
		case changed && f.opts.BatchDelay != nil:
			sleep(ctx, f.opts.BatchDelay())
		}
		pause = minBackoff
	}
}

// jitter returns a time between half of a pause and all of it: what has failed for all processes of a region at once must not be tried by
// all of them again at once.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}

// sleep waits for a while, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// rests tells whether the table need not be read.
func (f *Follower) isIdle() bool { return f.opts.Idle != nil && f.opts.Idle() }

// rest waits while the table need not be read.
func (f *Follower) waitWhileIdle(ctx context.Context) {
	for ctx.Err() == nil && f.isIdle() {
		f.current.Store(false)
		sleep(ctx, idlePoll)
	}
}

// read is a step that ends early once the table need not be read any more.
func (f *Follower) pollUnlessIdle(ctx context.Context) (changed bool, err error) {
	if f.opts.Idle == nil {
		return f.poll(ctx)
	}
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for reading.Err() == nil {
			sleep(reading, idlePoll)
			if f.isIdle() {
				cancel()
			}
		}
	}()
	changed, err = f.poll(reading)
	if err != nil && reading.Err() != nil {
		return false, nil
	}
	return changed, err
}

// step reads the whole table, or waits for changes, and tells whether there were any.
func (f *Follower) poll(ctx context.Context) (changed bool, err error) {
	if !f.loaded {
		return true, f.readWhole(ctx)
	}
	page, err := f.store.Watch(ctx, f.table, f.version, f.watchTimeout())
	if errors.Is(err, rows.ErrHistoryGone) {
		f.loaded = false
		f.log.WithField("version", uint64(f.version)).Info("store_history_gone")
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.version = max(f.version, page.Version)
	if len(page.Rows) > 0 {
		f.handle(Changes{Rows: page.Rows, Version: f.version, Now: page.Now})
	}
	return len(page.Rows) > 0, nil
}

// waits is how long the next call waits for changes.
func (f *Follower) watchTimeout() time.Duration {
	if f.opts.WatchTimeout != nil {
		return f.opts.WatchTimeout()
	}
	return f.wait
}

// readWhole reads all parts. Changes are followed from the version at which the first was read.
func (f *Follower) readWhole(ctx context.Context) error {
	var all rows.Page
	for i, part := range f.parts {
		page, err := f.store.List(ctx, f.table, part)
		if err != nil {
			return err
		}
		if i == 0 {
			all.Version = page.Version
		}
		all.Rows, all.Now = append(all.Rows, page.Rows...), page.Now
	}
	f.version, f.loaded = all.Version, true
	f.handle(Changes{Rows: all.Rows, Complete: true, Version: f.version, Now: all.Now})
	return nil
}

// note logs when the table becomes unreadable, and when it is readable again.
func (f *Follower) recordResult(err error) {
	f.current.Store(err == nil && f.loaded)
	if (err != nil) == f.failing {
		return
	}
	f.failing = err != nil
	if err != nil {
		f.log.WithField("error", err.Error()).Warn("store_lost")
		return
	}
	f.log.Info("store_regained")
}
