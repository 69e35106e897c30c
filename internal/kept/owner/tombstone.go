package owner

import (
	"time"

	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/jobstore"
)

// WriteTombstone stores that a job without rows is cancelled, so that no earlier write can store the job any more. Such writes are grouped
// with others of the same part: callers may ask for unknown jobs at a high rate. The caller is answered with verdict.Unknown once the
// tombstone is stored, and with verdict.Unresolved if the job has rows or the store has refused the write. WriteTombstone returns false, and
// the caller is not answered, if the write can't be grouped.
func (o *Owner) WriteTombstone(now time.Time, id job.ID, c dispatch.CallerID) bool {
	if !o.lease.ClockKnown() || o.store.Unavailable() {
		return false
	}
	t, err := jobstore.TombstoneTxn(o.opts.Layout, id, o.lease.Clock(now)+o.opts.Retention)
	if err != nil {
		o.logUnreadable(err)
		return false
	}
	op := jobstore.JobOp(o.opts.Layout, id, t)
	op.GiveUpAt = now.Add(minAcceptTimeout)
	o.startWrite(op, func(_ time.Time, r jobstore.Result) {
		if r.Outcome == jobstore.Done {
			o.callers.Answer(c, noSuchJobAnswer)
			return
		}
		o.callers.Answer(c, dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Conflict})
	})
	return true
}
