package job

import (
	"bytes"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// retryAfterMs is what callers are told when to ask again, in milliseconds.
const retryAfterMs = 1000

// Do serves one request: by this entry if it answers for the job, else by the entry that does.
func (t *Table) Do(req Request) {
	if t.expired(req.ID) {
		// Another submission under this id may have run: "not_run" would be a guess.
		req.Answer(t.brief(req.ID, verdict.Unresolved, verdict.MayHaveRun, verdict.Expired,
			"the id is older than the retention; this request started nothing, an earlier one may have"))
		return
	}
	j := t.jobs[req.ID.Key]
	if j != nil && j.mode != lost {
		t.attend(j, req)
		return
	}
	t.route(req, j)
}

// attend serves a request about a job that is in this table.
func (t *Table) attend(j *job, req Request) {
	if req.Op == OpSubmit && j.digest != nil && !bytes.Equal(j.digest, Digest(req.Spec)) {
		req.Answer(t.brief(j.id, verdict.Refused, verdict.MayHaveRun, verdict.DifferentBody,
			"another body was submitted under this id; this one started nothing"))
		return
	}
	if j.mode == ended {
		req.Answer(j.outcome.answer())
		return
	}
	if req.Op == OpRead && j.mode == active {
		req.Answer(t.progressAnswer(j, verdict.Running, ""))
		return
	}
	if req.Op != OpSubmit && j.mode == bodyNeeded {
		req.Answer(t.progressAnswer(j, verdict.Unresolved, verdict.BodyNeeded))
		return
	}
	j.waiters = append(j.waiters, waiting{req, t.opt.Now()})
	t.unsettled[j.key] = j
	if req.Op == OpSubmit && j.spec == nil {
		j.setBody(req.Spec)
		t.resumeWithBody(j)
		return
	}
	if req.Op == OpCancel && j.mode == active {
		t.fail(j, verdict.Cancelled)
	}
}

// settleWaiters answers those who waited long enough for something that can't be resolved now.
func (t *Table) settleWaiters() {
	now := t.opt.Now()
	var late []*job
	linked := make(map[*roster]bool)
	for key, j := range t.unsettled {
		if len(j.waiters) == 0 {
			delete(t.unsettled, key)
			continue
		}
		if _, seen := linked[j.roster]; j.mode == active && !seen {
			linked[j.roster] = j.roster.linked()
		}
		if j.mode != active || !linked[j.roster] {
			late = append(late, j)
		}
	}
	sortJobs(late)
	for _, j := range late {
		if j.mode == stopping && now.Sub(j.since) >= t.opt.AnswerWait {
			t.decide(j)
		}
		t.settle(j, now)
	}
}

func (t *Table) settle(j *job, now time.Time) {
	kept := j.waiters[:0]
	stuck := j.since
	if j.mode == active {
		stuck = j.roster.unlinkedSince()
	}
	for _, w := range j.waiters {
		// Until it got stuck the job was running as it should.
		since := w.since
		if stuck.After(since) {
			since = stuck
		}
		if now.Sub(since) < t.opt.AnswerWait {
			kept = append(kept, w)
			continue
		}
		t.counts.Unresolved++
		why := t.unresolvedReason(j)
		t.log(j).WithField("reason", why).Info("job_unresolved")
		w.req.Answer(t.progressAnswer(j, verdict.Unresolved, why))
	}
	j.waiters = kept
}

func (t *Table) unresolvedReason(j *job) verdict.Reason {
	switch j.mode {
	case seeking:
		return verdict.RosterUnknown
	case bodyNeeded:
		return verdict.BodyNeeded
	case active, recording, sealing:
		return verdict.Unreachable
	}
	return verdict.AnswersPending
}

// tellAll answers every waiter with the outcome.
func (t *Table) tellAll(j *job, a *wire.Answer) {
	waiters := j.waiters
	j.waiters = nil
	delete(t.unsettled, j.key)
	for _, w := range waiters {
		w.req.Answer(a)
	}
}

// passOn sends the waiters of a lost job to whoever answers for it now.
func (t *Table) passOn(j *job) {
	waiters := j.waiters
	j.waiters = nil
	delete(t.unsettled, j.key)
	for _, w := range waiters {
		t.Do(w.req)
	}
}

// brief is an answer that says nothing of single tasks.
func (t *Table) brief(id ident.JobID, s verdict.State, v verdict.Verdict, r verdict.Reason, msg string) *wire.Answer {
	a := &wire.Answer{Id: id.Text, State: string(s), Verdict: string(v), Reason: string(r), Message: msg}
	if s == verdict.Unresolved && r != verdict.Expired {
		a.RetryAfterMs = retryAfterMs
	}
	return a
}

// progressAnswer tells what is known of a job that has not ended. A task not known to have run may run
// yet, or may have run elsewhere, so it is never called not_run here.
func (t *Table) progressAnswer(j *job, s verdict.State, r verdict.Reason) *wire.Answer {
	a := t.brief(j.id, s, verdict.MayHaveRun, r, "")
	for i := range j.tasks {
		a.Tasks = append(a.Tasks, j.taskAnswer(uint32(i), verdict.MayHaveRun))
	}
	for _, s := range j.sealed {
		for _, r := range s.GetEnded() {
			a.Tasks = append(a.Tasks, answerOf(r))
		}
	}
	return a
}

// taskAnswer gives task i's part of an answer; other is the verdict if it did not run for sure.
func (j *job) taskAnswer(i uint32, other verdict.Verdict) *wire.TaskAnswer {
	tk := &j.tasks[i]
	if tk.result != nil {
		return answerOf(tk.result)
	}
	return &wire.TaskAnswer{Index: i, Verdict: string(other), Reason: string(tk.reason)}
}

func answerOf(r *wire.Result) *wire.TaskAnswer {
	return &wire.TaskAnswer{
		Index: r.GetIndex(), Verdict: r.GetVerdict(), Ok: r.GetOk(), Status: r.GetStatus(),
		Answer: r.GetAnswer(), Reason: r.GetReason(), AnswerGone: r.GetAnswerGone(),
	}
}
