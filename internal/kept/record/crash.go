package record

import (
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// maxCrashes bounds the crashes that are stored with a job. Far fewer are enough to decide whether a task of the job crashes
// upstreams.
const maxCrashes = 64

// AddCrash adds a crash to a job's progress. If there are maxCrashes already, it removes the oldest one.
func (o *OpenJob) AddCrash(c fleet.Crash) {
	if len(o.Crashes) >= maxCrashes {
		o.Crashes = o.Crashes[1:]
	}
	o.Crashes = append(o.Crashes[:len(o.Crashes):len(o.Crashes)], crash.NewRow(c))
}

// DropCrashes removes the crashes of an upstream's life that was not lost after all.
func (o *OpenJob) DropCrashes(r fleet.Refutation) {
	var rest []crash.Row
	for _, c := range o.Crashes {
		if c.ID != r.Life.ID || c.Born != r.Life.Born || c.Loss > r.UpTo {
			rest = append(rest, c)
		}
	}
	o.Crashes = rest
}

// CrashesOf lists the crashes of the job's tasks. id is the job's id, which is not part of the stored rows.
func (o *OpenJob) CrashesOf(id job.ID) []fleet.Crash {
	var out []fleet.Crash
	for _, c := range o.Crashes {
		out = append(out, c.Crash(id))
	}
	return out
}
