package book

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/claims"
	"hillreel/internal/kept/ledger"
	"hillreel/internal/kept/record"
)

// Scanned handles the open jobs, and the leases as they were read after them.
func (b *Book) Scanned(now time.Time, open []rows.Row, leases rows.Page, err error) {
	if err != nil || !b.lease.Held(now) {
		b.claims.ScanFailed(now)
		return
	}
	unowned := make(map[job.ID]*keptJob)
	var jobs []claims.Job
	for _, row := range open {
		if k := b.unowned(row); k != nil {
			unowned[k.id] = k
			jobs = append(jobs, claims.Job{ID: k.id, Owner: k.open.Owner})
		}
	}
	ids := b.claims.Scanned(jobs, leases.Rows)
	for _, id := range ids {
		b.jobs[id] = unowned[id]
	}
	if len(ids) > 0 {
		b.store.Fetch(ids)
	}
	b.claims.End()
}

// unowned reads the row of an open job; nil is a job that this entry holds, or a row that can't be read.
func (b *Book) unowned(row rows.Row) *keptJob {
	id, err := record.JobOf(row.Key)
	b.unreadable(err)
	o, err2 := record.Read[record.Open](row)
	b.unreadable(err2)
	if err != nil || err2 != nil || o.Owner == b.lease.ID() || b.jobs[id] != nil {
		return nil
	}
	return &keptJob{id: id, phase: adopting, open: o, version: row.Version}
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
				b.claims.End()
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
		there := r.Present(b.opts.Log)
		if !there.Has(next) {
			b.forget(k)
			return false
		}
		version = there.Version
	}
	k.open, k.version = next, version
	b.claims.Taken(k.id)
	b.event(logrus.InfoLevel, "job_taken_over", logrus.Fields{"job": k.id, "generation": next.Generation, "ends": len(next.Ends)})
	return true
}

// forget forgets a job: it has ended, or it is another entry's.
func (b *Book) forget(k *keptJob) {
	delete(b.jobs, k.id)
	b.claims.Taken(k.id)
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
