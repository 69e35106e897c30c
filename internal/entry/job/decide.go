package job

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/burn"
	"hillreel/internal/link/wire"
)

// setMode keeps the set of jobs that wait for messages of agents or peers.
func (t *Table) setMode(j *job, m mode) {
	j.mode = m
	j.since = t.opt.Now()
	switch m {
	case seeking, sealing, stopping, recording:
		t.blocked[j.key] = j
	default:
		delete(t.blocked, j.key)
	}
}

// pending lists the blocked jobs; the list is a copy, so that modes may change on the way through it.
func (t *Table) pending() []*job {
	out := make([]*job, 0, len(t.blocked))
	for _, j := range t.blocked {
		out = append(out, j)
	}
	sortJobs(out)
	return out
}

// sortJobs gives jobs an order that does not vary, so that a run can be replayed.
func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return compareKeys(a.key, b.key) })
}

// fail gives up on an active job: what is queued is withdrawn, then the decision is recorded and told.
func (t *Table) fail(j *job, why verdict.Reason) {
	t.unqueue(j)
	j.why = why
	t.setMode(j, stopping)
	j.withdrawing = make(map[ident.Incarnation]bool)
	for i := range j.tasks {
		tk := &j.tasks[i]
		if tk.state != sent || j.withdrawing[tk.agent] {
			continue
		}
		if a := t.agents[tk.agent]; a != nil && a.up {
			j.withdrawing[tk.agent] = true
		}
	}
	for _, inc := range slices.Sorted(maps.Keys(j.withdrawing)) {
		t.counts.Withdrawals++
		j.messages++
		t.toAgent(inc, &wire.Msg{Kind: &wire.Msg_Withdraw{Withdraw: &wire.Withdraw{
			Key: j.key.Wire(), Gen: j.gen.Wire(), MintedMs: j.id.MintedMs,
		}}})
	}
	t.decideWhenStopped(j)
}

func (t *Table) handleWithdrawn(from ident.Incarnation, w *wire.Withdrawn) {
	j := t.jobs[ident.KeyOf(w.GetKey())]
	if j == nil || ident.GenerationOf(w.GetGen()) != j.gen {
		return
	}
	for _, d := range w.GetDropped() {
		if j.expects(from, d.GetIndex()) && j.tasks[d.GetIndex()].attempt == d.GetAttempt() {
			t.release(j, d.GetIndex())
			t.notStarted(j, d.GetIndex(), verdict.Withdrawn)
		}
	}
	if j.mode == stopping {
		delete(j.withdrawing, from)
		t.decideWhenStopped(j)
	}
}

func (t *Table) decideWhenStopped(j *job) {
	if j.mode == stopping && len(j.withdrawing) == 0 {
		t.decide(j)
	}
}

// decide freezes the decision and records it at one agent before anybody hears of it: whoever takes the
// job up later must be able to find it there.
func (t *Table) decide(j *job) {
	t.releaseAll(j)
	j.decision = &wire.Decision{Reason: string(j.why), Verdicts: j.verdicts()}
	t.setMode(j, recording)
	if !t.opt.Omit.Holds(rule.RecordedDecision) {
		t.endFailed(j)
		return
	}
	t.sendRecord(j)
}

// sendRecord sends the frozen decision to an agent that is linked, if there is one. A second agent may
// get it when the first is lost: the decision is the same.
func (t *Table) sendRecord(j *job) {
	a := t.recorderFor(j)
	if a == nil {
		j.recorder = 0
		return
	}
	j.recorder = a.inc
	j.messages++
	t.counts.Records++
	t.toAgent(a.inc, &wire.Msg{Kind: &wire.Msg_Record{Record: &wire.Record{
		Key: j.key.Wire(), MintedMs: j.id.MintedMs, Gen: j.gen.Wire(), Decision: j.decision,
	}}})
}

// recorderFor prefers an agent that holds a task of the job, else spreads by the job's number.
func (t *Table) recorderFor(j *job) *agent {
	for i := range j.tasks {
		if a := t.agents[j.tasks[i].agent]; a != nil && a.up && slices.Contains(j.roster.agents, a) {
			return a
		}
	}
	var linked []*agent
	for _, a := range j.roster.agents {
		if a.up {
			linked = append(linked, a)
		}
	}
	if len(linked) == 0 {
		return nil
	}
	return linked[j.key.Seq%uint64(len(linked))]
}

func (t *Table) handleRecorded(r *wire.Recorded) {
	j := t.jobs[ident.KeyOf(r.GetKey())]
	if j == nil || j.mode != recording || ident.GenerationOf(r.GetGen()) != j.gen {
		return
	}
	invariant.Check(proto.Equal(r.GetDecision(), j.decision), invariant.DecidedOnce, func() logrus.Fields {
		return logrus.Fields{"job": j.key}
	})
	t.endFailed(j)
}

// handleFenced: a newer generation answers for the job. This one starts and decides nothing more.
func (t *Table) handleFenced(f *wire.Fenced) {
	j := t.jobs[ident.KeyOf(f.GetKey())]
	if j == nil || ident.GenerationOf(f.GetGen()) != j.gen || j.mode == ended || j.mode == lost {
		return
	}
	t.counts.Lost++
	t.log(j).WithField("newest", f.GetNewest().GetCounter()).Info("job_lost")
	t.unqueue(j)
	t.releaseAll(j)
	j.newest = ident.GenerationOf(f.GetNewest())
	t.setMode(j, lost)
	t.passOn(j)
}

// handleExpired: the agent has forgotten ids of that age, so that nobody can settle the job any more.
func (t *Table) handleExpired(from ident.Incarnation, e *wire.Expired) {
	j := t.jobs[ident.KeyOf(e.GetKey())]
	if j == nil || ident.GenerationOf(e.GetGen()) != j.gen {
		return
	}
	switch j.mode {
	case recording, sealing:
		t.endExpired(j)
	case active, bodyNeeded, stopping:
		for i := range j.tasks {
			if j.expects(from, uint32(i)) {
				t.release(j, uint32(i))
				t.unsure(j, uint32(i), nil, verdict.Expired)
			}
		}
		delete(j.withdrawing, from)
		t.decideWhenStopped(j)
	}
}

// complete needs no record: every task's result stands at its agent, and whoever seals them sees the same.
func (t *Table) complete(j *job) {
	t.counts.Complete++
	a := &wire.Answer{Id: j.id.Text, State: string(verdict.Complete), Verdict: string(verdict.Ran), Messages: j.messages}
	for i := range j.tasks {
		a.Tasks = append(a.Tasks, j.taskAnswer(uint32(i), verdict.Ran))
	}
	t.end(j, a)
}

// endFailed tells the recorded decision.
func (t *Table) endFailed(j *job) {
	t.counts.Failed++
	t.log(j).WithFields(logrus.Fields{
		"reason": j.decision.GetReason(), "verdict": summary(j.decision.GetVerdicts()),
	}).Info("job_failed")
	a := &wire.Answer{
		Id: j.id.Text, State: string(verdict.Failed), Reason: j.decision.GetReason(),
		Verdict: string(summary(j.decision.GetVerdicts())), Messages: j.messages,
	}
	if a.GetReason() == string(verdict.Overloaded) {
		a.RetryAfterMs = max(retryAfterMs, uint32(j.retryAfter.Milliseconds()))
	}
	j.setCount(len(j.decision.GetVerdicts()))
	for i, v := range j.decision.GetVerdicts() {
		ta := &wire.TaskAnswer{Index: uint32(i), Verdict: v, Reason: string(j.tasks[i].reason)}
		if v == string(verdict.Ran) {
			ta = j.taskAnswer(uint32(i), verdict.Ran)
		}
		a.Tasks = append(a.Tasks, ta)
	}
	t.end(j, a)
}

// log begins an event about a job.
func (t *Table) log(j *job) *logrus.Entry {
	return t.opt.Log.WithFields(logrus.Fields{"job": j.key, "gen": j.gen.Counter, "tasks": len(j.tasks)})
}

// summary is the verdict on the whole: not_run only if that holds for every task.
func summary(verdicts []string) verdict.Verdict {
	count := make(map[string]int)
	for _, v := range verdicts {
		count[v]++
	}
	switch {
	case count[string(verdict.NotRun)] == len(verdicts):
		return verdict.NotRun
	case count[string(verdict.Ran)] == len(verdicts):
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// endExpired ends this entry's efforts. Nothing is decided: nobody may start a task of the id any more.
func (t *Table) endExpired(j *job) {
	a := t.progressAnswer(j, verdict.Unresolved, verdict.Expired)
	a.RetryAfterMs = 0
	t.end(j, a)
}

// tellBurn reports a job's end for the objectives. A cancelled job is neither good nor bad.
func (t *Table) tellBurn(j *job) {
	if t.opt.Ended == nil || j.why == verdict.Cancelled || j.begun == 0 {
		return
	}
	out := burn.Job{
		Service: j.id.Service, Team: ident.Team(j.spec.GetTeam()), Took: t.opt.Now().Sub(t.started) - j.begun,
		Complete: j.outcome.state == verdict.Complete,
	}
	for i := range j.tasks {
		tk := &j.tasks[i]
		out.Longest = max(out.Longest, time.Duration(tk.result.GetRunMs())*time.Millisecond)
		if a := t.agents[tk.agent]; a != nil && (tk.state == bad || tk.state == unsure) {
			out.Upstreams = append(out.Upstreams, a.name)
		}
	}
	t.opt.Ended(out)
}

func (t *Table) end(j *job, a *wire.Answer) {
	invariant.Check(j.outcome == nil, invariant.DecidedOnce, func() logrus.Fields {
		return logrus.Fields{"job": j.key, "before": j.outcome.state, "now": a.GetState()}
	})
	j.outcome = pack(a)
	t.tellBurn(j)
	t.releaseAll(j)
	j.spec, j.sealed, j.withdrawing = nil, nil, nil
	j.tasks, j.queue = nil, nil
	t.setMode(j, ended)
	t.keepAnswer(j)
	t.tellAll(j, a)
	t.tellSuccessor(j)
}
