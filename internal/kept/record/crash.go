package record

import (
	"slices"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// maxCrashes bounds the crashes that are stored with a job. Far fewer are enough to decide whether a task of the job crashes
// upstreams.
const maxCrashes = 64

// maxUnconfirmed bounds the unconfirmed crashes that are stored with a job.
const maxUnconfirmed = 16

// AddCrash adds a crash to a job's progress. If there are maxCrashes already, it removes the oldest one.
func (o *OpenJob) AddCrash(c fleet.Crash) {
	if len(o.Crashes) >= maxCrashes {
		o.Crashes = o.Crashes[1:]
	}
	row := crash.NewRow(c)
	o.Crashes = append(o.Crashes[:len(o.Crashes):len(o.Crashes)], row)
	o.dropUnconfirmed(func(u crash.Row) bool { return u.Step == row.Step && u.Index == row.Index && u.ID == row.ID })
}

// SetUnconfirmed replaces the unconfirmed crashes of one of the job's tasks.
func (o *OpenJob) SetUnconfirmed(task job.TaskID, all []fleet.Crash) {
	o.dropUnconfirmed(func(u crash.Row) bool { return u.Step == task.Step && u.Index == task.Index })
	for _, c := range all {
		o.Unconfirmed = append(o.Unconfirmed, crash.NewRow(c))
	}
	o.Unconfirmed = o.Unconfirmed[max(len(o.Unconfirmed)-maxUnconfirmed, 0):]
}

// SetBeside replaces the upstreams that were up when the last unconfirmed run was ordered.
func (o *OpenJob) SetBeside(all []fleet.Bystander) {
	o.Beside = nil
	for _, b := range all {
		o.Beside = append(o.Beside, Upstream{VM: b.VM, ID: b.Life.ID, Born: b.Life.Born})
	}
}

// Bystanders lists the upstreams that were up when the last unconfirmed run was ordered.
func (o *OpenJob) Bystanders() []fleet.Bystander {
	var out []fleet.Bystander
	for _, u := range o.Beside {
		out = append(out, fleet.Bystander{VM: u.VM, Life: ident.UpstreamLife{ID: u.ID, Born: u.Born}})
	}
	return out
}

// dropUnconfirmed removes the unconfirmed crashes for which drop returns true. It leaves the present list as it is, which a write in
// progress may hold.
func (o *OpenJob) dropUnconfirmed(drop func(crash.Row) bool) {
	o.Unconfirmed = slices.DeleteFunc(slices.Clone(o.Unconfirmed), drop)
}

// DropCrashes removes the crashes of an upstream's life that was not lost after all.
func (o *OpenJob) DropCrashes(r fleet.Refutation) {
	refuted := func(c crash.Row) bool { return c.ID == r.Life.ID && c.Born == r.Life.Born && c.Loss <= r.UpTo }
	o.Crashes = slices.DeleteFunc(slices.Clone(o.Crashes), refuted)
	o.dropUnconfirmed(refuted)
}

// CrashesOf lists the crashes of the job's tasks. id is the job's id, which is not part of the stored rows.
func (o *OpenJob) CrashesOf(id job.ID) []fleet.Crash { return decodeCrashes(id, o.Crashes) }

// UnconfirmedOf lists the unconfirmed crashes of the job's tasks. id is the job's id, which is not part of the stored rows.
func (o *OpenJob) UnconfirmedOf(id job.ID) []fleet.Crash { return decodeCrashes(id, o.Unconfirmed) }

// decodeCrashes decodes crashes of a job's tasks.
func decodeCrashes(id job.ID, all []crash.Row) []fleet.Crash {
	var out []fleet.Crash
	for _, c := range all {
		out = append(out, c.Crash(id))
	}
	return out
}
