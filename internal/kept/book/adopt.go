package book

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/record"
	"hillreel/internal/kept/tenure"
)

const (
	// scanEvery is the pause between two looks for jobs whose lease is gone: a write that arrived after its entry's
	// lease had been taken over leaves one.
	scanEvery = 10 * time.Second
	// retryScan is the pause after one that failed.
	retryScan = 200 * time.Millisecond
)

// adoption is the taking over of the jobs of a lease that has ended.
type adoption struct {
	// version is that of the lease's row once it is claimed; zero before.
	version rows.Version
	// left are the jobs that are not taken over yet, scanned is true once they are known.
	left    map[job.ID]bool
	scanned bool
}

// adoptExpired claims a lease that has ended, if nothing can run for it any more.
func (b *Book) adoptExpired(now time.Time, clock time.Duration, row rows.Row, l record.Lease) {
	if !b.expired(now, clock, l) || b.adoptions[record.LeaseID(row.Key.Name)] != nil {
		return
	}
	if !b.lease.Held(now) {
		b.lease.Want(now)
		return
	}
	b.claim(clock, row, l)
}

// expired tells whether a lease has ended for so long that nothing can run for it any more.
func (b *Book) expired(now time.Time, clock time.Duration, l record.Lease) bool {
	if l.Node == b.opts.Node && now.Sub(b.lease.QuietSince()) > b.opts.Settle {
		// An earlier life of this very entry, or an earlier lease of this one.
		return true
	}
	return clock > l.Until()+b.opts.Settle+tenure.ClockMargin
}

// claim writes that this entry takes over the jobs of a lease, and then looks for them.
func (b *Book) claim(clock time.Duration, row rows.Row, l record.Lease) {
	id := record.LeaseID(row.Key.Name)
	a := &adoption{left: make(map[job.ID]bool)}
	b.adoptions[id] = a
	claim := record.Lease{Node: l.Node, UntilMs: (clock + b.opts.Lease).Milliseconds(), Adopter: b.lease.ID()}
	b.event(logrus.InfoLevel, "lease_claimed", logrus.Fields{"lease": id, "node": l.Node, "ended_ms_ago": (clock - l.Until()).Milliseconds()})
	b.write(ledger.Op{Once: true, Txn: rows.Txn{
		If:  []rows.Condition{{Key: row.Key, Version: row.Version}},
		Put: []rows.Row{{Key: row.Key, Value: b.value(claim)}},
	}}, func(now time.Time, r ledger.Result) {
		if b.adoptions[id] != a {
			return
		}
		if r.Outcome != ledger.Done {
			delete(b.adoptions, id) // the next reading tells whose it is
			return
		}
		a.version = r.Version
		b.scan(now)
	})
}

// rescan looks for jobs whose lease is gone, if it is time.
func (b *Book) rescan(now time.Time) {
	if b.lease.Held(now) && now.After(b.scanAt) {
		b.scan(now)
	}
}

// scan reads all open jobs.
func (b *Book) scan(now time.Time) {
	b.scanAt = now.Add(scanEvery)
	if !b.scanning {
		b.scanning = true
		b.store.Scan()
	}
}

// Scanned handles the open jobs, and the leases as they were read after them.
func (b *Book) Scanned(now time.Time, open []rows.Row, leases rows.Page, err error) {
	b.scanning = false
	if err != nil || !b.lease.Held(now) {
		b.scanAt = now.Add(retryScan)
		return
	}
	present := make(map[record.LeaseID]bool)
	for _, row := range leases.Rows {
		present[record.LeaseID(row.Key.Name)] = true
	}
	var ids []job.ID
	for _, row := range open {
		if id, ok := b.orphan(row, present); ok {
			ids = append(ids, id)
		}
	}
	for _, a := range b.adoptions {
		a.scanned = a.version != 0
	}
	if len(ids) > 0 {
		b.store.Fetch(ids)
	}
	b.endAdoptions()
}

// orphan begins to take over an open job whose owner's lease was claimed by this entry, or is gone.
func (b *Book) orphan(row rows.Row, present map[record.LeaseID]bool) (job.ID, bool) {
	id, err := record.JobOf(row.Key)
	b.unreadable(err)
	o, err2 := record.Read[record.Open](row)
	b.unreadable(err2)
	if err != nil || err2 != nil || o.Owner == b.lease.ID() || b.jobs[id] != nil {
		return 0, false
	}
	a := b.adoptions[o.Owner]
	claimed := a != nil && a.version != 0
	if !claimed && present[o.Owner] {
		return 0, false
	}
	if claimed {
		a.left[id] = true
	}
	b.jobs[id] = &keptJob{id: id, phase: adopting, open: o, version: row.Version}
	return id, true
}

// Fetched handles what jobs that are being taken over were submitted with.
func (b *Book) Fetched(now time.Time, ids []job.ID, found []rows.Row, err error) {
	if err != nil {
		if b.lease.Held(now) {
			b.store.Fetch(ids)
		}
		return
	}
	var batch []*keptJob
	for i, id := range ids {
		k := b.jobs[id]
		if k == nil || k.phase != adopting {
			continue
		}
		k.record, err = record.Read[record.Job](found[i])
		if err != nil {
			b.unreadable(err)
			b.forget(k)
			continue
		}
		batch = append(batch, k)
	}
	b.takeOver(now, batch)
}

// takeOver makes this entry the owner of some jobs, and then asks agents about those that it got.
func (b *Book) takeOver(now time.Time, batch []*keptJob) {
	left := len(batch)
	var got []*keptJob
	for _, k := range batch {
		next := k.open
		next.Owner, next.Generation, next.Sequence = b.lease.ID(), k.open.Generation+1, k.open.Sequence+1
		b.write(b.progressOp(k, next), func(now time.Time, r ledger.Result) {
			left--
			if b.handleTaken(k, next, r) {
				got = append(got, k)
			}
			if left == 0 {
				b.ask(now, got)
				b.endAdoptions()
			}
		})
	}
}

// handleTaken handles the end of the write that takes a job over, and tells whether this entry owns it now.
func (b *Book) handleTaken(k *keptJob, next record.Open, r ledger.Result) bool {
	if b.jobs[k.id] != k {
		return false
	}
	version := r.Version
	if r.Outcome != ledger.Done {
		open, _ := b.found(r)
		if !isWrite(open, next) {
			b.forget(k)
			return false
		}
		version = r.Found[0].Version
	}
	k.open, k.version = next, version
	b.taken(k.id)
	b.event(logrus.InfoLevel, "job_taken_over", logrus.Fields{"job": k.id, "generation": next.Generation, "ends": len(next.Ends)})
	return true
}

// taken notes that a job is not to be taken over any more.
func (b *Book) taken(id job.ID) {
	for _, a := range b.adoptions {
		delete(a.left, id)
	}
}

// forget forgets a job: it has ended, or it is another entry's.
func (b *Book) forget(k *keptJob) {
	delete(b.jobs, k.id)
	b.taken(k.id)
}

// endAdoptions removes the rows of leases all of whose jobs are taken over.
func (b *Book) endAdoptions() {
	for _, id := range slices.Sorted(maps.Keys(b.adoptions)) {
		a := b.adoptions[id]
		if !a.scanned || len(a.left) > 0 {
			continue
		}
		delete(b.adoptions, id)
		key := record.LeaseKey(id)
		b.write(ledger.Op{Once: true, Txn: rows.Txn{
			If: []rows.Condition{{Key: key, Version: a.version}}, Remove: []rows.Key{key},
		}}, func(time.Time, ledger.Result) {}) // if it is still there, it is claimed again
	}
}

// ask asks all agents for ends of jobs that were taken over, and then goes on with them.
func (b *Book) ask(now time.Time, jobs []*keptJob) {
	if len(jobs) == 0 {
		return
	}
	ids := make([]job.ID, len(jobs))
	for i, k := range jobs {
		ids[i] = k.id
	}
	b.inquiry.Ask(now, ids, func(now time.Time) {
		for _, k := range jobs {
			b.resume(now, k)
		}
	})
}

// Asked handles an agent's word that it has told all ends that a question is about.
func (b *Book) Asked(now time.Time, agent ident.Incarnation, number uint64) {
	b.inquiry.Answered(now, agent, number)
}

// AgentLost handles an agent that is out of hearing.
func (b *Book) AgentLost(now time.Time, agent ident.Incarnation) { b.inquiry.AgentLost(now, agent) }

// resume goes on with a job that was taken over, unless it was let go meanwhile.
func (b *Book) resume(now time.Time, k *keptJob) {
	switch {
	case b.jobs[k.id] != k || k.phase != adopting:
	case len(k.cancels) > 0:
		k.phase = running
		b.end(now, k, verdict.Cancelled)
	default:
		b.run(now, k)
	}
}
