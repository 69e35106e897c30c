package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/placement"
)

// Crashes is what is known of the tasks that upstreams were lost under.
func (t *Table) Crashes() *crash.Tracker { return t.crashes }

// Crashed takes in that upstreams were lost under tasks, and returns what of it is news. It is called before the ends of their runs
// are. A job with a task that crashes upstreams fails.
func (t *Table) HandleCrashes(now time.Time, all []fleet.Crash) []fleet.Crash {
	news := t.crashes.AddAll(now, all)
	for _, c := range news {
		if j := t.jobs[c.Task.Job]; j != nil && !j.ending && j.kept {
			t.keeper.Crashed(now, c)
		}
	}
	for _, c := range news {
		t.failProven(now, c.Task)
	}
	return news
}

// resumeCrashes takes in what is stored of the crashes under a kept job's tasks, and lets what is known here besides be stored too.
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

// Refuted takes in that lives which were taken for lost have answered since.
func (t *Table) HandleRefutations(now time.Time, all []fleet.Refutation) {
	for _, r := range all {
		if t.crashes.Refute(r) && t.keeper != nil {
			t.keeper.Refuted(now, r)
		}
	}
}

// crashesUpstreams is the answer to a job with a task that crashes the upstreams that start it.
var crashesUpstreams = Answer{State: verdict.Failed, Verdict: verdict.Ran, Reason: verdict.CrashesUpstreams}

// failProven ends the job of a task that crashes upstreams.
func (t *Table) failProven(now time.Time, id job.TaskID) {
	j := t.jobs[id.Job]
	if j == nil || j.ending || t.crashes.Finding(id) != crash.Proven {
		return
	}
	if k := j.task(id); k != nil && k.phase != finished {
		t.close(now, j, crashesUpstreams)
	}
}

// task returns a task of the job, or nil if it has none of that id.
func (j *jobState) task(id job.TaskID) *task {
	if int(id.Step) >= len(j.steps) || int(id.Index) >= len(j.steps[id.Step].tasks) {
		return nil
	}
	return j.steps[id.Step].tasks[id.Index]
}

// suspected tells whether a task may have crashed an upstream.
func (t *Table) suspected(k *task) bool { return t.crashes.Finding(k.id) == crash.Suspected }

// mustStore tells whether the crash under a kept job's task has to be stored before the task may be placed again: whoever takes the job
// over would count from nothing.
func (t *Table) mustStoreCrash(k *task, o job.Outcome) bool {
	return k.job.kept && o == job.Lost && t.suspected(k) && !t.opts.Without.Has(rule.CrashStored)
}

// emptyCost is how much dearer a full upstream is than an empty one for a task that is to be alone there: others wait for it.
const usedRoomCost = 10

// closedShare: one in so many upstreams may be closed for suspected tasks at a time, by all entries together, but one by each entry. Suspects
// beyond that wait, and others keep the rest of the room.
const upstreamsPerClosed = 8

// elsewhereWait is for how long after a loss a task that was alone there waits for an upstream on another VM: one more loss on the same VM proves
// nothing, and upstreams that crash are back within that.
const otherVMWait = 3 * time.Second

// aloneRun is a run that an upstream is closed for.
type exclusiveRun struct {
	task *task
	id   fleet.RunID
	// until is when it surely is alone no longer.
	until time.Time
}

// closedMost is how many upstreams this entry may have closed for suspected tasks.
func (t *Table) maxClosed() int { return max(1, len(t.agentList)/(upstreamsPerClosed*t.entries)) }

// closedNow counts the upstreams that are closed for suspected tasks of this entry.
func (t *Table) countClosed(now time.Time) int {
	t.exclusive = slices.DeleteFunc(t.exclusive, func(r exclusiveRun) bool {
		return r.task.runID != r.id || r.task.phase != placed || !now.Before(r.until)
	})
	return len(t.exclusive)
}

// divide divides tasks that wait into those that must be alone and the others.
func (t *Table) splitSuspects(waiting []*task) (suspects, others []*task) {
	for _, k := range waiting {
		if t.suspected(k) {
			suspects = append(suspects, k)
			continue
		}
		others = append(others, k)
	}
	return suspects, others
}

// placeSuspects places tasks that must be alone, each by an order of its own.
func (t *Table) placeSuspects(now time.Time, suspects []*task, among []*agentState) {
	for _, k := range suspects {
		if t.countClosed(now) >= t.maxClosed() {
			return
		}
		if a := t.chooseAlone(now, k, among); a != nil {
			o := t.newOrder(k.job, int(k.id.Step))
			a.ReserveAll()
			t.assign(now, k, a, o)
			alone := t.crashes.AloneFor(k.id)
			o.Tasks[0].AloneFor = alone
			t.exclusive = append(t.exclusive, exclusiveRun{k, k.runID, now.Add(crash.SafeAge + alone)})
			t.send(now, a, o)
		}
	}
}

// chooseAlone returns the agent for a task that must be alone, or nil while nothing fits: the emptiest, on a VM whose upstream was not
// lost under the task, if one is ready; one that it was alone at is not taken for a while, if there are others.
func (t *Table) chooseAlone(now time.Time, k *task, among []*agentState) *agentState {
	step := &k.job.spec.Steps[k.id.Step]
	elsewhere := t.readyElsewhere(k)
	others := t.hasOtherVMs(k)
	may := func(a *agentState) bool {
		switch {
		case elsewhere && t.crashes.HasCrashOn(k.id, a.Name), others && t.crashes.HasAloneCrashOn(now, k.id, a.Name, otherVMWait):
			return false
		}
		return t.eligible(a, k, step) && !t.tooSlow(now, a, k)
	}
	return placement.Cheapest(among, may, func(a *agentState) float64 {
		return a.Cost(step, t.opts.Zone, t.pace, t.rng) + usedRoomCost*a.Utilization()
	})
}

// otherVMs tells whether there are several VMs that have, or may have, an upstream of a task's service.
func (t *Table) hasOtherVMs(k *task) bool {
	n := 0
	for _, a := range t.agentList {
		if !a.Known() || a.Upstream.Service == k.job.route.Service {
			n++
		}
	}
	return n > 1
}

// readyElsewhere tells whether an upstream is ready on a VM whose upstream was not lost under a task, and the task need not avoid it.
func (t *Table) readyElsewhere(k *task) bool {
	service := k.job.route.Service
	return slices.ContainsFunc(t.agentList, func(a *agentState) bool {
		return a.Serves(service, fleet.Ready) && t.permits(a, service) && !t.crashes.HasCrashOn(k.id, a.Name) && !slices.Contains(k.avoid, a.Upstream.ID)
	})
}
