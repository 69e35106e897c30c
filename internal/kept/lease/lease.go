// Package lease acquires and renews an entry's lease, which is its right to act for the kept jobs that it owns. The lease is
// a row of the platform's store that is renewed by conditional writes. By the entry's own clock, the lease expires before
// other entries may take its jobs over. The package is a state machine without I/O and without its own clock; one goroutine
// uses it.
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

// ClockMargin is a safety margin. By the entry's own clock a lease expires this much earlier than by the store's clock, and
// other entries wait this much longer before they take over its jobs. The margin covers timers that fire late and the
// difference between monotonic clocks, which is less than a thousandth.
const ClockMargin = 200 * time.Millisecond

const (
	// idlePollInterval is the pause between two reads of the leases while no entry is known to have one. It is long because
	// each read is a call that is paid for. A lease that an earlier process left behind is found by the first read.
	idlePollInterval = 10 * time.Second
	// retryDelay is the pause after a failed read of the leases, and after each read while a lease is requested.
	retryDelay = 200 * time.Millisecond
	// maxIdle is how long an entry without kept jobs holds its lease. Each renewal is a call that is paid for.
	maxIdle = 30 * time.Second
)

// Handler does the I/O of a Lease and is told of its changes.
type Handler interface {
	// Write starts a write; then is called with its result.
	Write(op jobstore.Op, then func(now time.Time, r jobstore.Result))
	// ReadLeases starts reading all leases. Lease.HandleRead or Lease.HandleReadFailed must follow.
	ReadLeases()
	// OnHeld is called when the lease was acquired or renewed; first is true when it was acquired.
	OnHeld(now time.Time, first bool)
	// OnLost is called when the lease has ended. It returns true if a new lease is needed at once.
	OnLost(now time.Time, id record.LeaseID, why string) (wanted bool)
	// Waiting returns, by queue, the number of jobs that have not started. It is stored with each renewal.
	Waiting() map[route.Name]int
}

// Options configures a Lease.
type Options struct {
	// Node is the entry's VM, Link its link address. Incarnation identifies this process of the entry.
	Node        string
	Link        ident.Address
	Incarnation ident.Incarnation
	// Duration is how long the lease lasts. RenewInterval is the pause between renewals.
	Duration, RenewInterval time.Duration
	// Without disables safety rules, for experiments only.
	Without rule.Set
	Log     *logrus.Entry
}

// Lease is the current lease of one entry. When it has ended, the same Lease can acquire a new one with another id.
type Lease struct {
	opts    Options
	handler Handler
	// leaseNumber is the number of leases of this incarnation that have ended.
	leaseNumber int
	// id is the id of the lease that is held or being acquired, and empty otherwise. held is true from the acquisition of
	// the lease until its end.
	id   record.LeaseID
	held bool
	// version is the version of the lease's row. until is when the lease expires by the entry's own clock.
	version rows.Version
	until   time.Time
	// wanted is true while a lease is requested and not acquired yet.
	wanted bool
	// writing is true while the row is being written, and reading while the leases are being read. readStarted is when the
	// last successful read was started, and nextRead when the next one is due.
	writing, reading      bool
	readStarted, nextRead time.Time
	// clock is the store's clock at readStarted, or slightly later. clockKnown is false until the leases were read.
	clock      time.Duration
	clockKnown bool
	// lastUsed is when the lease was last needed.
	lastUsed time.Time
	// quietSince is the time since which no entry on this VM can have acted under an earlier lease.
	quietSince time.Time
}

// New returns a Lease that is not held.
func New(o Options, handler Handler, now time.Time) *Lease {
	return &Lease{opts: o, handler: handler, quietSince: now, readStarted: now}
}

// ID returns the id of the lease that is held or being acquired. It is empty if there is none.
func (l *Lease) ID() record.LeaseID { return l.id }

// Held reports whether the entry may act for kept jobs.
func (l *Lease) Held(now time.Time) bool {
	return l.held && (now.Before(l.until) || l.opts.Without.Has(rule.OwnerLease))
}

// Clock returns an estimate of the store's clock, extrapolated from the last read.
func (l *Lease) Clock(now time.Time) time.Duration { return l.clock + now.Sub(l.readStarted) }

// ClockKnown reports whether Clock returns an estimate of the store's clock.
func (l *Lease) ClockKnown() bool { return l.clockKnown }

// QuietSince returns the time since which no entry on this VM can have acted under an earlier lease.
func (l *Lease) QuietSince() time.Time { return l.quietSince }

// Request starts to acquire a lease, unless that was requested already. Handler.OnHeld follows once the lease is held.
func (l *Lease) Request(now time.Time) {
	if !l.wanted {
		l.wanted, l.nextRead = true, now
		l.readIfDue(now)
	}
}

// Tick ends a lease that has expired or was idle for too long, and starts the read of the leases that is due. used is true if
// the lease is needed.
func (l *Lease) Tick(now time.Time, used bool) {
	switch {
	case used:
		l.lastUsed = now
	case l.held && now.Sub(l.lastUsed) > maxIdle:
		l.Release(now, false)
	}
	if l.held && !l.Held(now) {
		l.setLost(now, "not_renewed")
	}
	l.readIfDue(now)
}

// readIfDue starts a read of the leases if one is due and none is in progress.
func (l *Lease) readIfDue(now time.Time) {
	if l.reading || now.Before(l.nextRead) {
		return
	}
	l.reading = true
	l.handler.ReadLeases()
}

// HandleReadFailed handles a failed read of the leases.
func (l *Lease) HandleReadFailed(now time.Time) { l.reading, l.nextRead = false, now.Add(retryDelay) }

// HandleRead handles the result of a read of the leases that was started at sent. clock is the store's clock, own is the row
// of this lease or nil if there is none, and others is true if other entries have leases.
func (l *Lease) HandleRead(now, sent time.Time, clock time.Duration, own *rows.Row, others bool) {
	l.reading, l.readStarted, l.clock, l.clockKnown = false, sent, clock, true
	l.handleRow(now, sent, own)
	switch {
	case l.wanted:
		l.nextRead = now.Add(retryDelay)
	case l.held || others:
		l.nextRead = now.Add(l.opts.RenewInterval)
	default:
		l.nextRead = now.Add(idlePollInterval)
	}
}

// handleRow handles the row of this lease, which is nil if there is none. It writes the row to acquire or renew the lease.
func (l *Lease) handleRow(now, sent time.Time, row *rows.Row) {
	if l.writing {
		return
	}
	taken := row == nil
	if row != nil {
		stored, err := record.Decode[record.Lease](*row)
		record.LogUnreadable(l.opts.Log, err)
		taken = stored.Adopter != ""
	}
	if taken && l.held {
		l.setLost(now, "taken")
	}
	switch {
	case row == nil && l.wanted:
		l.id = record.LeaseID(fmt.Sprintf("%s-%d", l.opts.Incarnation, l.leaseNumber))
		l.write(sent, 0)
	case !taken && (l.held || l.wanted):
		l.write(sent, row.Version)
	}
}

// write starts the write that acquires or renews the lease. The lease's duration counts from sent, when the read of the
// store's clock was started. v is the version of the present row, or zero.
func (l *Lease) write(sent time.Time, v rows.Version) {
	l.writing = true
	id, number := l.id, l.leaseNumber
	until := l.clock + l.opts.Duration
	l.handler.Write(jobstore.Op{NoRetry: true, Txn: l.txn(id, v, record.Lease{
		Node: l.opts.Node, Link: l.opts.Link, UntilMs: until.Milliseconds(), Waiting: l.handler.Waiting(),
	})}, func(now time.Time, r jobstore.Result) {
		l.writing = false
		if r.Outcome != jobstore.Done || l.id != id || l.leaseNumber != number {
			return // the next read shows the state of the row
		}
		l.setHeld(now, sent.Add(l.opts.Duration-ClockMargin), r.Version)
	})
}

// txn returns the transaction that writes the row if its version is v.
func (l *Lease) txn(id record.LeaseID, v rows.Version, content record.Lease) rows.Txn {
	key := record.LeaseKey(id)
	return rows.Txn{
		If:  []rows.Condition{{Key: key, Version: v}},
		Put: []rows.Row{{Key: key, Value: record.EncodeLogged(l.opts.Log, content)}},
	}
}

// setHeld records that the lease is held until the given time. It does nothing if that time has passed.
func (l *Lease) setHeld(now, until time.Time, v rows.Version) {
	if !now.Before(until) {
		return
	}
	first := !l.held
	if first {
		l.lastUsed = now
	}
	l.held, l.wanted, l.version, l.until = true, false, v, until
	l.nextRead = now.Add(l.opts.RenewInterval)
	l.handler.OnHeld(now, first)
}

// setLost records that the lease has ended or was claimed by another entry.
func (l *Lease) setLost(now time.Time, why string) {
	id := l.id
	l.held, l.quietSince, l.id = false, now, ""
	l.leaseNumber++
	l.wanted = l.handler.OnLost(now, id, why)
	l.nextRead = now
}

// Release ends the lease. If the entry still owns jobs, the row is left as expired, so that other entries take the jobs over
// at once. Otherwise the row is removed.
func (l *Lease) Release(now time.Time, jobs bool) {
	if !l.held {
		return
	}
	txn := l.txn(l.id, l.version, record.Lease{Node: l.opts.Node, UntilMs: l.Clock(now).Milliseconds()})
	if !jobs {
		txn.Put, txn.Remove = nil, []rows.Key{record.LeaseKey(l.id)}
	}
	l.setLost(now, "leaving")
	l.wanted = false
	// If this write is not done, the lease expires by itself.
	l.handler.Write(jobstore.Op{NoRetry: true, Txn: txn}, func(time.Time, jobstore.Result) {})
}
