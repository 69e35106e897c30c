package book

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/record"
)

// leaseOwner is a book as its lease, and the claims of others, see it.
type leaseOwner struct{ *Book }

// Write begins a write.
func (b leaseOwner) Write(op ledger.Op, then func(now time.Time, r ledger.Result)) {
	b.write(op, then)
}

// Scan reads all open jobs.
func (b leaseOwner) Scan() { b.store.Scan() }

// ReadLeases reads all leases.
func (b leaseOwner) ReadLeases() { b.store.ReadLeases() }

// Waiting counts the jobs that have not begun, by queue.
func (b leaseOwner) Waiting() map[route.Name]int { return b.table.Waiting() }

// Held lets jobs be accepted that have waited for the lease.
func (b leaseOwner) Held(now time.Time, first bool) {
	if first {
		b.event(logrus.InfoLevel, "lease_held", logrus.Fields{"lease": b.lease.ID()})
		b.claims.Held(now)
	}
	for _, k := range b.sorted() {
		if k.phase == asked {
			b.accept(now, k)
		}
	}
}

// Lost stops acting for all jobs but those that wait for a lease.
func (b leaseOwner) Lost(now time.Time, id record.LeaseID, why string) (wanted bool) {
	b.event(logrus.WarnLevel, "lease_lost", logrus.Fields{"lease": id, "jobs": len(b.jobs), "why": why})
	for _, k := range b.sorted() {
		if k.phase != asked {
			b.drop(now, k, why)
		}
	}
	b.claims.Lost()
	b.inquiry.Clear()
	return len(b.jobs) > 0
}

// Active tells whether this entry has a lease, or another entry is known to have one.
func (b *Book) Active(now time.Time) bool { return b.lease.Held(now) || b.claims.Others() }

// Leave ends the lease, so that other entries take its jobs over at once.
func (b *Book) Leave(now time.Time) { b.lease.Leave(now, len(b.jobs) > 0) }

// LeasesRead handles the answer to a reading of the leases that was begun at sent.
func (b *Book) LeasesRead(now, sent time.Time, page rows.Page, err error) {
	if err != nil {
		b.lease.ReadFailed(now) // the reader has logged it
		return
	}
	others := slices.Clone(page.Rows)
	var own *rows.Row
	if i := slices.IndexFunc(others, b.isOwn); i >= 0 {
		own = &page.Rows[i]
		others = slices.Delete(others, i, i+1)
	}
	b.claims.Read(now, page.Now, others)
	b.lease.Read(now, sent, page.Now, own, b.claims.Others())
	b.claims.Rescan(now)
}

// isOwn tells whether a row is that of this entry's lease.
func (b *Book) isOwn(lease rows.Row) bool { return lease.Key.Name == string(b.lease.ID()) }
