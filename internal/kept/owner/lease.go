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

// leaseOwner is a book as its lease, and the claims of others, see it.
type leaseCallbacks struct{ *Owner }

// Write begins a write.
func (b leaseCallbacks) Write(op jobstore.Op, then func(now time.Time, r jobstore.Result)) {
	b.startWrite(op, then)
}

// Scan reads all open jobs.
func (b leaseCallbacks) Scan() { b.store.Scan() }

// ReadLeases reads all leases.
func (b leaseCallbacks) ReadLeases() { b.store.ReadLeases() }

// Waiting counts the jobs that have not begun, by queue.
func (b leaseCallbacks) Waiting() map[route.Name]int { return b.table.Waiting() }

// Held lets jobs be accepted that have waited for the lease.
func (b leaseCallbacks) OnHeld(now time.Time, first bool) {
	if first {
		b.logEvent(logrus.InfoLevel, "lease_held", logrus.Fields{"lease": b.lease.ID()})
		b.claims.HandleOwnLeaseHeld(now)
	}
	for _, k := range b.sortedJobs() {
		if k.phase == awaitingLease {
			b.accept(now, k)
		}
	}
}

// Lost stops acting for all jobs but those that wait for a lease.
func (b leaseCallbacks) OnLost(now time.Time, id record.LeaseID, why string) (wanted bool) {
	b.logEvent(logrus.WarnLevel, "lease_lost", logrus.Fields{"lease": id, "jobs": len(b.jobs), "why": why})
	for _, k := range b.sortedJobs() {
		if k.phase != awaitingLease {
			b.dropJob(now, k, why)
		}
	}
	b.claims.Clear()
	b.inquiry.Clear()
	return len(b.jobs) > 0
}

// Active tells whether this entry has a lease, or another entry is known to have one.
func (b *Owner) AnyLease(now time.Time) bool { return b.lease.Held(now) || b.claims.HasOthers() }

// Leave ends the lease, so that other entries take its jobs over at once.
func (b *Owner) ReleaseLease(now time.Time) { b.lease.Release(now, len(b.jobs) > 0) }

// LeasesRead handles the answer to a reading of the leases that was begun at sent.
func (b *Owner) HandleLeases(now, sent time.Time, page rows.Page, err error) {
	if err != nil {
		b.lease.HandleReadFailed(now) // the reader has logged it
		return
	}
	others := slices.Clone(page.Rows)
	var own *rows.Row
	if i := slices.IndexFunc(others, b.isOwnLease); i >= 0 {
		own = &page.Rows[i]
		others = slices.Delete(others, i, i+1)
	}
	b.claims.HandleLeases(now, page.Now, others)
	b.lease.HandleRead(now, sent, page.Now, own, b.claims.HasOthers())
	b.claims.ScanIfDue(now)
}

// isOwn tells whether a row is that of this entry's lease.
func (b *Owner) isOwnLease(lease rows.Row) bool { return lease.Key.Name == string(b.lease.ID()) }
