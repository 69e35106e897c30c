// Package crash decides whether a task crashes the upstreams that start it.
//
// When an upstream crashes, all runs on it are lost, also those of sound tasks, which crash nothing. Sound tasks that are then placed again
// beside the crashing task are lost with the next upstream too. A task is therefore not proven to crash upstreams by having run on one that
// was lost: it is only suspected, and from then on it is started alone. Only upstreams that are lost while the task is alone count against
// it. Another cause may hit an upstream at such a moment too, so a proof needs more than one upstream, lost at the same point of the task's
// run.
//
// Each entry and each agent has a Tracker, and they send each other the crashes that are new to them. A process that receives a job
// that was sent again, or that takes over a kept job, therefore knows of the crashes of its tasks.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Finding is what the recorded crashes say about a task.
type Finding string

// The findings.
const (
	// Unsuspected: the task may run beside other tasks.
	Unsuspected Finding = "unsuspected"
	// Suspected: the task may have crashed an upstream; it is started alone.
	Suspected Finding = "suspected"
	// Proven: the task crashes the upstreams that start it; it is not started any more.
	Proven Finding = "proven"
)

const (
	// PromptAge is the age of a run up to which a crash counts as prompt. Most tasks that crash an upstream do so within this time, since
	// they need little of their work for it.
	PromptAge = 40 * time.Millisecond
	// SafeAge is the age from which a run can't have caused a prompt crash: PromptAge plus maxAgeError.
	SafeAge = 100 * time.Millisecond
	// highLossRatio is the ratio of upstreams lost to other causes within lossWindow to all upstreams. Above it, more crashes are needed to
	// suspect a task and to prove that it crashes upstreams.
	highLossRatio = 0.6
	lossWindow    = 20 * time.Second
	// toleratedLosses is a number of losses that never counts as many for suspecting a task, however few upstreams there are.
	toleratedLosses = 2
)

const (
	// Retention is how long a task's crashes are kept after the last of them. A caller sends a job again within seconds; crashes that must
	// survive the loss of all processes are stored with the job.
	Retention = 2 * time.Minute
	// maxTasks bounds the tasks with recorded crashes, to about 4 MB: the tasks of 100 upstreams that crash at once.
	maxTasks = 4096
	// maxCrashesPerTask bounds the crashes kept of one task.
	maxCrashesPerTask = 8
	// maxEvicted bounds the evicted lives that are remembered of one task.
	maxEvicted = 64
	// maxCrashesPerVM bounds the crashes that CrashesOn returns for one VM: they fill a stored row of 4 kB.
	maxCrashesPerVM = 32
	// maxRefutations bounds the refutations that are kept.
	maxRefutations = 256
)

// Tracker holds the crashes that one process knows of. It must be used by one goroutine only.
type Tracker struct {
	without rule.Set
	tasks   map[job.TaskID]*record
	// order lists the tasks in the order of their first recorded crash, at most maxTasks of them.
	order []job.TaskID
	// losses are the lives that were lost within lossWindow; upstreams is the number of upstreams that exist.
	losses    map[ident.UpstreamLife]loss
	upstreams int
	// unexplainedLosses is the number of losses at which no task was alone on the upstream.
	unexplainedLosses int
	// refutations are about lives that answered after they had been taken for lost, oldest first.
	refutations []fleet.Refutation
}

// record holds the crashes of one task.
type record struct {
	// crashes has at most one crash for each life.
	crashes []fleet.Crash
	// evicted are the lives whose crashes were dropped, oldest first, at most maxEvicted of them. Other processes may still have them and
	// report them again, and must not be told of them in turn.
	evicted []ident.UpstreamLife
	last    time.Time
}

// loss is the loss of one life.
type loss struct {
	at time.Time
	// alone: a task was alone on the upstream, which explains the loss.
	alone bool
}

// New returns an empty Tracker. The safety rules in without are not applied; only experiments leave out rules.
func New(without rule.Set) *Tracker {
	return &Tracker{without: without, tasks: make(map[job.TaskID]*record), losses: make(map[ident.UpstreamLife]loss)}
}

// Add records a crash and reports whether it was new.
func (tr *Tracker) Add(now time.Time, c fleet.Crash) bool {
	if slices.ContainsFunc(tr.refutations, func(r fleet.Refutation) bool { return refutes(r, c) }) {
		return false
	}
	tr.recordLoss(now, c)
	r := tr.tasks[c.Task]
	if r == nil {
		tr.expireTasks(now)
		r = &record{}
		tr.tasks[c.Task] = r
		tr.order = append(tr.order, c.Task)
	}
	if r.knows(c.Life) {
		return r.improve(c, now)
	}
	if len(r.crashes) >= maxCrashesPerTask {
		tr.evictCrash(r)
	}
	r.crashes, r.last = append(r.crashes, c), now
	return true
}

// knows reports whether the task's crash with a life is recorded, or was recorded before.
func (r *record) knows(life ident.UpstreamLife) bool {
	same := func(other ident.UpstreamLife) bool { return other.MayBe(life) }
	return slices.ContainsFunc(r.crashes, func(c fleet.Crash) bool { return same(c.Life) }) || slices.ContainsFunc(r.evicted, same)
}

// improve replaces a crash at an unknown age by a report of the same crash that has the age. It reports whether there was one.
func (r *record) improve(c fleet.Crash, now time.Time) bool {
	i := slices.IndexFunc(r.crashes, func(have fleet.Crash) bool { return isAgeUnknown(have) && !isAgeUnknown(c) && have.Life.MayBe(c.Life) })
	if i < 0 {
		return false
	}
	r.crashes = slices.Clone(r.crashes)
	r.crashes[i], r.last = c, now
	return true
}

// evictCrash removes the oldest crash that is not suspicious, or the oldest of all if all are suspicious.
func (tr *Tracker) evictCrash(r *record) {
	all := tr.suspiciousCrashes(r.crashes)
	i := slices.IndexFunc(r.crashes, func(c fleet.Crash) bool { return !slices.Contains(all, c) })
	i = max(i, 0)
	r.evicted = append(r.evicted, r.crashes[i].Life)
	r.evicted = r.evicted[max(len(r.evicted)-maxEvicted, 0):]
	r.crashes = slices.Delete(r.crashes, i, i+1)
}

// AddAll records crashes and returns those that were new.
func (tr *Tracker) AddAll(now time.Time, all []fleet.Crash) []fleet.Crash {
	var added []fleet.Crash
	for _, c := range all {
		if tr.Add(now, c) {
			added = append(added, c)
		}
	}
	return added
}

// recordLoss records the loss of the crash's life, and removes losses older than lossWindow.
func (tr *Tracker) recordLoss(now time.Time, c fleet.Crash) {
	maps.DeleteFunc(tr.losses, func(_ ident.UpstreamLife, l loss) bool { return now.Sub(l.at) > lossWindow })
	l, known := tr.losses[c.Life]
	if !known {
		l.at = now
	}
	l.alone = l.alone || c.Alone
	tr.losses[c.Life] = l
	tr.countUnexplainedLosses()
}

// countUnexplainedLosses updates unexplainedLosses. The count is cached because Finding is called for each task at each placement, while
// losses change seldom.
func (tr *Tracker) countUnexplainedLosses() {
	tr.unexplainedLosses = 0
	for _, l := range tr.losses {
		if !l.alone {
			tr.unexplainedLosses++
		}
	}
}

// SetUpstreamCount sets the number of upstreams that exist.
func (tr *Tracker) SetUpstreamCount(n int) { tr.upstreams = n }

// hasManyLosses reports whether the upstreams that were lately lost while no task was alone on them are more than tolerated, and more than
// highLossRatio of all upstreams.
func (tr *Tracker) hasManyLosses(tolerated int) bool {
	return tr.unexplainedLosses > tolerated && float64(tr.unexplainedLosses) > highLossRatio*float64(tr.upstreams)
}

// requiredCrashes returns how many upstreams must be lost while a task runs on them to prove that the task crashes them.
func (tr *Tracker) requiredCrashes() int {
	if tr.hasManyLosses(0) {
		return minCrashesAmidLosses
	}
	return minCrashes
}

// expireTasks removes the tasks whose last crash is older than Retention, and the oldest task if there are maxTasks.
func (tr *Tracker) expireTasks(now time.Time) {
	for len(tr.order) > 0 {
		oldest := tr.order[0]
		r := tr.tasks[oldest]
		if r != nil && len(tr.order) < maxTasks && now.Sub(r.last) < Retention {
			return
		}
		delete(tr.tasks, oldest)
		tr.order = slices.Delete(tr.order, 0, 1)
	}
}

// refutes reports whether a refutation covers the loss that a crash belongs to.
func refutes(r fleet.Refutation, c fleet.Crash) bool { return r.Life == c.Life && c.Loss <= r.UpTo }

// Refute records that a life which was taken for lost has answered since, and reports whether this was new.
func (tr *Tracker) Refute(n fleet.Refutation) bool {
	if slices.ContainsFunc(tr.refutations, func(r fleet.Refutation) bool { return r.Life == n.Life && r.UpTo >= n.UpTo }) {
		return false
	}
	tr.refutations = append(tr.refutations, n)
	if len(tr.refutations) > maxRefutations {
		tr.refutations = slices.Delete(tr.refutations, 0, 1)
	}
	delete(tr.losses, n.Life)
	tr.countUnexplainedLosses()
	for _, r := range tr.tasks {
		r.crashes = slices.DeleteFunc(r.crashes, func(c fleet.Crash) bool { return refutes(n, c) })
	}
	return true
}

// Crashes returns the crashes of a task, in the order in which they were recorded.
func (tr *Tracker) Crashes(t job.TaskID) []fleet.Crash {
	if r := tr.tasks[t]; r != nil {
		return r.crashes
	}
	return nil
}

// Has reports whether a crash of a task with a life is recorded.
func (tr *Tracker) Has(t job.TaskID, life ident.UpstreamLife) bool {
	return slices.ContainsFunc(tr.Crashes(t), func(c fleet.Crash) bool { return c.Life.MayBe(life) })
}

// Finding returns what the crashes of a task say about it.
func (tr *Tracker) Finding(t job.TaskID) Finding { return tr.findingOf(tr.Crashes(t)) }

// FindingWith returns what the crashes of a task would say about it if its unconfirmed crashes were confirmed. A single crash that is not
// confirmed says nothing: whenever an agent is lost, each of its tasks has one.
func (tr *Tracker) FindingWith(t job.TaskID, unconfirmed []fleet.Crash) Finding {
	all := tr.crashesWith(t, unconfirmed)
	if len(all) < 2 {
		return tr.Finding(t)
	}
	return tr.findingOf(all)
}

// crashesWith returns the recorded crashes of a task, and the unconfirmed ones with other lives.
func (tr *Tracker) crashesWith(t job.TaskID, unconfirmed []fleet.Crash) []fleet.Crash {
	all := slices.Clip(tr.Crashes(t))
	for _, c := range unconfirmed {
		if !tr.Has(t, c.Life) {
			all = append(all, c)
		}
	}
	return all
}

// findingOf returns what the crashes of one task say about it.
func (tr *Tracker) findingOf(all []fleet.Crash) Finding {
	switch {
	case len(all) == 0:
		return Unsuspected // the common case, so it comes first
	case tr.proven(all):
		return Proven
	case len(tr.suspiciousCrashes(all)) > 0:
		return Suspected
	}
	return Unsuspected
}

// AloneFor returns how long after the start of a suspected task nothing may be started beside it: until the run has outlived the points
// at which the task may have crashed upstreams, plus the error of the recorded ages. If these points are all unknown, it is the lowest
// bound of them.
func (tr *Tracker) AloneFor(t job.TaskID, unconfirmed []fleet.Crash) time.Duration {
	var latest time.Duration
	var bounds []time.Duration
	all := tr.suspiciousCrashes(tr.crashesWith(t, unconfirmed))
	for _, c := range all {
		if isAgeUnknown(c) {
			bounds = append(bounds, c.MaxAge)
			continue
		}
		latest = max(latest, c.Age)
	}
	if len(bounds) > 1 && len(bounds) == len(all) {
		latest = slices.Min(bounds)
	}
	return latest + SafeAge
}

// HasCrashOn reports whether the upstream of a VM was lost while a task ran on it. Losing an upstream on another VM would prove more.
func (tr *Tracker) HasCrashOn(t job.TaskID, vm ident.UpstreamName) bool {
	return slices.ContainsFunc(tr.Crashes(t), func(c fleet.Crash) bool { return c.VM == vm })
}

// HasAloneCrashOn reports whether the upstream of a VM was lost while the task was alone on it, and the task's last crash is not longer
// ago than within.
func (tr *Tracker) HasAloneCrashOn(now time.Time, t job.TaskID, vm ident.UpstreamName, within time.Duration) bool {
	r := tr.tasks[t]
	return r != nil && now.Sub(r.last) <= within && slices.ContainsFunc(r.crashes, func(c fleet.Crash) bool { return c.VM == vm && c.Alone })
}

// SelectRepeated returns those of the given crashes whose tasks have more than one recorded crash. These are passed on to all processes.
func (tr *Tracker) SelectRepeated(all []fleet.Crash) []fleet.Crash {
	return slices.DeleteFunc(slices.Clone(all), func(c fleet.Crash) bool { return len(tr.Crashes(c.Task)) < 2 })
}

// IsRepeatLoss reports whether a life was lost while it ran a task that has more than one recorded crash. Refuted crashes are not
// recorded any more.
func (tr *Tracker) IsRepeatLoss(life ident.UpstreamLife) bool {
	for _, r := range tr.tasks {
		if len(r.crashes) > 1 && slices.ContainsFunc(r.crashes, func(c fleet.Crash) bool { return c.Life == life }) {
			return true
		}
	}
	return false
}

// CrashesOn returns the newest crashes of a VM's upstreams. The VM's agent stores them, so that they survive the loss of all processes.
func (tr *Tracker) CrashesOn(now time.Time, vm ident.UpstreamName) []fleet.Crash {
	all := slices.DeleteFunc(tr.All(now), func(c fleet.Crash) bool { return c.VM != vm || isAgeUnknown(c) })
	slices.SortStableFunc(all, func(a, b fleet.Crash) int { return cmp.Compare(b.Loss, a.Loss) })
	return all[:min(len(all), maxCrashesPerVM)]
}

// Repeated returns the recorded crashes of the tasks that have more than one. Single crashes are known to all processes that were linked
// with the agent; in a region of thousands of VMs, an outage causes too many of them to send them to all other processes.
func (tr *Tracker) Repeated(now time.Time) []fleet.Crash { return tr.listCrashes(now, 2) }

// All returns all crashes that are not older than Retention.
func (tr *Tracker) All(now time.Time) []fleet.Crash { return tr.listCrashes(now, 1) }

// listCrashes returns the crashes, not older than Retention, of the tasks that have at least minimum crashes.
func (tr *Tracker) listCrashes(now time.Time, minimum int) []fleet.Crash {
	var out []fleet.Crash
	for _, t := range tr.order {
		if r := tr.tasks[t]; len(r.crashes) >= minimum && now.Sub(r.last) < Retention {
			out = append(out, r.crashes...)
		}
	}
	return out
}
