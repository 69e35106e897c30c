package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// Waiting describes a task that waits while nothing of its job runs.
type Waiting struct {
	Task job.TaskID
	// Waited is the time since something of the job ran, or since the job was submitted.
	Waited time.Duration
	// Caution is as what the task is treated because of the crashes under it.
	Caution crash.Finding
	// Causes counts the upstreams by what keeps the task from them.
	Causes map[WaitCause]int
}

// WaitCause is what keeps a task from an upstream.
type WaitCause string

// The causes. Of several that hold, the first one in this order counts.
const (
	// NotReady: the upstream is not known, serves another service, or does not accept work.
	NotReady WaitCause = "not_ready"
	// CordonedOff: operators have cordoned the upstream.
	CordonedOff WaitCause = "cordoned"
	// NoLabel: it lacks the label that the step requires.
	NoLabel WaitCause = "no_label"
	// TooSmall: it could not take the task if it were empty.
	TooSmall WaitCause = "too_small"
	// NoRoom: it has no room now, or has a probe already.
	NoRoom WaitCause = "no_room"
	// SetAside: the task prefers others, where it has not failed.
	SetAside WaitCause = "set_aside"
	// MaxTasks: it has as many tasks of the step as it may have.
	MaxTasks WaitCause = "max_tasks"
	// Open: none of these. The room is left to others, was declined, or is doubted.
	Open WaitCause = "open"
)

const (
	// minReportedWait is the wait from which on a task is reported: longer than the tasks of most jobs run.
	minReportedWait = time.Second
	// waitReportInterval is the pause between two reports.
	waitReportInterval = time.Second
)

// reportWaiting reports the job that has waited longest with nothing running, if it has waited for long.
func (t *Table) reportWaiting(now time.Time) {
	if now.Sub(t.waitReportedAt) < waitReportInterval {
		return
	}
	t.waitReportedAt = now
	var longest *jobState
	for _, j := range t.jobs {
		if j.ending || j.waiting == 0 || j.outstanding > 0 || now.Sub(j.idleSince) < minReportedWait {
			continue
		}
		if longest == nil || j.idleSince.Before(longest.idleSince) || j.idleSince.Equal(longest.idleSince) && j.id < longest.id {
			longest = j
		}
	}
	if longest != nil {
		t.observer.Waits(t.describeWaiting(now, longest))
	}
}

// describeWaiting describes the first waiting task of a job.
func (t *Table) describeWaiting(now time.Time, j *jobState) Waiting {
	i := slices.IndexFunc(j.steps, func(s stepState) bool { return len(s.waiting) > 0 })
	k := j.steps[i].waiting[0]
	w := Waiting{Task: k.id, Waited: now.Sub(j.idleSince), Caution: t.caution(now, k), Causes: make(map[WaitCause]int)}
	prefer := t.preferenceOf(now, k)
	for _, a := range t.agentList {
		w.Causes[t.waitCause(a, k, prefer)]++
	}
	return w
}

// waitCause returns what keeps a task from an agent's upstream.
func (t *Table) waitCause(a *agentState, k *task, prefer *preference) WaitCause {
	step, service := t.step(k), k.job.route.Service
	switch {
	case !a.Serves(service, fleet.Ready, fleet.Probing):
		return NotReady
	case !t.permits(a, service):
		return CordonedOff
	case !a.Upstream.HasLabel(step.Requires):
		return NoLabel
	case !step.Each.Fits(a.Upstream.Total):
		return TooSmall
	case !a.CanTake(service, step):
		return NoRoom
	case t.hasMaxTasks(a, k):
		return MaxTasks
	case prefer.setsAside(a):
		return SetAside
	}
	return Open
}
