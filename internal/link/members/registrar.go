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
	// removeAfter is the age of a renewal after which the entry's rows count as abandoned and other entries remove them.
	removeAfter = 45 * time.Second
	// retryAfter is the pause after a renewal that failed. An entry whose row is missing after a store outage must be listed again
	// within two seconds.
	retryAfter = 300 * time.Millisecond
)

// renewal is the value of a renewal's row.
type renewal struct {
	// AtMs is the store's clock when the entry read it.
	AtMs int64 `json:"at_ms"`
}

// Store is the part of the platform's store that a Registrar uses.
type Store interface {
	Range(ctx context.Context, r rows.Range) (rows.Page, error)
	Commit(ctx context.Context, t rows.Txn) (rows.Version, error)
}

// Registrar keeps the rows of one entry up to date.
type Registrar struct {
	store   Store
	address ident.Address
	log     *logrus.Entry
	// entries returns the number of known entries.
	entries func() int
	cancel  context.CancelFunc
	done    chan struct{}
	// wake triggers a renewal before the next one is due.
	wake chan struct{}

	// unclear holds the other entries whose rows tell no valid time of a renewal.
	unclear map[ident.Address]sighting

	mu    sync.Mutex
	entry Entry
}

// NewRegistrar returns a Registrar for the entry at an address; entries returns the number of known entries.
func NewRegistrar(s Store, address ident.Address, e Entry, entries func() int, log *logrus.Entry) *Registrar {
	return &Registrar{store: s, address: address, entry: e, entries: entries, log: log, done: make(chan struct{}), wake: make(chan struct{}, 1), unclear: make(map[ident.Address]sighting)}
}

// RequestAgents asks the agents of some services to link to the entry, in addition to those that do so anyway. The request lasts as long
// as the entry's process and its successors at the same address.
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

// addWants adds services to the entry's Wants and reports whether any of them was new.
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

// Start starts the goroutine that renews the rows. It does not wait for the first renewal, and its error is always nil.
func (r *Registrar) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return nil
}

// Stop stops the renewals and tries to remove the rows, within retryAfter.
func (r *Registrar) Stop() {
	r.cancel()
	<-r.done
	ctx, cancel := context.WithTimeout(context.Background(), retryAfter)
	defer cancel()
	err := r.remove(ctx)
	for errors.Is(err, rows.ErrConflict) {
		err = r.remove(ctx) // a delayed renewal by this process has changed the row
	}
	if err != nil {
		r.log.WithField("error", err.Error()).Info("member_row_left")
	}
}

// remove removes this process's rows, unless a successor has replaced them.
func (r *Registrar) remove(ctx context.Context) error {
	read, err := r.read(ctx, r.ownRow())
	if err != nil {
		return err
	}
	row := read.entry(r.address)
	if row == nil || !r.isOwn(row) {
		return nil
	}
	txn := read.conditionalTxn(r.address)
	txn.Remove = []rows.Key{r.key(Table), r.key(renewals)}
	_, err = r.store.Commit(ctx, txn)
	return err
}

// isOwn reports whether this process, and not a successor, wrote a row.
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

// key returns the key of the entry's row in a table.
func (r *Registrar) key(t rows.Table) rows.Key { return rows.Key{Table: t, Name: string(r.address)} }

// listing holds rows read from the two tables. complete is true if all rows were read.
type listing struct {
	entries, renewals rows.Page
	complete          bool
}

// sweepsPerInterval is how many entries, on average, read all rows in each renewal interval to find abandoned ones. If every entry did so,
// the number of rows read would grow with the square of the number of entries.
const sweepsPerInterval = 3

// readRange returns the range of rows that a renewal reads: the entry's own row or, at random, all rows.
func (r *Registrar) readRange() rows.Range {
	if n := r.entries(); n > sweepsPerInterval && rand.IntN(n) >= sweepsPerInterval {
		return r.ownRow()
	}
	return rows.Range{}
}

// ownRow returns the range that holds only the entry's own row.
func (r *Registrar) ownRow() rows.Range {
	return rows.Range{From: string(r.address), To: string(r.address) + "\x00"}
}

// read reads a range of names from both tables.
func (r *Registrar) read(ctx context.Context, names rows.Range) (listing, error) {
	complete := names == rows.Range{}
	names.Table = Table
	entries, err := r.store.Range(ctx, names)
	if err != nil {
		return listing{}, err
	}
	names.Table = renewals
	renewalRows, err := r.store.Range(ctx, names)
	return listing{entries, renewalRows, complete}, err
}

// entry returns the row of the entry at an address, or nil.
func (l *listing) entry(a ident.Address) *rows.Row { return find(l.entries, a) }

// conditionalTxn returns a transaction that takes effect only if the rows of the entry at an address are unchanged since they were read. A
// write that got no answer may be carried out seconds later, when the entry's successor has registered at the same address.
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

// find returns the row of an address from a page, or nil.
func find(p rows.Page, a ident.Address) *rows.Row {
	i := slices.IndexFunc(p.Rows, func(row rows.Row) bool { return row.Key.Name == string(a) })
	if i < 0 {
		return nil
	}
	return &p.Rows[i]
}

// run renews the rows until ctx is cancelled, and logs when renewals begin to fail or to succeed.
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

// Renew writes the entry's renewal and, if the entry's row is missing or differs, the row. It also removes those rows of other entries that
// it reads and finds abandoned.
func (r *Registrar) Renew(ctx context.Context) error {
	read, err := r.read(ctx, r.readRange())
	if err != nil {
		return err
	}
	txn, err := r.ownRowsTxn(&read)
	if err != nil {
		return err
	}
	for _, a := range r.findAbandoned(&read) {
		txn.If = append(txn.If, read.conditionalTxn(a).If...)
		txn.Remove = append(txn.Remove, rows.Key{Table: renewals, Name: string(a)}, rows.Key{Table: Table, Name: string(a)})
		r.log.WithField("link", a).Info("member_removed")
	}
	_, err = r.store.Commit(ctx, txn)
	return err
}

// ownRowsTxn returns the transaction that writes the entry's own rows. It first adds the Wants of the row as read, which a predecessor may
// have written, to the entry's.
func (r *Registrar) ownRowsTxn(read *listing) (rows.Txn, error) {
	renewed, err := json.Marshal(renewal{read.renewals.Now.Milliseconds()})
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "members: encode")
	}
	row := read.entry(r.address)
	if row != nil {
		var previous Entry
		if json.Unmarshal(row.Value, &previous) == nil {
			r.addWants(previous.Wants)
		}
	}
	r.mu.Lock()
	value, err := json.Marshal(r.entry)
	r.mu.Unlock()
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "members: encode")
	}
	txn := read.conditionalTxn(r.address)
	txn.Put = []rows.Row{{Key: r.key(renewals), Value: renewed}}
	if row == nil || !bytes.Equal(row.Value, value) {
		txn.Put = append(txn.Put, rows.Row{Key: r.key(Table), Value: value})
	}
	return txn, nil
}
