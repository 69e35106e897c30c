package job

import (
	"bytes"
	"slices"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// adopt takes up a job whose owner is gone: it seals every agent of the job's roster under a new
// generation, and only then knows what was started and what never will be.
func (t *Table) adopt(req Request, j *job) {
	if req.ID.Region != t.opt.Region {
		req.Answer(t.brief(req.ID, verdict.Unresolved, verdict.MayHaveRun, verdict.OtherRegion,
			"the id belongs to region "+string(req.ID.Region)+", which can't be reached from here"))
		return
	}
	t.counts.Adopted++
	counter := uint32(ident.OwnerCounter)
	if j == nil {
		j = t.newJob(req.ID, ident.Generation{})
	}
	counter = max(counter, j.gen.Counter, j.newest.Counter) + 1
	j.gen = ident.Generation{Counter: counter, Holder: t.opt.Self}
	j.tasks, j.left, j.decision, j.spec, j.digest = nil, 0, nil, nil, nil
	j.roster = t.rosters[req.ID.Roster]
	if req.Spec != nil {
		j.setBody(req.Spec)
	}
	t.log(j).Info("job_adopted")
	j.waiters = append(j.waiters, waiting{req, t.opt.Now()})
	t.unsettled[j.key] = j
	if j.roster == nil {
		t.seek(j)
		return
	}
	t.startSeal(j)
}

func (t *Table) startSeal(j *job) {
	t.setMode(j, sealing)
	j.sealed = make(map[ident.Incarnation]*wire.Sealed)
	for _, a := range t.rosterAgents(j) {
		t.sendSeal(j, a)
	}
	t.resolveWhenSealed(j)
}

// rosterAgents lists the agents that may start tasks of j, and must seal it: the incarnations of its roster,
// whatever is linked now under the same names. The list is a copy.
func (t *Table) rosterAgents(j *job) []*agent {
	if t.opt.Omit.Holds(rule.RosterIncarnations) {
		return slices.Clone(j.roster.agents)
	}
	var out []*agent
	for _, a := range j.roster.agents {
		out = append(out, t.linkedByName(a))
	}
	return out
}

func (t *Table) sendSeal(j *job, a *agent) {
	if !a.up {
		return
	}
	t.counts.Seals++
	j.messages++
	t.toAgent(a.inc, &wire.Msg{Kind: &wire.Msg_Seal{Seal: &wire.Seal{
		Key: j.key.Wire(), MintedMs: j.id.MintedMs, Gen: j.gen.Wire(),
	}}})
}

// resumeUnsettled sends again what a newly linked agent must still hear.
func (t *Table) resumeUnsettled(a *agent) {
	for _, j := range t.pending() {
		switch {
		case j.mode == sealing && slices.Contains(t.rosterAgents(j), a):
			// Also if it has sealed: a result that it sent since may have been lost with the old link.
			delete(j.sealed, a.inc)
			t.sendSeal(j, a)
		case j.mode == recording && (j.recorder == 0 || j.recorder == a.inc):
			t.sendRecord(j)
		}
	}
}

func (t *Table) handleSealed(from ident.Incarnation, s *wire.Sealed) {
	j := t.jobs[ident.KeyOf(s.GetKey())]
	if j == nil || j.mode != sealing || ident.GenerationOf(s.GetGen()) != j.gen {
		return
	}
	j.sealed[from] = s
	t.resolveWhenSealed(j)
}

// noteWhileSealing keeps a result that an agent sends after it sealed, while others have not.
func (j *job) noteWhileSealing(from ident.Incarnation, r *wire.Result) {
	s := j.sealed[from]
	if s == nil {
		return
	}
	s.Running = slices.DeleteFunc(s.Running, func(x *wire.TaskRef) bool { return x.GetIndex() == r.GetIndex() })
	if r.GetVerdict() != string(verdict.NotRun) {
		s.Ended = append(s.Ended, r)
	}
}

// resolveWhenSealed goes on once every agent of the roster has sealed. From silence nothing follows.
func (t *Table) resolveWhenSealed(j *job) {
	for _, a := range t.rosterAgents(j) {
		silent := j.sealed[a.inc] == nil
		if silent && (a.up || t.opt.Omit.Holds(rule.SilentAgents)) {
			return
		}
	}
	t.resolve(j)
}

func (t *Table) resolve(j *job) {
	t.checkBody(j)
	t.fillFromSeals(j)
	for _, s := range j.sealed {
		if s.GetDecision() != nil {
			j.decision = s.GetDecision()
			t.endFailed(j)
			return
		}
	}
	if j.spec == nil && j.failure() == "" && (len(j.tasks) == 0 || j.anyTodo()) {
		t.setMode(j, bodyNeeded)
		t.settleNow(j)
		return
	}
	t.activate(j)
}

// settleNow answers the waiters of a job that can't go on without a body.
func (t *Table) settleNow(j *job) {
	waiters := j.waiters
	j.waiters = nil
	for _, w := range waiters {
		t.counts.Unresolved++
		w.req.Answer(t.progressAnswer(j, verdict.Unresolved, verdict.BodyNeeded))
	}
}

// resumeWithBody goes on with a job that waited only for its body.
func (t *Table) resumeWithBody(j *job) {
	if j.mode == bodyNeeded {
		t.activate(j)
	}
}

// checkBody drops a body that differs from the one under which tasks have started, and its callers.
func (t *Table) checkBody(j *job) {
	for _, s := range j.sealed {
		if len(s.GetBodyDigest()) == 0 || bytes.Equal(s.GetBodyDigest(), j.digest) {
			continue
		}
		j.digest = s.GetBodyDigest()
		if j.spec == nil {
			continue
		}
		j.spec, j.tasks, j.left = nil, nil, 0
		kept := j.waiters[:0]
		for _, w := range j.waiters {
			if w.req.Op != OpSubmit {
				kept = append(kept, w)
				continue
			}
			w.req.Answer(t.brief(j.id, verdict.Refused, verdict.MayHaveRun, verdict.DifferentBody,
				"another body was submitted under this id; this one started nothing"))
		}
		j.waiters = kept
	}
}

// rank orders what two agents may say of one repeatable task: what succeeded counts before what runs,
// and that before what failed. Whoever seals the same agents later comes to the same.
var rank = map[taskState]int{todo: 0, unsure: 1, bad: 2, sent: 3, done: 4}

// fillFromSeals sets the job's tasks to what its agents have told.
func (t *Table) fillFromSeals(j *job) {
	for _, a := range t.rosterAgents(j) {
		s := j.sealed[a.inc]
		j.setCount(int(s.GetCount()))
		for _, r := range s.GetEnded() {
			j.fill(r.GetIndex(), stateOf(r), a.inc, r.GetAttempt(), r)
		}
		for _, ref := range s.GetRunning() {
			j.fill(ref.GetIndex(), sent, a.inc, ref.GetAttempt(), nil)
		}
	}
	for i := range j.tasks {
		tk := &j.tasks[i]
		switch {
		case tk.state == sent:
			t.agent(tk.agent).tasks[taskRef{j.key, uint32(i)}] = placement{t.opt.Now(), t.expected(j, uint32(i))}
		case tk.state == unsure && j.repeatable():
			tk.state, tk.result = todo, nil
			tk.repeats++
		}
	}
}

func (j *job) fill(index uint32, s taskState, from ident.Incarnation, attempt uint32, r *wire.Result) {
	if rank[s] <= rank[j.tasks[index].state] {
		return
	}
	tk := j.set(index, s)
	tk.agent, tk.attempt, tk.result = from, attempt, r
	tk.last = max(tk.last, attempt)
}

func stateOf(r *wire.Result) taskState {
	switch {
	case r.GetVerdict() != string(verdict.Ran):
		return unsure
	case r.GetOk():
		return done
	}
	return bad
}

func (j *job) anyTodo() bool {
	return slices.ContainsFunc(j.tasks, func(tk task) bool { return tk.state == todo })
}
