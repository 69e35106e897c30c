package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/unconfirmed"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/placement"
)

// Crashes returns the recorded upstream losses and the tasks that were running then.
func (t *Table) Crashes() *crash.Tracker { return t.crashes }

// HandleCrashes records that upstreams were lost while they ran tasks, and returns the crashes that were not known before.
// It is called before the ends of the runs are handled. A job fails if one of its tasks is proven to crash upstreams.
func (t *Table) HandleCrashes(now time.Time, all []fleet.Crash) []fleet.Crash {
	newCrashes := t.crashes.AddAll(now, all)
	for _, c := range newCrashes {
		if j := t.jobs[c.Task.Job]; j != nil && !j.ending && j.kept {
			t.keeper.Crashed(now, c)
		}
	}
	for _, c := range newCrashes {
		t.failProven(now, c.Task)
	}
	return newCrashes
}

// restoreCrashes records the stored crashes of a kept job's tasks, and has those stored that only this entry knows.
func (t *Table) restoreCrashes(now time.Time, j *jobState, stored []fleet.Crash) {
	for i := range j.steps {
		for _, k := range j.steps[i].tasks {
			for _, c := range t.crashes.Crashes(k.id) {
				same := func(s fleet.Crash) bool { return s.Task == c.Task && s.Life == c.Life }
				if !slices.ContainsFunc(stored, same) {
					t.keeper.Crashed(now, c)
				}
			}
		}
	}
	for _, c := range stored {
		t.crashes.Add(now, c)
	}
}

// restoreUnconfirmed records the stored unconfirmed crashes of a kept job's tasks. If the upstreams that were up at the last
// start are all gone, something else may have taken the task's upstream with them: the crashes then count as if the task had
// not been alone, which asks for caution and proves nothing.
func (t *Table) restoreUnconfirmed(now time.Time, all []fleet.Crash, beside []fleet.Bystander) {
	outage := len(beside) > 0 && !slices.ContainsFunc(beside, t.isUp)
	for _, c := range all {
		c.Alone = c.Alone && !outage
		if !t.crashes.Has(c.Task, c.Life) {
			t.unconfirmed.Add(now, c, unconfirmed.Own)
			t.resolveOn(now, c.VM)
		}
	}
}

// isUp reports whether an upstream is known to be up still.
func (t *Table) isUp(b fleet.Bystander) bool {
	return slices.ContainsFunc(t.agentList, func(a *agentState) bool {
		return a.Known() && a.Name == b.VM && a.Upstream.Life() == b.Life
	})
}

// maxBystanders is how many upstreams are stored with a start.
const maxBystanders = 3

// bystanders returns upstreams on other VMs that are up, those in the agent's own availability zone first: most outages take
// upstreams of one zone.
func (t *Table) bystanders(of *agentState) []fleet.Bystander {
	var near, far []fleet.Bystander
	for _, a := range t.agentList {
		b := fleet.Bystander{VM: a.Name, Life: a.Upstream.Life()}
		switch {
		case !a.Known() || a.Name == of.Name || len(near) == maxBystanders:
		case a.Zone == of.Zone:
			near = append(near, b)
		case len(far) < maxBystanders:
			far = append(far, b)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// HandleRefutations records that upstream lives that were considered lost have answered after all.
func (t *Table) HandleRefutations(now time.Time, all []fleet.Refutation) {
	for _, r := range all {
		if t.crashes.Refute(r) && t.keeper != nil {
			t.keeper.Refuted(now, r)
		}
	}
}

// crashesUpstreams is the answer to a job with a task that crashes the upstreams that start it.
var crashesUpstreams = Answer{State: verdict.Failed, Verdict: verdict.Ran, Reason: verdict.CrashesUpstreams}

// failProven ends the job of a task that is proven to crash upstreams.
func (t *Table) failProven(now time.Time, id job.TaskID) {
	j := t.jobs[id.Job]
	if j == nil || j.ending || t.crashes.Finding(id) != crash.Proven {
		return
	}
	if k := j.task(id); k != nil && k.phase != finished {
		t.close(now, j, crashesUpstreams)
	}
}

// task returns the job's task with the given id, or nil if there is none.
func (j *jobState) task(id job.TaskID) *task {
	if int(id.Step) >= len(j.steps) || int(id.Index) >= len(j.steps[id.Step].tasks) {
		return nil
	}
	return j.steps[id.Step].tasks[id.Index]
}

// suspected reports whether a task may have crashed an upstream.
func (t *Table) suspected(k *task) bool { return t.crashes.Finding(k.id) == crash.Suspected }

// maxConfirmWait is the longest wait for the VMs of unconfirmed crashes. Agents and upstreams that end are back within
// seconds.
const maxConfirmWait = 10 * time.Second

// caution returns as what a task is treated until its next run: as its crashes say, those included that are not confirmed
// yet. Only its job's failure takes confirmed ones. A task that is proven in this way waits until its crashes are confirmed.
// It is started alone once more if that takes too long, or if its confirmed crashes have come to prove something only
// because losses of other upstreams were forgotten.
func (t *Table) caution(now time.Time, k *task) crash.Finding {
	if t.opts.Without.Has(rule.CrashUnconfirmed) {
		return t.crashes.Finding(k.id)
	}
	all, newest := t.unconfirmed.Of(now, k.id)
	f := t.crashes.FindingWith(k.id, all)
	switch {
	case f == crash.Proven && (t.crashes.Finding(k.id) == crash.Proven || now.Sub(newest) > maxConfirmWait):
		return crash.Suspected
	case f == crash.Unsuspected && t.mayHaveEndedEntries(now, k):
		return crash.Suspected
	}
	return f
}

// mustStoreCrash reports whether the crash of a kept job's task has to be stored before the task may be placed again.
// Otherwise an entry that takes the job over would start counting from zero.
func (t *Table) mustStoreCrash(k *task, o job.Outcome) bool {
	return k.job.kept && o == job.Lost && t.suspected(k) && !t.opts.Without.Has(rule.CrashStored)
}

// usedRoomCost is the additional cost of a fully used upstream over an empty one for a task that must run alone. The
// upstream accepts no other task until the suspected one has run alone, so other tasks wait longer if work that is already
// there has to end first.
const usedRoomCost = 10

// upstreamsPerClosed limits the upstreams that are closed for suspected tasks to one in eight, over all entries together,
// but each entry may always close one. Further suspected tasks wait, and the remaining capacity stays available to other
// tasks.
const upstreamsPerClosed = 8

// otherVMWait is how long after a loss a task that ran alone waits for an upstream on a different VM. Another loss on the
// same VM would prove nothing, and upstreams that crash are back within that time.
const otherVMWait = 3 * time.Second

// exclusiveRun is a run for which an upstream is closed to other tasks.
type exclusiveRun struct {
	task *task
	id   fleet.RunID
	// alone is how long after its start the run is alone.
	alone time.Duration
	// until is the time from which the run is certainly no longer alone.
	until time.Time
}

// maxClosed returns the number of upstreams that this entry may close for suspected tasks.
func (t *Table) maxClosed() int { return max(1, len(t.agentList)/(upstreamsPerClosed*t.entries)) }

// countClosed returns the number of upstreams that are closed for suspected tasks of this entry. It has the starts of kept
// jobs' tasks stored again that have outlived their time alone: a run that was alone when its agent was heard last may have
// crashed its upstream since.
func (t *Table) countClosed(now time.Time) int {
	t.exclusive = slices.DeleteFunc(t.exclusive, func(r exclusiveRun) bool {
		if r.task.runID != r.id || r.task.phase != placed {
			return true
		}
		outlived := !now.Before(r.until) && !r.isReportedAlone()
		if outlived {
			t.storeStart(now, r, false)
		}
		return outlived
	})
	return len(t.exclusive)
}

// isReportedAlone reports whether the run was alone when the agent reported it last.
func (r *exclusiveRun) isReportedAlone() bool {
	return slices.ContainsFunc(r.task.agent.Room().Suspects, func(s fleet.SuspectRun) bool {
		return s.RunRef == r.task.runRef() && s.Alone
	})
}

// splitSuspects separates waiting tasks that must run alone from the others. It leaves out the tasks that crash upstreams if
// their unconfirmed crashes are confirmed: these wait until that is known.
func (t *Table) splitSuspects(now time.Time, waiting []*task) (suspects, others []*task) {
	for _, k := range waiting {
		switch t.caution(now, k) {
		case crash.Suspected:
			suspects = append(suspects, k)
		case crash.Unsuspected:
			others = append(others, k)
		}
	}
	return suspects, others
}

// suspectGeneration is the generation from which a task of a kept job may be one that ends its entries together with its
// upstreams.
const suspectGeneration = 3

// mayHaveEndedEntries reports whether a task is to be started alone because the entries that held its job have ended one
// after the other. Since most of them end for other reasons, such a task doesn't wait for an upstream that can be closed.
func (t *Table) mayHaveEndedEntries(now time.Time, k *task) bool {
	return k.job.generation >= suspectGeneration && t.countClosed(now) < t.maxClosed()
}

// placeSuspects places tasks that must run alone, each in its own order.
func (t *Table) placeSuspects(now time.Time, suspects []*task, among []*agentState) {
	for _, k := range suspects {
		if t.countClosed(now) >= t.maxClosed() {
			return
		}
		if a := t.chooseAlone(now, k, among); a != nil {
			o := t.newOrder(a, k.job, int(k.id.Step))
			a.ReserveAll()
			t.assign(now, k, a, o)
			alone := t.aloneFor(now, k)
			o.Tasks[0].AloneFor = alone
			r := exclusiveRun{k, k.runID, alone, now.Add(crash.SafeAge + alone)}
			t.storeStart(now, r, true)
			t.exclusive = append(t.exclusive, r)
			t.send(now, a, o)
		}
	}
}

// aloneFor returns how long after its start a placed task is to be alone. If no crash tells when the task may crash its upstream,
// it is for as long as the task should take. A task that first restores its checkpoint comes to the same points later.
func (t *Table) aloneFor(now time.Time, k *task) time.Duration {
	unconfirmed, _ := t.unconfirmed.Of(now, k.id)
	alone := t.crashes.AloneFor(k.id, unconfirmed) + t.restoreTime(k)
	if len(t.crashes.Crashes(k.id))+len(unconfirmed) == 0 {
		alone += t.runTime(k.agent, &k.job.spec.Steps[k.id.Step], 1)
	}
	return alone
}

// storedGeneration is the generation from which the starts of all tasks of a kept job are stored. The entry that held the job
// before may have ended with an upstream that a task has crashed. To know of a first start too, each would have to be stored.
const storedGeneration = 2

// storesStarts reports whether the starts of a task are stored, in case that this entry and the agent end with the upstream:
// those of kept jobs' suspects, and of all tasks of late generations.
func (t *Table) storesStarts(now time.Time, k *task) bool {
	if !k.job.kept || t.opts.Without.Has(rule.CrashStored) {
		return false
	}
	all, _ := t.unconfirmed.Of(now, k.id)
	return k.job.generation >= storedGeneration || len(all)+len(t.crashes.Crashes(k.id)) > 0
}

// storeStart has the start of a task stored. All that the store then tells is that the run was there, whether it was alone,
// and what was up beside it.
func (t *Table) storeStart(now time.Time, r exclusiveRun, isAlone bool) {
	k := r.task
	if !t.storesStarts(now, k) {
		return
	}
	all, _ := t.unconfirmed.Of(now, k.id)
	t.keeper.KeepUnconfirmed(now, k.id, append(all, r.crash(isAlone)), t.bystanders(k.agent))
}

// storeSharedStart has the start of a task of a late generation stored that is not alone.
func (t *Table) storeSharedStart(now time.Time, k *task) {
	if k.job.generation >= storedGeneration {
		took := t.runTime(k.agent, &k.job.spec.Steps[k.id.Step], 1) + t.restoreTime(k)
		t.storeStart(now, exclusiveRun{task: k, id: k.runID, alone: took}, false)
	}
}

// crash returns the crash of the run's upstream, at an unknown age of the run.
func (r *exclusiveRun) crash(isAlone bool) fleet.Crash {
	k := r.task
	return fleet.Crash{Task: k.id, VM: k.agent.Name, Life: k.agent.Upstream.Life(), Agent: k.agent.ID, MaxAge: r.alone, Alone: isAlone, WithAgent: true}
}

// forgetStart has the stored start of a task forgotten once its run has ended without a loss.
func (t *Table) forgetStart(now time.Time, k *task, o job.Outcome) {
	if o != job.Lost && t.storesStarts(now, k) {
		all, _ := t.unconfirmed.Of(now, k.id)
		t.keeper.KeepUnconfirmed(now, k.id, all, nil)
	}
}

// chooseAlone returns the agent for a task that must run alone, or nil if none fits. It prefers the emptiest upstream. It
// excludes VMs that lost an upstream while they ran the task, if a ready upstream on another VM could run the task. For
// otherVMWait it also excludes VMs on which the task was alone when the upstream was lost, if other VMs could run it.
func (t *Table) chooseAlone(now time.Time, k *task, among []*agentState) *agentState {
	step := &k.job.spec.Steps[k.id.Step]
	elsewhere := t.readyElsewhere(k)
	others := t.hasOtherVMs(k)
	prefer := t.preferenceOf(now, k)
	defer func() { k.noteLeftRoom(now, prefer) }()
	mayTake := func(a *agentState) bool {
		switch {
		case elsewhere && t.crashes.HasCrashOn(k.id, a.Name), others && t.crashes.HasAloneCrashOn(now, k.id, a.Name, otherVMWait):
			return false
		}
		offer := t.offer(now, a, k)
		return t.eligible(a, k, prefer) && (offer.InTime() || offer.Take())
	}
	return placement.Cheapest(among, mayTake, func(a *agentState) float64 {
		return t.cost(a, step) + usedRoomCost*a.Utilization()
	})
}

// hasOtherVMs reports whether at least two VMs have, or may have, an upstream that suits the task.
func (t *Table) hasOtherVMs(k *task) bool {
	n := 0
	for _, a := range t.agentList {
		if !a.Known() || t.suits(a, k) {
			n++
		}
	}
	return n > 1
}

// readyElsewhere reports whether an upstream could run the task that the task need not avoid, on a VM that has not lost an
// upstream while it ran the task.
func (t *Table) readyElsewhere(k *task) bool {
	return slices.ContainsFunc(t.agentList, func(a *agentState) bool {
		return t.couldRun(a, k) && !t.crashes.HasCrashOn(k.id, a.Name) && !slices.Contains(k.avoid, a.Upstream.ID)
	})
}
