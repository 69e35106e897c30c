package schedule

import (
	"bytes"
	"slices"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
)

// callerJob is one job as its caller knows it.
type callerJob struct {
	id   ident.JobID
	spec *wire.JobSpec
	// roster is the set of agent incarnations under which the id was minted, as the world sees it.
	roster    []ident.Incarnation
	submitted bool
	final     *wire.Answer
	last      *wire.Answer
	expired   bool
}

const maxJobs = 6

// callerActions mint, submit, submit again elsewhere, read and cancel.
func (w *world) callerActions() []action {
	entries := w.liveEntries()
	if len(entries) == 0 {
		return nil
	}
	at := func() *process { return entries[w.rng.IntN(len(entries))] }
	var out []action
	if len(w.jobs) < maxJobs && w.faults {
		out = append(out, action{6, func() { w.mint(at()) }})
	}
	for _, j := range w.jobs {
		weight := 1
		if !j.submitted {
			weight = 6
		}
		out = append(out, action{weight, func() { w.ask(j, at(), job.OpSubmit) }})
		if w.faults && j.submitted && (w.flavour.cancels || w.rng.IntN(8) == 0) {
			out = append(out, action{1, func() { w.ask(j, at(), job.OpCancel) }})
			out = append(out, action{1, func() { w.ask(j, at(), job.OpRead) }})
		}
	}
	return out
}

func (w *world) liveEntries() []*process {
	var out []*process
	for _, p := range w.procs {
		if p.alive && !p.paused && p.isEntry() {
			out = append(out, p)
		}
	}
	return out
}

func (w *world) mint(p *process) {
	ids, err := p.table.Mint(service, 1)
	if err != nil {
		return
	}
	j := &callerJob{id: ids[0], spec: &wire.JobSpec{Service: string(service), Repeatable: w.rng.IntN(6) == 0}}
	for range 1 + w.rng.IntN(4) {
		j.spec.Tasks = append(j.spec.Tasks, &wire.TaskSpec{Kind: "feed"})
	}
	if w.rng.IntN(4) == 0 {
		j.spec.DeadlineMs = uint32(1 + w.rng.IntN(10_000))
	}
	j.roster = p.table.Roster(j.id.Roster)
	w.jobs = append(w.jobs, j)
	w.byKey[j.id.Key] = j
	w.trace("mint %s at %d", j.id.Key, p.inc)
}

func (w *world) ask(j *callerJob, p *process, op job.Op) {
	w.trace("%s %s at %d", op, j.id.Key, p.inc)
	j.submitted = j.submitted || op == job.OpSubmit
	lost := w.faults && w.rng.IntN(8) == 0
	req := job.Request{ID: j.id, Op: op, Answer: func(a *wire.Answer) {
		if p.alive && !lost {
			w.told(j, a)
		}
	}}
	if op == job.OpSubmit {
		req.Spec = j.spec
	}
	p.table.Do(req)
}

// told checks an answer against all that callers were told before and against what the upstreams saw.
func (w *world) told(j *callerJob, a *wire.Answer) {
	w.trace("told %s %s %s", j.id.Key, a.GetState(), a.GetReason())
	if a.GetId() != j.id.Text {
		w.fail("job %s got the answer of another request", j.id.Key)
	}
	j.last = a
	if a.GetReason() == string(verdict.Expired) && a.GetState() == string(verdict.Unresolved) {
		j.expired = true
		w.stats.expired++
	}
	for _, t := range a.GetTasks() {
		w.checkTask(j, t)
	}
	if !verdict.State(a.GetState()).Final() {
		return
	}
	w.checkFinal(j, a)
}

func (w *world) checkTask(j *callerJob, t *wire.TaskAnswer) {
	id := taskID(j.id.Key, t.GetIndex())
	switch verdict.Verdict(t.GetVerdict()) {
	case verdict.NotRun:
		w.notRun[id] = true
		if w.starts[id] > 0 {
			w.fail("task %s was called not_run and had started", id)
		}
	case verdict.Ran:
		if w.starts[id] == 0 {
			w.fail("task %s was called ran and never started", id)
		}
		if t.GetOk() && !t.GetAnswerGone() && !bytes.Equal(t.GetAnswer(), answerFor(j.id.Key, t.GetIndex())) {
			w.fail("task %s got a wrong answer %q", id, t.GetAnswer())
		}
	}
}

func (w *world) checkFinal(j *callerJob, a *wire.Answer) {
	if len(a.GetTasks()) != len(j.spec.GetTasks()) {
		w.fail("job %s answered %d of %d tasks", j.id.Key, len(a.GetTasks()), len(j.spec.GetTasks()))
	}
	if a.GetState() == string(verdict.Complete) {
		for _, t := range a.GetTasks() {
			if t.GetVerdict() != string(verdict.Ran) || !t.GetOk() {
				w.fail("job %s is complete with task %d %s", j.id.Key, t.GetIndex(), t.GetVerdict())
			}
		}
	}
	if j.final == nil {
		j.final = a
		return
	}
	if a.GetState() != j.final.GetState() || !slices.Equal(verdictsOf(a), verdictsOf(j.final)) {
		w.fail("job %s has two outcomes: %s %v, then %s %v", j.id.Key,
			j.final.GetState(), verdictsOf(j.final), a.GetState(), verdictsOf(a))
	}
}

func verdictsOf(a *wire.Answer) []string {
	var out []string
	for _, t := range a.GetTasks() {
		out = append(out, t.GetVerdict())
	}
	return out
}
