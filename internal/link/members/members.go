// Package members lets hillreel's processes find the entries: each entry keeps a row in the platform's store
// and renews it; everybody follows the table. Links tell who is alive, the table only where to look.
package members

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// Table is where entries have their rows, by link address.
const Table rows.Table = "hillreel_entries"

const (
	// renewEvery is the pause between two renewals of an entry's row.
	renewEvery = 10 * time.Second
	// staleAfter is when a row that was not renewed counts as left behind: three renewals and some more.
	staleAfter = 35 * time.Second
	// removeAfter is when other entries remove such a row.
	removeAfter = 60 * time.Second
	// retryAfter is the pause after a renewal that failed. An entry whose row is missing when the store returns
	// must be back within two seconds.
	retryAfter = 300 * time.Millisecond
)

// Entry is the value of a row.
type Entry struct {
	Name        string     `json:"name"`
	Incarnation string     `json:"incarnation"`
	Zone        ident.Zone `json:"zone"`
	// RenewedMs is the store's clock at the newest renewal, as far as the entry knew it.
	RenewedMs int64 `json:"renewed_ms"`
}

// Directory is the list of entries as the store has it.
type Directory struct {
	changed func([]ident.Address)

	mu  sync.Mutex
	all map[ident.Address]Entry
	// now is the store's clock when it was read, at the local time read.
	now  time.Duration
	read time.Time
}

// NewDirectory returns an empty Directory; changed is called with the link addresses of the entries that
// renewed their rows lately, each time a row changes.
func NewDirectory(changed func([]ident.Address)) *Directory {
	return &Directory{changed: changed, all: make(map[ident.Address]Entry)}
}

// Change takes in rows of the table; it is a follow.Change.
func (d *Directory) Change(changed []rows.Row, whole bool, now time.Duration) {
	d.mu.Lock()
	if whole {
		clear(d.all)
	}
	for _, r := range changed {
		var e Entry
		if r.Removed || json.Unmarshal(r.Value, &e) != nil {
			delete(d.all, ident.Address(r.Key.Name))
			continue
		}
		d.all[ident.Address(r.Key.Name)] = e
	}
	d.now, d.read = now, time.Now()
	live := d.older(0, staleAfter)
	d.mu.Unlock()
	d.changed(live)
}

// older lists the rows whose newest renewal is at least from and less than to ago.
func (d *Directory) older(from, to time.Duration) []ident.Address {
	var out []ident.Address
	for address, e := range d.all {
		age := d.clock() - time.Duration(e.RenewedMs)*time.Millisecond
		if (age >= from || from == 0) && age < to {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// clock is the store's clock now, as well as it is known.
func (d *Directory) clock() time.Duration {
	if d.read.IsZero() {
		return 0
	}
	return d.now + time.Since(d.read)
}

// Writer is what a Registrar needs of the store.
type Writer interface {
	List(ctx context.Context, table rows.Table, part string) (rows.Page, error)
	Commit(ctx context.Context, t rows.Txn) error
}

// Registrar keeps one entry's row.
type Registrar struct {
	store   Writer
	dir     *Directory
	address ident.Address
	entry   Entry
	log     *logrus.Entry
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewRegistrar returns a Registrar that has not begun.
func NewRegistrar(s Writer, d *Directory, address ident.Address, e Entry, log *logrus.Entry) *Registrar {
	return &Registrar{store: s, dir: d, address: address, entry: e, log: log, done: make(chan struct{})}
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
	if err := r.store.Commit(ctx, rows.Txn{Remove: []rows.Key{r.key(r.address)}}); err != nil {
		r.log.WithField("error", err.Error()).Info("member_row_left")
	}
}

func (r *Registrar) key(a ident.Address) rows.Key { return rows.Key{Table: Table, Name: string(a)} }

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

// renew writes the row with the store's present clock, and removes rows that were left behind.
func (r *Registrar) renew(ctx context.Context) error {
	page, err := r.store.List(ctx, Table, "")
	if err != nil {
		return err
	}
	r.dir.Change(page.Rows, true, page.Now)
	r.entry.RenewedMs = page.Now.Milliseconds()
	value, err := json.Marshal(r.entry)
	if err != nil {
		return err
	}
	txn := rows.Txn{Put: []rows.Row{{Key: r.key(r.address), Value: value}}}
	for _, row := range page.Rows {
		var e Entry
		left := json.Unmarshal(row.Value, &e) != nil || page.Now-time.Duration(e.RenewedMs)*time.Millisecond > removeAfter
		if left && row.Key.Name != string(r.address) {
			txn.Remove = append(txn.Remove, row.Key)
			txn.If = append(txn.If, rows.Condition{Key: row.Key, Version: row.Version})
		}
	}
	return r.store.Commit(ctx, txn)
}
