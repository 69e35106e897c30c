// Package members lets hillreel's processes find the entries: each entry keeps a row in the platform's store, and
// everybody follows that table. Links tell who is alive, the table only where to look.
//
// Each entry also renews a row of a second table, which nobody follows: a renewal would otherwise wake every
// process of the region (90 calls a second with 10 entries and 62 agents). It tells which rows were left behind.
package members

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// The tables, by link address.
const (
	// Table is followed: it changes only when an entry comes or goes.
	Table rows.Table = "hillreel_entries"
	// renewals holds when each entry was last there.
	renewals rows.Table = "hillreel_entry_renewals"
)

const (
	// renewEvery is the pause between two renewals of an entry's row.
	renewEvery = 10 * time.Second
	// removeAfter is when a row that was not renewed counts as left behind, and other entries remove it.
	removeAfter = 45 * time.Second
	// retryAfter is the pause after a renewal that failed. An entry whose row is missing when the store returns
	// must be back within two seconds.
	retryAfter = 300 * time.Millisecond
)

// Entry is the value of an entry's row.
type Entry struct {
	Name        string     `json:"name"`
	Incarnation string     `json:"incarnation"`
	Zone        ident.Zone `json:"zone"`
}

// renewal is the value of a renewal's row.
type renewal struct {
	// AtMs is the store's clock when the entry read it.
	AtMs int64 `json:"at_ms"`
}

// Directory is the list of entries as the store has it.
type Directory struct {
	changed func([]ident.Address)

	mu  sync.Mutex
	all map[ident.Address]bool
}

// NewDirectory returns an empty Directory; changed is called with the link addresses of all entries, each time one
// comes or goes.
func NewDirectory(changed func([]ident.Address)) *Directory {
	return &Directory{changed: changed, all: make(map[ident.Address]bool)}
}

// Change takes in rows of the table; it is a follow.Change.
func (d *Directory) Change(changed []rows.Row, whole bool, _ time.Duration) {
	d.mu.Lock()
	if whole {
		clear(d.all)
	}
	for _, r := range changed {
		if r.Removed {
			delete(d.all, ident.Address(r.Key.Name))
			continue
		}
		d.all[ident.Address(r.Key.Name)] = true
	}
	live := make([]ident.Address, 0, len(d.all))
	for a := range d.all {
		live = append(live, a)
	}
	d.mu.Unlock()
	slices.Sort(live)
	d.changed(live)
}

// Writer is what a Registrar needs of the store.
type Writer interface {
	List(ctx context.Context, table rows.Table, part string) (rows.Page, error)
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
}

// Registrar keeps one entry's rows.
type Registrar struct {
	store   Writer
	address ident.Address
	entry   Entry
	log     *logrus.Entry
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewRegistrar returns a Registrar that has not begun.
func NewRegistrar(s Writer, address ident.Address, e Entry, log *logrus.Entry) *Registrar {
	return &Registrar{store: s, address: address, entry: e, log: log, done: make(chan struct{})}
}

// Start begins to renew the row.
func (r *Registrar) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return nil
}

// Stop removes the row, if the store answers at once.
func (r *Registrar) Stop() {
	r.cancel()
	<-r.done
	ctx, cancel := context.WithTimeout(context.Background(), retryAfter)
	defer cancel()
	gone := rows.Txn{Remove: []rows.Key{{Table: Table, Name: string(r.address)}, {Table: renewals, Name: string(r.address)}}}
	if _, err := r.store.Commit(ctx, gone); err != nil {
		r.log.WithField("error", err.Error()).Info("member_row_left")
	}
}

func (r *Registrar) run(ctx context.Context) {
	defer close(r.done)
	failing := false
	for ctx.Err() == nil {
		err := r.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			r.log.WithFields(logrus.Fields{"registered": !failing, "error": err}).Info("member_row")
		}
		pause := renewEvery
		if err != nil {
			pause = retryAfter
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// renew writes the entry's renewal and, if it is missing or another life's, its row; and it removes what others
// have left behind.
func (r *Registrar) renew(ctx context.Context) error {
	entries, err := r.store.List(ctx, Table, "")
	if err != nil {
		return err
	}
	renewed, err := r.store.List(ctx, renewals, "")
	if err != nil {
		return err
	}
	txn, err := r.own(entries, renewed.Now)
	if err != nil {
		return err
	}
	for _, row := range renewed.Rows {
		if row.Key.Name != string(r.address) && leftBehind(row, renewed.Now) {
			txn.If = append(txn.If, rows.Condition{Key: row.Key, Version: row.Version})
			txn.Remove = append(txn.Remove, row.Key, rows.Key{Table: Table, Name: row.Key.Name})
			r.log.WithField("link", row.Key.Name).Info("member_removed")
		}
	}
	_, err = r.store.Commit(ctx, txn)
	return err
}

// own returns the writes of the entry's own rows.
func (r *Registrar) own(entries rows.Page, now time.Duration) (rows.Txn, error) {
	mark, err := json.Marshal(renewal{now.Milliseconds()})
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "members: encode")
	}
	value, err := json.Marshal(r.entry)
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "members: encode")
	}
	txn := rows.Txn{Put: []rows.Row{{Key: rows.Key{Table: renewals, Name: string(r.address)}, Value: mark}}}
	for _, row := range entries.Rows {
		if row.Key.Name == string(r.address) && string(row.Value) == string(value) {
			return txn, nil
		}
	}
	txn.Put = append(txn.Put, rows.Row{Key: rows.Key{Table: Table, Name: string(r.address)}, Value: value})
	return txn, nil
}

// leftBehind tells whether a renewal is so old that its entry has surely gone. The store's clock is steady; one
// that can't be read counts as old.
func leftBehind(row rows.Row, now time.Duration) bool {
	var at renewal
	if err := json.Unmarshal(row.Value, &at); err != nil {
		return true
	}
	return now-time.Duration(at.AtMs)*time.Millisecond > removeAfter
}
