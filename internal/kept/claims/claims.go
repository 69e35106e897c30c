// Package claims watches the leases of other entries, and claims those that have ended so that this entry can take over
// their jobs. It is a state machine without I/O and without a clock of its own; one goroutine uses it.
package claims

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/lease"
	"hillreel/internal/kept/record"
)

const (
	// scanEvery is the pause between two looks for jobs whose lease is gone: a write that arrived after its entry's
	// lease had been taken over leaves one.
	scanInterval = 10 * time.Second
	// retryScan is the pause after one that failed.
	scanRetryDelay = 200 * time.Millisecond
)

// Store reads and writes rows.
type Store interface {
	// Write begins a write; then is called with what came of it.
	Write(op jobstore.Op, then func(now time.Time, r jobstore.Result))
	// Scan reads all open jobs; Scanned or ScanFailed follows.
	Scan()
}

// Lease is this entry's own lease, without which it claims none.
type Lease interface {
	ID() record.LeaseID
	Held(now time.Time) bool
	Request(now time.Time)
	// QuietSince is from when on this VM's entry has surely not acted under an earlier lease.
	QuietSince() time.Time
}

// Options are the settings of Claims.
type Options struct {
	// Node is the entry's VM.
	Node string
	// Length is how long a claim lasts.
	LeaseDuration time.Duration
	// Settle is how long after an entry has stopped acting nothing of it runs any more.
	SettleTime time.Duration
	// Event logs and counts an event.
	LogEvent func(level logrus.Level, name string, f logrus.Fields)
	Log      *logrus.Entry
}

// Claims holds the leases of other entries.
type Claims struct {
	opts     Options
	ownLease Lease
	store    Store
	// others are the leases of other entries, as they were read last.
	otherLeases map[record.LeaseID]record.Lease
	// claims are the leases whose jobs this entry takes over; scanning is true while open jobs are being read.
	claims   map[record.LeaseID]*claim
	scanning bool
	nextScan time.Time
}

// claim is the taking over of the jobs of a lease that has ended.
type claim struct {
	// version is that of the lease's row once it is claimed; zero before.
	version rows.Version
	// left are the jobs that are not taken over yet, scanned is true once they are known.
	remaining map[job.ID]bool
	scanned   bool
}

// Job is an open job and the lease of its owner.
type Job struct {
	ID    job.ID
	Owner record.LeaseID
}

// New returns Claims that know of no lease.
func New(o Options, own Lease, s Store) *Claims {
	return &Claims{
		opts: o, ownLease: own, store: s,
		otherLeases: make(map[record.LeaseID]record.Lease), claims: make(map[record.LeaseID]*claim),
	}
}

// Others tells whether another entry is known to have a lease.
func (c *Claims) HasOthers() bool { return len(c.otherLeases) > 0 }

// Any tells whether the jobs of a lease are being taken over.
func (c *Claims) HasClaims() bool { return len(c.claims) > 0 }

// NotBegun counts a queue's jobs that have not begun at other entries, as they said last.
func (c *Claims) NotBegun(r route.Name) int {
	n := 0
	for _, l := range c.otherLeases {
		n += l.Waiting[r]
	}
	return n
}

// Read takes in all leases of other entries, and the store's clock as it was then.
func (c *Claims) HandleLeases(now time.Time, clock time.Duration, leases []rows.Row) {
	clear(c.otherLeases)
	for _, row := range leases {
		l, err := record.Decode[record.Lease](row)
		if err != nil {
			record.LogUnreadable(c.opts.Log, err)
			continue // whose it is, and until when, can't be told
		}
		c.otherLeases[record.LeaseID(row.Key.Name)] = l
		c.claimExpired(now, clock, row, l)
	}
}

// claimExpired claims a lease that has ended, if nothing can run for it any more.
func (c *Claims) claimExpired(now time.Time, clock time.Duration, row rows.Row, l record.Lease) {
	if !c.expired(now, clock, l) || c.claims[record.LeaseID(row.Key.Name)] != nil {
		return
	}
	if !c.ownLease.Held(now) {
		c.ownLease.Request(now)
		return
	}
	c.claim(clock, row, l)
}

// expired tells whether a lease has ended for so long that nothing can run for it any more.
func (c *Claims) expired(now time.Time, clock time.Duration, l record.Lease) bool {
	if l.Node == c.opts.Node && now.Sub(c.ownLease.QuietSince()) > c.opts.SettleTime {
		// An earlier life of this very entry, or an earlier lease of this one.
		return true
	}
	return clock > l.Until()+c.opts.SettleTime+lease.ClockMargin
}

// claim writes that this entry takes over the jobs of a lease, and then looks for them.
func (c *Claims) claim(clock time.Duration, row rows.Row, l record.Lease) {
	id := record.LeaseID(row.Key.Name)
	begun := &claim{remaining: make(map[job.ID]bool)}
	c.claims[id] = begun
	next := record.Lease{Node: l.Node, UntilMs: (clock + c.opts.LeaseDuration).Milliseconds(), Adopter: c.ownLease.ID()}
	c.opts.LogEvent(logrus.InfoLevel, "lease_claimed", logrus.Fields{"lease": id, "node": l.Node, "ended_ms_ago": (clock - l.Until()).Milliseconds()})
	c.store.Write(jobstore.Op{NoRetry: true, Txn: rows.Txn{
		If:  []rows.Condition{{Key: row.Key, Version: row.Version}},
		Put: []rows.Row{{Key: row.Key, Value: record.EncodeLogged(c.opts.Log, next)}},
	}}, func(now time.Time, r jobstore.Result) {
		if c.claims[id] != begun {
			return
		}
		if r.Outcome != jobstore.Done {
			delete(c.claims, id) // the next reading tells whose it is
			return
		}
		begun.version = r.Version
		c.scan(now)
	})
}

// Held notes that the entry has a lease of its own again.
func (c *Claims) HandleOwnLeaseHeld(now time.Time) { c.nextScan = now.Add(scanInterval) }

// Lost gives all claims up, with the entry's own lease.
func (c *Claims) Clear() { clear(c.claims) }

// Rescan looks for jobs whose lease is gone, if it is time.
func (c *Claims) ScanIfDue(now time.Time) {
	if c.ownLease.Held(now) && now.After(c.nextScan) {
		c.scan(now)
	}
}

// scan reads all open jobs.
func (c *Claims) scan(now time.Time) {
	c.nextScan = now.Add(scanInterval)
	if !c.scanning {
		c.scanning = true
		c.store.Scan()
	}
}

// ScanFailed handles a reading of the open jobs that failed, or can't be used.
func (c *Claims) HandleScanFailed(now time.Time) {
	c.scanning = false
	c.nextScan = now.Add(scanRetryDelay)
}

// Scanned handles the open jobs that this entry does not know, and the leases as they were read after them. It returns the
// jobs that are to be taken over: their owner's lease was claimed by this entry, or is gone.
func (c *Claims) HandleScan(open []Job, leases []rows.Row) []job.ID {
	c.scanning = false
	present := make(map[record.LeaseID]bool)
	for _, row := range leases {
		present[record.LeaseID(row.Key.Name)] = true
	}
	var orphans []job.ID
	for _, j := range open {
		a := c.claims[j.Owner]
		claimed := a != nil && a.version != 0
		if claimed {
			a.remaining[j.ID] = true
		}
		if claimed || !present[j.Owner] {
			orphans = append(orphans, j.ID)
		}
	}
	for _, a := range c.claims {
		a.scanned = a.version != 0
	}
	return orphans
}

// Taken notes that a job is not to be taken over any more.
func (c *Claims) RemoveJob(id job.ID) {
	for _, a := range c.claims {
		delete(a.remaining, id)
	}
}

// End removes the rows of leases all of whose jobs are taken over.
func (c *Claims) RemoveFinished() {
	for _, id := range slices.Sorted(maps.Keys(c.claims)) {
		a := c.claims[id]
		if !a.scanned || len(a.remaining) > 0 {
			continue
		}
		delete(c.claims, id)
		key := record.LeaseKey(id)
		c.store.Write(jobstore.Op{NoRetry: true, Txn: rows.Txn{
			If: []rows.Condition{{Key: key, Version: a.version}}, Remove: []rows.Key{key},
		}}, func(time.Time, jobstore.Result) {}) // if it is still there, it is claimed again
	}
}
