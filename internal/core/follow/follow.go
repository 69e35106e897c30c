// Package follow keeps a copy of one table of the platform's store: it reads the whole table once and then
// waits for changes, reading the whole again when the store has forgotten them.
package follow

import (
	"context"
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
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Changes are what one reading of a table has brought.
type Changes struct {
	// Rows are new or were removed; with Whole they are all that there are.
	Rows  []rows.Row
	Whole bool
	// Version is the store's version up to which the table is known now.
	Version rows.Version
	// Now is the store's steady clock.
	Now time.Duration
}

// Change takes in changes.
type Change func(c Changes)

// Follower follows one table.
type Follower struct {
	store  Store
	table  rows.Table
	parts  []string
	wait   time.Duration
	change Change
	log    *logrus.Entry

	cancel context.CancelFunc
	done   chan struct{}

	// The goroutine that run is on owns what follows. at is the version up to which the table is known.
	at      rows.Version
	known   bool
	failing bool
}

// Whole is the part of tables that are not divided.
var Whole = []string{""}

// New returns a Follower of a table with some parts that has not begun. wait bounds one call that waits for changes. A store whose
// connection falls silent is noticed by the connection, within two seconds; one that takes the call and never answers, only after wait:
// a change is noticed that much later then.
func New(s Store, table rows.Table, parts []string, wait time.Duration, c Change, log *logrus.Entry) *Follower {
	return &Follower{
		store: s, table: table, parts: parts, wait: wait, change: c, log: log.WithField("table", string(table)),
		done: make(chan struct{}),
	}
}

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
	pause := firstPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err == nil {
			pause = firstPause
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// step reads the whole table, or waits for changes.
func (f *Follower) step(ctx context.Context) error {
	if !f.known {
		return f.readWhole(ctx)
	}
	page, err := f.store.Watch(ctx, f.table, f.at, f.wait)
	if errors.Is(err, rows.ErrHistoryGone) {
		f.known = false
		f.log.WithField("version", uint64(f.at)).Info("store_history_gone")
		return nil
	}
	if err != nil {
		return err
	}
	f.at = max(f.at, page.Version)
	if len(page.Rows) > 0 {
		f.change(Changes{Rows: page.Rows, Version: f.at, Now: page.Now})
	}
	return nil
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
	f.at, f.known = all.Version, true
	f.change(Changes{Rows: all.Rows, Whole: true, Version: f.at, Now: all.Now})
	return nil
}

// note logs when the table becomes unreadable, and when it is readable again.
func (f *Follower) note(err error) {
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
