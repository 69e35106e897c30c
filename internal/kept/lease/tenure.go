// Package tenure keeps an entry's own lease: its right to act for the kept jobs that it owns. The lease is a row of the
// platform's store that is renewed under a condition; by the entry's own clock it ends before others may take it over.
// It is a state machine without I/O and without a clock of its own; one goroutine uses it.
package lease

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// ClockMargin is what the entry's own view of its lease is shorter than the store's, and what others wait longer: timers fire
// late, and steady clocks differ by less than a thousandth.
const ClockMargin = 200 * time.Millisecond

const (
	// idlePoll is the pause between two readings of the leases while no entry is known to have one: a call each that has
	// a price. A lease that was left behind is found at the start.
	idlePollInterval = 10 * time.Second
	// retryPoll is the pause after a reading that failed, and while a lease is wanted.
	retryDelay = 200 * time.Millisecond
	// idleFor is how long an entry without kept jobs holds its lease, whose renewals are calls that have a price.
	maxIdle = 30 * time.Second
)

// Owner is whose lease it is.
type Handler interface {
	// Write begins a write; then is called with what came of it.
	Write(op jobstore.Op, then func(now time.Time, r jobstore.Result))
	// ReadLeases reads all leases; Read or ReadFailed follow.
	ReadLeases()
	// Held is called when the lease is there, and at each renewal; first is true when it was not there before.
	OnHeld(now time.Time, first bool)
	// Lost is called when it has ended, and tells whether another one is wanted at once.
	OnLost(now time.Time, id record.LeaseID, why string) (wanted bool)
	// Waiting counts the jobs that have not begun, by queue, to be told with renewals.
	Waiting() map[route.Name]int
}

// Options are the settings of a Tenure.
type Options struct {
	// Node is the entry's VM, Incarnation this life of the entry.
	Node        string
	Incarnation ident.Incarnation
	// Length is how long the lease lasts, Renew the pause between renewals.
	Duration, RenewInterval time.Duration
	// Without leaves out safety rules, for experiments only.
	Without rule.Set
	Log     *logrus.Entry
}

// Tenure is one entry's lease, and those that follow it.
type Lease struct {
	opts    Options
	handler Handler
	// number counts the leases of this life.
	leaseNumber int
	// id is that of the lease, or of the one that is being acquired, empty when there is neither; held is true while it
	// is there.
	id   record.LeaseID
	held bool
	// version is that of the row, until the moment to which the entry may act, by its own clock.
	version rows.Version
	until   time.Time
	// wanted is true while something waits for the lease.
	wanted bool
	// writing is true while the row is being written, reading while leases are being read; readAt is when that began.
	writing, reading      bool
	readStarted, nextRead time.Time
	// clock is the store's clock at readAt, or a little later.
	clock time.Duration
	// usedAt is when there was last a use for it.
	lastUsed time.Time
	// quietSince is from when on this VM's entry has surely not acted under an earlier lease.
	quietSince time.Time
}

// New returns a Tenure without a lease.
func New(o Options, owner Handler, now time.Time) *Lease {
	return &Lease{opts: o, handler: owner, quietSince: now, readStarted: now}
}

// ID names the lease.
func (t *Lease) ID() record.LeaseID { return t.id }

// Held tells whether the entry may act for kept jobs.
func (t *Lease) Held(now time.Time) bool {
	return t.held && (now.Before(t.until) || t.opts.Without.Has(rule.OwnerLease))
}

// Clock is about the store's clock.
func (t *Lease) Clock(now time.Time) time.Duration { return t.clock + now.Sub(t.readStarted) }

// QuietSince is from when on this VM's entry has surely not acted under an earlier lease.
func (t *Lease) QuietSince() time.Time { return t.quietSince }

// Want asks for a lease.
func (t *Lease) Request(now time.Time) {
	if !t.wanted {
		t.wanted, t.nextRead = true, now
		t.readIfDue(now)
	}
}

// Tick does what time alone brings about; used tells whether there is a use for the lease.
func (t *Lease) Tick(now time.Time, used bool) {
	switch {
	case used:
		t.lastUsed = now
	case t.held && now.Sub(t.lastUsed) > maxIdle:
		t.Release(now, false)
	}
	if t.held && !t.Held(now) {
		t.setLost(now, "not_renewed")
	}
	t.readIfDue(now)
}

// read reads the leases if it is time.
func (t *Lease) readIfDue(now time.Time) {
	if t.reading || now.Before(t.nextRead) {
		return
	}
	t.reading = true
	t.handler.ReadLeases()
}

// ReadFailed handles a reading that failed.
func (t *Lease) HandleReadFailed(now time.Time) { t.reading, t.nextRead = false, now.Add(retryDelay) }

// Read handles the answer to a reading that was begun at sent: the store's clock, the lease's own row, nil when there is
// none, and whether other entries have leases.
func (t *Lease) HandleRead(now, sent time.Time, clock time.Duration, own *rows.Row, others bool) {
	t.reading, t.readStarted, t.clock = false, sent, clock
	t.handleRow(now, sent, own)
	switch {
	case t.wanted:
		t.nextRead = now.Add(retryDelay)
	case t.held || others:
		t.nextRead = now.Add(t.opts.RenewInterval)
	default:
		t.nextRead = now.Add(idlePollInterval)
	}
}

// takeIn takes in the row, nil when there is none, and writes the next.
func (t *Lease) handleRow(now, sent time.Time, row *rows.Row) {
	if t.writing {
		return
	}
	taken := row == nil
	if row != nil {
		l, err := record.Decode[record.Lease](*row)
		record.LogUnreadable(t.opts.Log, err)
		taken = l.Adopter != ""
	}
	if taken && t.held {
		t.setLost(now, "taken")
	}
	switch {
	case row == nil && t.wanted:
		t.id = record.LeaseID(fmt.Sprintf("%s-%d", t.opts.Incarnation, t.leaseNumber))
		t.write(sent, 0)
	case !taken && (t.held || t.wanted):
		t.write(sent, row.Version)
	}
}

// write acquires or renews the lease, from the moment at which the store's clock was read.
func (t *Lease) write(sent time.Time, v rows.Version) {
	t.writing = true
	id, number := t.id, t.leaseNumber
	until := t.clock + t.opts.Duration
	t.handler.Write(jobstore.Op{NoRetry: true, Txn: t.txn(id, v, record.Lease{
		Node: t.opts.Node, UntilMs: until.Milliseconds(), Waiting: t.handler.Waiting(),
	})}, func(now time.Time, r jobstore.Result) {
		t.writing = false
		if r.Outcome != jobstore.Done || t.id != id || t.leaseNumber != number {
			return // the next reading tells what is there
		}
		t.setHeld(now, sent.Add(t.opts.Duration-ClockMargin), r.Version)
	})
}

// txn writes the row if it has a version.
func (t *Lease) txn(id record.LeaseID, v rows.Version, l record.Lease) rows.Txn {
	key := record.LeaseKey(id)
	return rows.Txn{
		If:  []rows.Condition{{Key: key, Version: v}},
		Put: []rows.Row{{Key: key, Value: record.EncodeLogged(t.opts.Log, l)}},
	}
}

// hold notes that the lease is there until a moment.
func (t *Lease) setHeld(now, until time.Time, v rows.Version) {
	if !now.Before(until) {
		return
	}
	first := !t.held
	if first {
		t.lastUsed = now
	}
	t.held, t.wanted, t.version, t.until = true, false, v, until
	t.nextRead = now.Add(t.opts.RenewInterval)
	t.handler.OnHeld(now, first)
}

// lose notes that the lease has ended, or that another entry has it.
func (t *Lease) setLost(now time.Time, why string) {
	id := t.id
	t.held, t.quietSince, t.id = false, now, ""
	t.leaseNumber++
	t.wanted = t.handler.OnLost(now, id, why)
	t.nextRead = now
}

// Leave ends the lease. With jobs left, other entries are to take them over at once.
func (t *Lease) Release(now time.Time, jobs bool) {
	if !t.held {
		return
	}
	txn := t.txn(t.id, t.version, record.Lease{Node: t.opts.Node, UntilMs: t.Clock(now).Milliseconds()})
	if !jobs {
		txn.Put, txn.Remove = nil, []rows.Key{record.LeaseKey(t.id)}
	}
	t.setLost(now, "leaving")
	t.wanted = false
	t.handler.Write(jobstore.Op{NoRetry: true, Txn: txn}, func(time.Time, jobstore.Result) {}) // if it is not done, it ends by itself
}
