package owner

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/claims"
	"hillreel/internal/kept/jobstore"
	"hillreel/internal/kept/record"
)

// HandleScan handles the open jobs, and the leases that were read after them.
func (o *Owner) HandleScan(now time.Time, open []rows.Row, leases rows.Page, err error) {
	if err != nil || !o.lease.Held(now) {
		o.claims.HandleScanFailed(now)
		return
	}
	unowned := make(map[job.ID]*keptJob)
	var jobs []claims.Job
	for _, row := range open {
		if k := o.readUnowned(row); k != nil {
			unowned[k.id] = k
			jobs = append(jobs, claims.Job{ID: k.id, Owner: k.open.Owner})
		}
	}
	ids := o.claims.HandleScan(jobs, leases.Rows)
	for _, id := range ids {
		o.jobs[id] = unowned[id]
	}
	if len(ids) > 0 {
		o.store.Fetch(ids)
	}
	o.claims.RemoveFinished()
}

// readUnowned decodes the row of an open job. It returns nil if this entry owns or holds the job, or if the row can't be
// decoded.
func (o *Owner) readUnowned(row rows.Row) *keptJob {
	id, err := record.ParseJobID(row.Key)
	o.logUnreadable(err)
	open, err2 := record.Decode[record.OpenJob](row)
	o.logUnreadable(err2)
	if err != nil || err2 != nil || open.Owner == o.lease.ID() || o.jobs[id] != nil {
		return nil
	}
	return &keptJob{id: id, phase: takingOver, open: open, version: row.Version}
}

// HandleFetch handles the submitted records of jobs that are being taken over.
func (o *Owner) HandleFetch(now time.Time, ids []job.ID, found []rows.Row, err error) {
	if err != nil {
		if o.lease.Held(now) {
			o.store.Fetch(ids)
		}
		return
	}
	var batch []*keptJob
	for i, id := range ids {
		k := o.jobs[id]
		if k == nil || k.phase != takingOver {
			continue
		}
		k.record, err = record.Decode[record.Job](found[i])
		if err == nil {
			err = errors.Wrapf(k.record.Spec.Check(o.opts.MaxTasks), "owner: row of job %s", id)
		}
		if err != nil {
			o.logUnreadable(err)
			o.remove(k)
			continue
		}
		batch = append(batch, k)
	}
	o.takeOver(now, batch)
}

// takeOver writes this entry as the owner of the jobs in batch. It then asks agents for the ends of those jobs whose
// ownership it got.
func (o *Owner) takeOver(now time.Time, batch []*keptJob) {
	pending := len(batch)
	var owned []*keptJob
	for _, k := range batch {
		next := k.open
		next.Owner, next.Generation, next.Sequence = o.lease.ID(), k.open.Generation+1, k.open.Sequence+1
		o.startWrite(o.progressOp(k, next), func(now time.Time, r jobstore.Result) {
			pending--
			if o.handleTakeOverWritten(k, next, r) {
				owned = append(owned, k)
			}
			if pending == 0 {
				o.askForEnds(now, owned)
				o.claims.RemoveFinished()
			}
		})
	}
}

// handleTakeOverWritten handles the result of the write that takes a job over. It reports whether this entry owns the job
// now.
func (o *Owner) handleTakeOverWritten(k *keptJob, next record.OpenJob, r jobstore.Result) bool {
	if o.jobs[k.id] != k {
		return false
	}
	version := r.Version
	if r.Outcome != jobstore.Done {
		stored := r.Stored(o.opts.Log)
		if !stored.IsOpenAs(next) {
			o.remove(k)
			return false
		}
		version = stored.Version
	}
	k.open, k.version = next, version
	o.claims.RemoveJob(k.id)
	o.logEvent(logrus.InfoLevel, "job_taken_over", logrus.Fields{"job": k.id, "generation": next.Generation, "ends": len(next.Ends)})
	return true
}

// remove removes a job that has ended, or that another entry owns.
func (o *Owner) remove(k *keptJob) {
	delete(o.jobs, k.id)
	o.claims.RemoveJob(k.id)
}

// askForEnds asks all agents for ends of jobs that were taken over, and resumes the jobs when the agents have answered.
func (o *Owner) askForEnds(now time.Time, jobs []*keptJob) {
	if len(jobs) == 0 {
		return
	}
	ids := make([]job.ID, len(jobs))
	for i, k := range jobs {
		ids[i] = k.id
	}
	o.inquiry.Ask(now, ids, func(now time.Time) {
		for _, k := range jobs {
			o.resume(now, k)
		}
	})
}

// HandleEndsReported handles an agent's message that it has reported all ends that query number asked for.
func (o *Owner) HandleEndsReported(now time.Time, agent ident.Incarnation, number uint64) {
	o.inquiry.HandleAnswer(now, agent, number)
}

// HandleAgentLost handles an agent that can't be reached any more.
func (o *Owner) HandleAgentLost(now time.Time, agent ident.Incarnation) {
	o.inquiry.HandleAgentLost(now, agent)
}

// resume continues a job that was taken over, unless this entry has dropped it meanwhile.
func (o *Owner) resume(now time.Time, k *keptJob) {
	switch {
	case o.jobs[k.id] != k || k.phase != takingOver:
	case len(k.cancellers) > 0:
		k.phase = running
		o.endJob(now, k, verdict.Cancelled)
	default:
		o.submitToTable(now, k)
	}
}
