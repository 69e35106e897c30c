package owner

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// leaseCallbacks adapts an Owner to the interfaces lease.Handler and claims.Store.
type leaseCallbacks struct{ *Owner }

// Write starts a write; then is called with its result.
func (o leaseCallbacks) Write(op jobstore.Op, then func(now time.Time, r jobstore.Result)) {
	o.startWrite(op, then)
}

// Scan starts reading all open jobs.
func (o leaseCallbacks) Scan() { o.store.Scan() }

// ReadLeases starts reading all leases.
func (o leaseCallbacks) ReadLeases() { o.store.ReadLeases() }

// Waiting returns, by queue, the number of jobs that have not started.
func (o leaseCallbacks) Waiting() map[route.Name]int { return o.table.Waiting() }

// OnHeld accepts the jobs that were waiting for the lease.
func (o leaseCallbacks) OnHeld(now time.Time, first bool) {
	if first {
		o.logEvent(logrus.InfoLevel, "lease_held", logrus.Fields{"lease": o.lease.ID()})
		o.claims.HandleOwnLeaseHeld(now)
	}
	for _, k := range o.sortedJobs() {
		if k.phase == awaitingLease {
			o.accept(now, k)
		}
	}
}

// OnLost drops all jobs except those that still wait for a lease. It reports whether any such job is left.
func (o leaseCallbacks) OnLost(now time.Time, id record.LeaseID, why string) (wanted bool) {
	o.logEvent(logrus.WarnLevel, "lease_lost", logrus.Fields{"lease": id, "jobs": len(o.jobs), "why": why})
	for _, k := range o.sortedJobs() {
		if k.phase != awaitingLease {
			o.dropJob(now, k, why)
		}
	}
	o.claims.Clear()
	o.inquiry.Clear()
	return len(o.jobs) > 0
}

// AnyLease reports whether this entry holds a lease, or knows of a lease of another entry.
func (o *Owner) AnyLease(now time.Time) bool { return o.lease.Held(now) || o.claims.HasOthers() }

// ReleaseLease ends the lease, so that other entries take the jobs over without waiting for it to expire.
func (o *Owner) ReleaseLease(now time.Time) { o.lease.Release(now, len(o.jobs) > 0) }

// HandleLeases handles the result of a read of the leases that started at sent.
func (o *Owner) HandleLeases(now, sent time.Time, page rows.Page, err error) {
	if err != nil {
		o.lease.HandleReadFailed(now) // the Store has logged the error
		return
	}
	others := slices.Clone(page.Rows)
	var own *rows.Row
	if i := slices.IndexFunc(others, o.isOwnLease); i >= 0 {
		own = &page.Rows[i]
		others = slices.Delete(others, i, i+1)
	}
	o.claims.HandleLeases(now, page.Now, others)
	o.lease.HandleRead(now, sent, page.Now, own, o.claims.HasOthers())
	o.claims.ScanIfDue(now)
}

// isOwnLease reports whether a row holds this entry's lease.
func (o *Owner) isOwnLease(lease rows.Row) bool { return lease.Key.Name == string(o.lease.ID()) }
