// Package claims watches the leases of other entries. It claims the expired ones, so that this entry can take over their
// jobs. The package is a state machine without I/O and without its own clock; one goroutine uses it.
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
	// scanInterval is the pause between two scans for jobs whose owner's lease no longer exists. Such a job is left by a write
	// that reaches the store after the lease of its entry was taken over.
	scanInterval = 10 * time.Second
	// scanRetryDelay is the pause after a failed scan.
	scanRetryDelay = 200 * time.Millisecond
)

// Store starts reads and writes of rows.
type Store interface {
	// Write starts a write; then is called with its result.
	Write(op jobstore.Op, then func(now time.Time, r jobstore.Result))
	// Scan starts reading all open jobs. Claims.HandleScan or Claims.HandleScanFailed must follow.
	Scan()
}

// Lease is this entry's own lease. An entry without a lease claims none.
type Lease interface {
	ID() record.LeaseID
	Held(now time.Time) bool
	Request(now time.Time)
	// QuietSince returns the time since which no entry on this VM can have acted under an earlier lease.
	QuietSince() time.Time
}

// Options configures Claims.
type Options struct {
	// Node is the entry's VM.
	Node string
	// LeaseDuration is how long a claim lasts.
	LeaseDuration time.Duration
	// SettleTime is how long runs of an entry may go on after the entry has stopped acting.
	SettleTime time.Duration
	// LogEvent logs and counts an event.
	LogEvent func(level logrus.Level, name string, f logrus.Fields)
	Log      *logrus.Entry
}

// Claims tracks the leases of other entries, and the claims on those that have expired.
type Claims struct {
	opts     Options
	ownLease Lease
	store    Store
	// otherLeases are the leases of other entries according to the last read.
	otherLeases map[record.LeaseID]record.Lease
	// invalid holds the leases of other entries whose rows can't be read or can't be true, with what was seen of them first.
	invalid map[record.LeaseID]sighting
	// claims holds, by lease, the claims whose jobs this entry takes over. scanning is true while the open jobs are being
	// read. nextScan is when the next scan for jobs is due whose owner's lease no longer exists.
	claims   map[record.LeaseID]*claim
	scanning bool
	nextScan time.Time
}

// claim is the takeover of the jobs of an expired lease.
type claim struct {
	// version is the version of the lease's row once it is claimed, and zero before.
	version rows.Version
	// remaining are the jobs that are not taken over yet. scanned is true once they are known.
	remaining map[job.ID]bool
	scanned   bool
}

// sighting is when a row was first seen in a version.
type sighting struct {
	version rows.Version
	at      time.Time
}

// Job is an open job and the lease of its owner.
type Job struct {
	ID    job.ID
	Owner record.LeaseID
}

// New returns Claims without known leases.
func New(o Options, own Lease, s Store) *Claims {
	return &Claims{
		opts: o, ownLease: own, store: s,
		otherLeases: make(map[record.LeaseID]record.Lease), invalid: make(map[record.LeaseID]sighting), claims: make(map[record.LeaseID]*claim),
	}
}

// HasOthers reports whether another entry is known to have a lease.
func (c *Claims) HasOthers() bool { return len(c.otherLeases) > 0 }

// HasClaims reports whether the jobs of any lease are being taken over.
func (c *Claims) HasClaims() bool { return len(c.claims) > 0 }

// maxWaiting is the highest number of waiting jobs that is believed of one entry.
const maxWaiting = 1_000_000

// NotBegun returns how many jobs of a queue have not started at other entries, according to the last read of their leases.
func (c *Claims) NotBegun(r route.Name) int {
	n := 0
	for _, l := range c.otherLeases {
		n += max(0, min(l.Waiting[r], maxWaiting))
	}
	return n
}

// HandleLeases handles a read of all leases of other entries. clock is the store's clock at the time of the read.
func (c *Claims) HandleLeases(now time.Time, clock time.Duration, leases []rows.Row) {
	clear(c.otherLeases)
	c.forgetInvalid(leases)
	for _, row := range leases {
		l, err := record.Decode[record.Lease](row)
		record.LogUnreadable(c.opts.Log, err)
		if err != nil || !l.IsValid(clock) {
			c.handleInvalid(now, clock, row)
			continue
		}
		delete(c.invalid, record.LeaseID(row.Key.Name))
		c.otherLeases[record.LeaseID(row.Key.Name)] = l
		c.claimExpired(now, clock, row, l)
	}
}

// forgetInvalid forgets the invalid leases that are not listed any more.
func (c *Claims) forgetInvalid(leases []rows.Row) {
	maps.DeleteFunc(c.invalid, func(id record.LeaseID, _ sighting) bool {
		return !slices.ContainsFunc(leases, func(row rows.Row) bool { return row.Key.Name == string(id) })
	})
}

// handleInvalid handles the row of a lease that can't be read or can't be true, since another program has written it. Its entry, if it lives,
// soon writes the row again, or loses the lease by its own clock. The lease counts as expired once it has not done so for that time.
func (c *Claims) handleInvalid(now time.Time, clock time.Duration, row rows.Row) {
	id := record.LeaseID(row.Key.Name)
	first, seen := c.invalid[id]
	if !seen || first.version != row.Version {
		c.invalid[id] = sighting{row.Version, now}
		c.opts.LogEvent(logrus.WarnLevel, "lease_invalid", logrus.Fields{"lease": id})
		return
	}
	if now.Sub(first.at) <= c.opts.LeaseDuration+c.opts.SettleTime+lease.ClockMargin {
		return
	}
	c.claimExpired(now, clock, row, record.Lease{})
}

// claimExpired claims a lease if it has expired and no run of its entry can still be running. It requests a lease for this
// entry first if there is none.
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

// expired reports whether a lease expired so long ago that no run of its entry can still be running.
func (c *Claims) expired(now time.Time, clock time.Duration, l record.Lease) bool {
	if l.Node == c.opts.Node && now.Sub(c.ownLease.QuietSince()) > c.opts.SettleTime {
		// The lease is of an earlier incarnation of this entry, or an earlier lease of this incarnation.
		return true
	}
	return clock > l.Until()+c.opts.SettleTime+lease.ClockMargin
}

// claim writes to the lease's row that this entry takes over its jobs, and then scans for the jobs.
func (c *Claims) claim(clock time.Duration, row rows.Row, l record.Lease) {
	id := record.LeaseID(row.Key.Name)
	started := &claim{remaining: make(map[job.ID]bool)}
	c.claims[id] = started
	next := record.Lease{Node: l.Node, UntilMs: (clock + c.opts.LeaseDuration).Milliseconds(), Adopter: c.ownLease.ID()}
	c.opts.LogEvent(logrus.InfoLevel, "lease_claimed", logrus.Fields{
		"lease": id, "node": l.Node, "ended_ms_ago": (clock - l.Until()).Milliseconds(),
	})
	c.store.Write(jobstore.Op{NoRetry: true, Txn: rows.Txn{
		If:  []rows.Condition{{Key: row.Key, Version: row.Version}},
		Put: []rows.Row{{Key: row.Key, Value: record.EncodeLogged(c.opts.Log, next)}},
	}}, func(now time.Time, r jobstore.Result) {
		if c.claims[id] != started {
			return
		}
		if r.Outcome != jobstore.Done {
			delete(c.claims, id) // the next read shows who has claimed the lease
			return
		}
		started.version = r.Version
		c.scan(now)
	})
}

// HandleOwnLeaseHeld restarts the scan interval when this entry has acquired a lease.
func (c *Claims) HandleOwnLeaseHeld(now time.Time) { c.nextScan = now.Add(scanInterval) }

// Clear gives up all claims. It is called when this entry's own lease has ended.
func (c *Claims) Clear() { clear(c.claims) }

// ScanIfDue scans for jobs whose owner's lease no longer exists, if a scan is due.
func (c *Claims) ScanIfDue(now time.Time) {
	if c.ownLease.Held(now) && now.After(c.nextScan) {
		c.scan(now)
	}
}

// scan starts reading all open jobs, unless they are being read.
func (c *Claims) scan(now time.Time) {
	c.nextScan = now.Add(scanInterval)
	if !c.scanning {
		c.scanning = true
		c.store.Scan()
	}
}

// HandleScanFailed handles a scan that failed or whose result can't be used.
func (c *Claims) HandleScanFailed(now time.Time) {
	c.scanning = false
	c.nextScan = now.Add(scanRetryDelay)
}

// HandleScan handles the open jobs that this entry does not know, and the leases that were read after them. It returns the
// jobs to take over: those whose owner's lease was claimed by this entry or no longer exists.
func (c *Claims) HandleScan(open []Job, leases []rows.Row) []job.ID {
	c.scanning = false
	present := make(map[record.LeaseID]bool)
	for _, row := range leases {
		present[record.LeaseID(row.Key.Name)] = true
	}
	var orphans []job.ID
	for _, j := range open {
		cl := c.claims[j.Owner]
		claimed := cl != nil && cl.version != 0
		if claimed {
			cl.remaining[j.ID] = true
		}
		if claimed || !present[j.Owner] {
			orphans = append(orphans, j.ID)
		}
	}
	for _, cl := range c.claims {
		cl.scanned = cl.version != 0
	}
	return orphans
}

// RemoveJob removes a job that no longer has to be taken over.
func (c *Claims) RemoveJob(id job.ID) {
	for _, cl := range c.claims {
		delete(cl.remaining, id)
	}
}

// RemoveFinished removes the claims all of whose jobs are taken over, and the rows of their leases.
func (c *Claims) RemoveFinished() {
	for _, id := range slices.Sorted(maps.Keys(c.claims)) {
		cl := c.claims[id]
		if !cl.scanned || len(cl.remaining) > 0 {
			continue
		}
		delete(c.claims, id)
		key := record.LeaseKey(id)
		c.store.Write(jobstore.Op{NoRetry: true, Txn: rows.Txn{
			If: []rows.Condition{{Key: key, Version: cl.version}}, Remove: []rows.Key{key},
		}}, func(time.Time, jobstore.Result) {}) // if the row is not removed, the lease is claimed again
	}
}
