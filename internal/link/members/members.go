// Package members lets hillreel's processes find the entries: each entry keeps a row in the platform's store, and
// everybody follows that table. Links tell who is alive, the table only where to look.
//
// Each entry also renews a row of a second table, which nobody follows: a renewal would otherwise wake every
// process of the region (90 calls a second with 10 entries and 62 agents). It tells which rows were left behind.
package members

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
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
	// Wants are services of whose upstreams the entry is linked to few, while agents link to a part of the entries only.
	Wants []ident.Service `json:"wants,omitempty"`
}

// Listed is an entry as the table has it.
type Listed struct {
	Address ident.Address   `json:"address"`
	Wants   []ident.Service `json:"wants,omitempty"`
}

// renewal is the value of a renewal's row.
type renewal struct {
	// AtMs is the store's clock when the entry read it.
	AtMs int64 `json:"at_ms"`
}

// Directory is the list of entries as the store has it.
type Directory struct {
	changed func([]Listed)
	log     *logrus.Entry

	mu  sync.Mutex
	all map[ident.Address]Listed
}

// NewDirectory returns an empty Directory; changed is called with all entries each time one comes, goes or changes.
func NewDirectory(changed func([]Listed), log *logrus.Entry) *Directory {
	return &Directory{changed: changed, log: log, all: make(map[ident.Address]Listed)}
}

// Len returns how many entries are listed.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.all)
}

// Change takes in rows of the table; it is a follow.Change.
func (d *Directory) Change(changed []rows.Row, whole bool, _ time.Duration) {
	d.mu.Lock()
	if whole {
		clear(d.all)
	}
	for _, r := range changed {
		address := ident.Address(r.Key.Name)
		if r.Removed {
			delete(d.all, address)
			continue
		}
		var e Entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			// The address is in the name, so that agents find the entry all the same.
			d.log.WithFields(logrus.Fields{"link": address, "error": err.Error()}).Warn("member_unreadable")
		}
		d.all[address] = Listed{address, e.Wants}
	}
	live := slices.SortedFunc(maps.Values(d.all), func(a, b Listed) int { return cmp.Compare(a.Address, b.Address) })
	d.mu.Unlock()
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
	log     *logrus.Entry
	cancel  context.CancelFunc
	done    chan struct{}
	// wake lets the row be written before its next renewal.
	wake chan struct{}

	mu    sync.Mutex
	entry Entry
}

// NewRegistrar returns a Registrar that has not begun.
func NewRegistrar(s Writer, address ident.Address, e Entry, log *logrus.Entry) *Registrar {
	return &Registrar{store: s, address: address, entry: e, log: log, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Want lets agents of some services link to the entry, beside those that do anyway. They do so for the entry's life, and
// that of its successor at the same address.
func (r *Registrar) Want(services []ident.Service) {
	if !r.addWants(services) {
		return
	}
	r.log.WithField("services", services).Info("agents_wanted")
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// addWants adds services, and tells whether one was new.
func (r *Registrar) addWants(services []ident.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.entry.Wants)
	for _, s := range services {
		if !slices.Contains(r.entry.Wants, s) {
			r.entry.Wants = append(r.entry.Wants, s)
		}
	}
	return len(r.entry.Wants) > before
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
		case <-r.wake:
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
	var present []byte
	if i := slices.IndexFunc(entries.Rows, func(row rows.Row) bool { return row.Key.Name == string(r.address) }); i >= 0 {
		present = entries.Rows[i].Value
		var former Entry
		if json.Unmarshal(present, &former) == nil {
			r.addWants(former.Wants)
		}
	}
	r.mu.Lock()
	value, err := json.Marshal(r.entry)
	r.mu.Unlock()
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "members: encode")
	}
	txn := rows.Txn{Put: []rows.Row{{Key: rows.Key{Table: renewals, Name: string(r.address)}, Value: mark}}}
	if !bytes.Equal(present, value) {
		txn.Put = append(txn.Put, rows.Row{Key: rows.Key{Table: Table, Name: string(r.address)}, Value: value})
	}
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
