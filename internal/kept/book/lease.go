package book

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/record"
)

// leaseOwner is a book as its lease sees it.
type leaseOwner struct{ *Book }

// Write begins a write.
func (b leaseOwner) Write(op ledger.Op, then func(now time.Time, r ledger.Result)) {
	b.write(op, then)
}

// ReadLeases reads all leases.
func (b leaseOwner) ReadLeases() { b.store.ReadLeases() }

// Waiting counts the jobs that have not begun, by queue.
func (b leaseOwner) Waiting() map[route.Name]int { return b.table.Waiting() }

// Held lets jobs be accepted that have waited for the lease.
func (b leaseOwner) Held(now time.Time, first bool) {
	if first {
		b.event(logrus.InfoLevel, "lease_held", logrus.Fields{"lease": b.lease.ID()})
		b.scanAt = now.Add(scanEvery)
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
	clear(b.adoptions)
	b.inquiry.Clear()
	return len(b.jobs) > 0
}

// Active tells whether this entry has a lease, or another entry is known to have one.
func (b *Book) Active(now time.Time) bool { return b.lease.Held(now) || len(b.others) > 0 }

// Leave ends the lease, so that other entries take its jobs over at once.
func (b *Book) Leave(now time.Time) { b.lease.Leave(now, len(b.jobs) > 0) }

// LeasesRead handles the answer to a reading of the leases that was begun at sent.
func (b *Book) LeasesRead(now, sent time.Time, page rows.Page, err error) {
	if err != nil {
		b.lease.ReadFailed(now) // the reader has logged it
		return
	}
	clear(b.others)
	var own *rows.Row
	for _, row := range page.Rows {
		if row.Key.Name == string(b.lease.ID()) {
			own = &row
			continue
		}
		l, err := record.Read[record.Lease](row)
		if err != nil {
			b.unreadable(err)
			continue // whose it is, and until when, can't be told
		}
		b.others[record.LeaseID(row.Key.Name)] = l
		b.adoptExpired(now, page.Now, row, l)
	}
	b.lease.Read(now, sent, page.Now, own, len(b.others) > 0)
	b.rescan(now)
}
