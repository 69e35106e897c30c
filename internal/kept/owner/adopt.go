package owner

import (
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/claims"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// Scanned handles the open jobs, and the leases as they were read after them.
func (b *Owner) HandleScan(now time.Time, open []rows.Row, leases rows.Page, err error) {
	if err != nil || !b.lease.Held(now) {
		b.claims.HandleScanFailed(now)
		return
	}
	unowned := make(map[job.ID]*keptJob)
	var jobs []claims.Job
	for _, row := range open {
		if k := b.readUnowned(row); k != nil {
			unowned[k.id] = k
			jobs = append(jobs, claims.Job{ID: k.id, Owner: k.open.Owner})
		}
	}
	ids := b.claims.HandleScan(jobs, leases.Rows)
	for _, id := range ids {
		b.jobs[id] = unowned[id]
	}
	if len(ids) > 0 {
		b.store.Fetch(ids)
	}
	b.claims.RemoveFinished()
}

// unowned reads the row of an open job; nil is a job that this entry holds, or a row that can't be read.
func (b *Owner) readUnowned(row rows.Row) *keptJob {
	id, err := record.ParseJobID(row.Key)
	b.logUnreadable(err)
	o, err2 := record.Decode[record.OpenJob](row)
	b.logUnreadable(err2)
	if err != nil || err2 != nil || o.Owner == b.lease.ID() || b.jobs[id] != nil {
		return nil
	}
	return &keptJob{id: id, phase: takingOver, open: o, version: row.Version}
}

// Fetched handles what jobs that are being taken over were submitted with.
func (b *Owner) HandleFetch(now time.Time, ids []job.ID, found []rows.Row, err error) {
	if err != nil {
		if b.lease.Held(now) {
			b.store.Fetch(ids)
		}
		return
	}
	var batch []*keptJob
	for i, id := range ids {
		k := b.jobs[id]
		if k == nil || k.phase != takingOver {
			continue
		}
		k.record, err = record.Decode[record.Job](found[i])
		if err != nil {
			b.logUnreadable(err)
			b.remove(k)
			continue
		}
		batch = append(batch, k)
	}
	b.takeOver(now, batch)
}

// takeOver makes this entry the owner of some jobs, and then asks agents about those that it got.
func (b *Owner) takeOver(now time.Time, batch []*keptJob) {
	left := len(batch)
	var got []*keptJob
	for _, k := range batch {
		next := k.open
		next.Owner, next.Generation, next.Sequence = b.lease.ID(), k.open.Generation+1, k.open.Sequence+1
		b.startWrite(b.progressOp(k, next), func(now time.Time, r jobstore.Result) {
			left--
			if b.handleTakeOverWritten(k, next, r) {
				got = append(got, k)
			}
			if left == 0 {
				b.askForEnds(now, got)
				b.claims.RemoveFinished()
			}
		})
	}
}

// handleTaken handles the end of the write that takes a job over, and tells whether this entry owns it now.
func (b *Owner) handleTakeOverWritten(k *keptJob, next record.OpenJob, r jobstore.Result) bool {
	if b.jobs[k.id] != k {
		return false
	}
	version := r.Version
	if r.Outcome != jobstore.Done {
		there := r.Stored(b.opts.Log)
		if !there.IsOpenAs(next) {
			b.remove(k)
			return false
		}
		version = there.Version
	}
	k.open, k.version = next, version
	b.claims.RemoveJob(k.id)
	b.logEvent(logrus.InfoLevel, "job_taken_over", logrus.Fields{"job": k.id, "generation": next.Generation, "ends": len(next.Ends)})
	return true
}

// forget forgets a job: it has ended, or it is another entry's.
func (b *Owner) remove(k *keptJob) {
	delete(b.jobs, k.id)
	b.claims.RemoveJob(k.id)
}

// ask asks all agents for ends of jobs that were taken over, and then goes on with them.
func (b *Owner) askForEnds(now time.Time, jobs []*keptJob) {
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
func (b *Owner) HandleEndsReported(now time.Time, agent ident.Incarnation, number uint64) {
	b.inquiry.HandleAnswer(now, agent, number)
}

// AgentLost handles an agent that is out of hearing.
func (b *Owner) HandleAgentLost(now time.Time, agent ident.Incarnation) {
	b.inquiry.HandleAgentLost(now, agent)
}

// resume goes on with a job that was taken over, unless it was let go meanwhile.
func (b *Owner) resume(now time.Time, k *keptJob) {
	switch {
	case b.jobs[k.id] != k || k.phase != takingOver:
	case len(k.cancellers) > 0:
		k.phase = running
		b.endJob(now, k, verdict.Cancelled)
	default:
		b.submitToTable(now, k)
	}
}
