package book

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/rows"
	"hillreel/internal/core/rule"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/record"
)

const (
	// clockMargin is what the entry's own view of its lease is shorter than the store's, and what others wait longer:
	// timers fire late, and steady clocks differ by less than a thousandth.
	clockMargin = 200 * time.Millisecond
	// idlePoll is the pause between two readings of the leases while no entry is known to have one: a call each that has
	// a price. A lease that was left behind is found at the start.
	idlePoll = 10 * time.Second
	// retryPoll is the pause after a reading that failed, and while a lease is wanted.
	retryPoll = 200 * time.Millisecond
	// idleFor is how long an entry without kept jobs holds its lease, whose renewals are calls that have a price.
	idleFor = 30 * time.Second
	// scanEvery is the pause between two looks for jobs whose lease is gone: a write that arrived after its entry's
	// lease had been taken over leaves one.
	scanEvery = 10 * time.Second
)

// tenure is the entry's own lease.
type tenure struct {
	number int
	// id is that of the lease, or of the one that is being acquired, empty when there is neither; held is true while it
	// is there.
	id   record.LeaseID
	held bool
	// version is that of the row, until the moment to which the entry may act, by its own clock.
	version rows.Version
	until   time.Time
	// wanted is true while a job waits for the lease.
	wanted bool
	// writing is true while the row is being written, reading while leases are being read; readAt is when that began.
	writing, reading bool
	readAt, nextRead time.Time
	// now is the store's clock at readAt, or a little later.
	now time.Duration
	// usedAt is when there was last a job.
	usedAt time.Time
	// quietSince is from when on this VM's entry has surely not acted under an earlier lease.
	quietSince time.Time
}

// clock is about the store's clock.
func (t *tenure) clock(now time.Time) time.Duration { return t.now + now.Sub(t.readAt) }

// leased tells whether the entry may act for kept jobs.
func (b *Book) leased(now time.Time) bool {
	return b.lease.held && (now.Before(b.lease.until) || b.opts.Without.Off(rule.OwnerLease))
}

// wantLease asks for a lease.
func (b *Book) wantLease(now time.Time) {
	if !b.lease.wanted {
		b.lease.wanted, b.lease.nextRead = true, now
		b.readLeases(now)
	}
}

// tickLease gives up a lease that has ended, and reads leases when it is time.
func (b *Book) tickLease(now time.Time) {
	switch {
	case len(b.jobs) > 0 || len(b.adoptions) > 0:
		b.lease.usedAt = now
	case b.lease.held && now.Sub(b.lease.usedAt) > idleFor:
		b.Leave(now)
	}
	if b.lease.held && !b.leased(now) {
		b.lose(now, "not_renewed")
	}
	b.readLeases(now)
}

// readLeases reads the leases if it is time.
func (b *Book) readLeases(now time.Time) {
	if b.lease.reading || now.Before(b.lease.nextRead) {
		return
	}
	b.lease.reading = true
	b.store.ReadLeases()
}

// Active tells whether this entry has a lease, or another entry is known to have one.
func (b *Book) Active() bool { return b.lease.held || len(b.others) > 0 }

// lose stops acting for all jobs: the lease has ended, or another entry has it.
func (b *Book) lose(now time.Time, why string) {
	b.event(logrus.WarnLevel, "lease_lost", logrus.Fields{"lease": b.lease.id, "jobs": len(b.jobs), "why": why})
	b.lease.held, b.lease.quietSince, b.lease.id = false, now, ""
	b.lease.number++
	for _, k := range b.sorted() {
		if k.phase != asked {
			b.drop(now, k, why)
		}
	}
	clear(b.adoptions)
	b.rounds = nil
	b.lease.wanted = len(b.jobs) > 0
	b.lease.nextRead = now
}

// Leave ends the lease, so that other entries take its jobs over at once.
func (b *Book) Leave(now time.Time) {
	if !b.lease.held {
		return
	}
	id, version := b.lease.id, b.lease.version
	key, t := record.LeaseKey(id), rows.Txn{}
	t.If = []rows.Condition{{Key: key, Version: version}}
	if len(b.jobs) == 0 {
		t.Remove = []rows.Key{key}
	} else {
		value := b.value(record.Lease{Node: b.opts.Node, UntilMs: b.lease.clock(now).Milliseconds()})
		t.Put = []rows.Row{{Key: key, Value: value}}
	}
	b.lose(now, "leaving")
	b.lease.wanted = false
	b.write(ledger.Op{Once: true, Txn: t}, func(time.Time, ledger.Result) {}) // if it is not done, the lease ends by itself
}

// LeasesRead handles the answer to a reading of the leases that was begun at sent.
func (b *Book) LeasesRead(now, sent time.Time, page rows.Page, err error) {
	b.lease.reading = false
	b.lease.nextRead = now.Add(retryPoll)
	if err != nil {
		return // the reader has logged it
	}
	b.lease.readAt, b.lease.now = sent, page.Now
	clear(b.others)
	var own *rows.Row
	for _, row := range page.Rows {
		if row.Key.Name == string(b.lease.id) {
			own = &row
			continue
		}
		l, err := record.Read[record.Lease](row)
		b.unreadable(err)
		b.others[record.LeaseID(row.Key.Name)] = l
		b.adoptExpired(now, page.Now, row, l)
	}
	b.ownLease(now, sent, page.Now, own)
	if !b.lease.wanted {
		b.lease.nextRead = now.Add(b.poll())
	}
	b.rescan(now)
}

// poll is the pause between two readings.
func (b *Book) poll() time.Duration {
	if b.Active() {
		return b.opts.Renew
	}
	return idlePoll
}

// ownLease takes in the row of the own lease, nil when there is none, and writes the next.
func (b *Book) ownLease(now, sent time.Time, clock time.Duration, row *rows.Row) {
	if b.lease.writing {
		return
	}
	if row == nil {
		if b.lease.held {
			b.lose(now, "taken")
		}
		if b.lease.wanted {
			b.lease.id = b.leaseName(b.lease.number)
			b.writeLease(sent, clock, 0)
		}
		return
	}
	l, err := record.Read[record.Lease](*row)
	b.unreadable(err)
	if l.Adopter != "" {
		if b.lease.held {
			b.lose(now, "taken")
		}
		return
	}
	if b.lease.held || b.lease.wanted {
		b.writeLease(sent, clock, row.Version)
	}
}

// writeLease acquires or renews the lease, from the moment at which the store's clock was read.
func (b *Book) writeLease(sent time.Time, clock time.Duration, v rows.Version) {
	b.lease.writing = true
	id := b.lease.id
	value := b.value(record.Lease{Node: b.opts.Node, UntilMs: (clock + b.opts.Lease).Milliseconds(), Waiting: b.table.Waiting()})
	b.write(ledger.Op{Once: true, Txn: rows.Txn{
		If: []rows.Condition{{Key: record.LeaseKey(id), Version: v}}, Put: []rows.Row{{Key: record.LeaseKey(id), Value: value}},
	}}, func(now time.Time, r ledger.Result) {
		b.lease.writing = false
		if r.Outcome != ledger.Done || b.lease.id != id || b.leaseName(b.lease.number) != id {
			return // the next reading tells what is there
		}
		b.holdLease(now, sent.Add(b.opts.Lease-clockMargin), r.Version)
	})
}

// holdLease notes that the lease is there until a moment.
func (b *Book) holdLease(now, until time.Time, v rows.Version) {
	if !now.Before(until) {
		return
	}
	if !b.lease.held {
		b.event(logrus.InfoLevel, "lease_held", logrus.Fields{"lease": b.lease.id})
		b.scanAt, b.lease.usedAt = now.Add(scanEvery), now
	}
	b.lease.held, b.lease.wanted, b.lease.version, b.lease.until = true, false, v, until
	b.lease.nextRead = now.Add(b.opts.Renew)
	for _, k := range b.sorted() {
		if k.phase == asked {
			b.accept(now, k)
		}
	}
}
