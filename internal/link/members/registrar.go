package members

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
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

// renewal is the value of a renewal's row.
type renewal struct {
	// AtMs is the store's clock when the entry read it.
	AtMs int64 `json:"at_ms"`
}

// Writer is what a Registrar needs of the store.
type Store interface {
	Range(ctx context.Context, r rows.Range) (rows.Page, error)
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
}

// Registrar keeps one entry's rows.
type Registrar struct {
	store   Store
	address ident.Address
	log     *logrus.Entry
	// entries tells how many entries are known.
	entries func() int
	cancel  context.CancelFunc
	done    chan struct{}
	// wake lets the row be written before its next renewal.
	wake chan struct{}

	mu    sync.Mutex
	entry Entry
}

// NewRegistrar returns a Registrar that has not begun; entries tells how many entries are known.
func NewRegistrar(s Store, address ident.Address, e Entry, entries func() int, log *logrus.Entry) *Registrar {
	return &Registrar{store: s, address: address, entry: e, entries: entries, log: log, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Want lets agents of some services link to the entry, beside those that do anyway. They do so for the entry's life, and
// that of its successor at the same address.
func (r *Registrar) RequestAgents(services []ident.Service) {
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

// Stop removes the rows, if the store answers at once.
func (r *Registrar) Stop() {
	r.cancel()
	<-r.done
	ctx, cancel := context.WithTimeout(context.Background(), retryAfter)
	defer cancel()
	err := r.remove(ctx)
	for errors.Is(err, rows.ErrConflict) {
		err = r.remove(ctx) // a renewal of this life was done late
	}
	if err != nil {
		r.log.WithField("error", err.Error()).Info("member_row_left")
	}
}

// remove removes this life's rows, unless a successor has replaced them.
func (r *Registrar) remove(ctx context.Context) error {
	present, err := r.read(ctx, r.ownRow())
	if err != nil {
		return err
	}
	row := present.entry(r.address)
	if row == nil || !r.isOwn(row) {
		return nil
	}
	txn := present.conditionalTxn(r.address)
	txn.Remove = []rows.Key{r.key(Table), r.key(renewals)}
	_, err = r.store.Commit(ctx, txn)
	return err
}

// isOwn tells whether a row was written by this life of the entry.
func (r *Registrar) isOwn(row *rows.Row) bool {
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		r.log.WithField("error", err.Error()).Warn("member_unreadable")
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return e.Incarnation == r.entry.Incarnation
}

// key names the entry's row of a table.
func (r *Registrar) key(t rows.Table) rows.Key { return rows.Key{Table: t, Name: string(r.address)} }

// listing is what the two tables hold at one time.
type listing struct{ entries, renewals rows.Page }

// sweeps is how many entries look at each renewal for what others have left behind, on average. If all did, what they read would grow
// with the square of their number.
const sweepsPerInterval = 3

// scope returns the rows that a renewal reads: the entry's own, and now and then all.
func (r *Registrar) readRange() rows.Range {
	if n := r.entries(); n > sweepsPerInterval && rand.IntN(n) >= sweepsPerInterval {
		return r.ownRow()
	}
	return rows.Range{}
}

// ownRow bounds a reading to the entry's own row.
func (r *Registrar) ownRow() rows.Range {
	return rows.Range{From: string(r.address), To: string(r.address) + "\x00"}
}

// read reads both tables within a range of names.
func (r *Registrar) read(ctx context.Context, names rows.Range) (listing, error) {
	names.Table = Table
	entries, err := r.store.Range(ctx, names)
	if err != nil {
		return listing{}, err
	}
	names.Table = renewals
	renewed, err := r.store.Range(ctx, names)
	return listing{entries, renewed}, err
}

// entry returns the row of the entry at an address, or nil.
func (l *listing) entry(a ident.Address) *rows.Row { return find(l.entries, a) }

// conditions returns a transaction that is done only while an entry's rows are as they were read. A write without an
// answer may be carried out seconds later, when the entry's next life has registered at the same address.
func (l *listing) conditionalTxn(a ident.Address) rows.Txn {
	condition := func(t rows.Table, row *rows.Row) rows.Condition {
		c := rows.Condition{Key: rows.Key{Table: t, Name: string(a)}}
		if row != nil {
			c.Version = row.Version
		}
		return c
	}
	return rows.Txn{If: []rows.Condition{condition(Table, l.entry(a)), condition(renewals, find(l.renewals, a))}}
}

// find returns an address's row of a page, or nil.
func find(p rows.Page, a ident.Address) *rows.Row {
	i := slices.IndexFunc(p.Rows, func(row rows.Row) bool { return row.Key.Name == string(a) })
	if i < 0 {
		return nil
	}
	return &p.Rows[i]
}

func (r *Registrar) run(ctx context.Context) {
	defer close(r.done)
	failing := false
	for ctx.Err() == nil {
		err := r.Renew(ctx)
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

// Renew writes the entry's renewal and, if it is missing or another life's, its row; and it removes what others
// have left behind, of the rows that it reads.
func (r *Registrar) Renew(ctx context.Context) error {
	present, err := r.read(ctx, r.readRange())
	if err != nil {
		return err
	}
	txn, err := r.ownRowsTxn(&present)
	if err != nil {
		return err
	}
	for _, row := range present.renewals.Rows {
		if row.Key.Name != string(r.address) && isAbandoned(row, present.renewals.Now) {
			txn.If = append(txn.If, rows.Condition{Key: row.Key, Version: row.Version})
			txn.Remove = append(txn.Remove, row.Key, rows.Key{Table: Table, Name: row.Key.Name})
			r.log.WithField("link", row.Key.Name).Info("member_removed")
		}
	}
	_, err = r.store.Commit(ctx, txn)
	return err
}

// own returns the writes of the entry's own rows.
func (r *Registrar) ownRowsTxn(present *listing) (rows.Txn, error) {
	mark, err := json.Marshal(renewal{present.renewals.Now.Milliseconds()})
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "members: encode")
	}
	row := present.entry(r.address)
	if row != nil {
		var former Entry
		if json.Unmarshal(row.Value, &former) == nil {
			r.addWants(former.Wants)
		}
	}
	r.mu.Lock()
	value, err := json.Marshal(r.entry)
	r.mu.Unlock()
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "members: encode")
	}
	txn := present.conditionalTxn(r.address)
	txn.Put = []rows.Row{{Key: r.key(renewals), Value: mark}}
	if row == nil || !bytes.Equal(row.Value, value) {
		txn.Put = append(txn.Put, rows.Row{Key: r.key(Table), Value: value})
	}
	return txn, nil
}

// leftBehind tells whether a renewal is so old that its entry has surely gone. The store's clock is steady; one
// that can't be read counts as old.
func isAbandoned(row rows.Row, now time.Duration) bool {
	var at renewal
	if err := json.Unmarshal(row.Value, &at); err != nil {
		return true
	}
	return now-time.Duration(at.AtMs)*time.Millisecond > removeAfter
}
