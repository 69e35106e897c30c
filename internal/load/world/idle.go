package world

import (
	"time"

	"hillreel/internal/core/job"
)

// idleInterval is the time between two samples of the room that stands idle. It is short against the run time of a task.
const idleInterval = 10 * time.Millisecond

// Idle tells how much room of the upstreams stood idle, by samples of one second of the load.
type Idle struct {
	samples int
	// idle is the sum of the samples, each of which is the share of the room of all upstreams that are up.
	idle float64
}

// Share returns the share of the room that stood idle.
func (i *Idle) Share() float64 {
	if i.samples == 0 {
		return 0
	}
	return i.idle / float64(i.samples)
}

// sampleIdle samples the idle room now and periodically until callers stop to send jobs.
func (w *World) sampleIdle() {
	if w.elapsed() >= w.plan.Length {
		return
	}
	var free, total int64
	for _, a := range w.agents {
		if a.alive && a.up.up {
			free, total = free+a.up.freeCPU(), total+a.up.totalCPU()
		}
	}
	if total > 0 {
		s := &w.result.IdleSeconds[int(w.elapsed()/time.Second)]
		s.samples++
		s.idle += float64(free) / float64(total)
	}
	w.After(idleInterval, w.sampleIdle)
}

// countRefused counts a job that an entry refuses, and whether the upstreams have room for all its tasks at this moment.
func (w *World) countRefused(s *submission) {
	if !s.counted {
		return
	}
	w.result.Refusals++
	step := &s.spec.Steps[0]
	var fits int64
	for _, a := range w.agents {
		if a.alive && a.up.up {
			fits += a.up.fits(step)
		}
	}
	if fits >= int64(step.Count) {
		w.result.RefusedBesideRoom++
	}
}

func (u *simUpstream) totalCPU() int64 { return int64(u.kind.Cores * milli) }

func (u *simUpstream) freeCPU() int64 { return u.totalCPU() - u.usedCPU }

// fits returns how many more tasks of a step the upstream has room for.
func (u *simUpstream) fits(step *job.Step) int64 {
	if step.Each.CPU == 0 {
		return int64(step.Count)
	}
	return max(u.freeCPU()/step.Each.CPU, 0)
}

// IdleWhileRefusing returns the number of seconds in which jobs were sent that were refused, and the share of the room that stood idle
// in them.
func (r *Result) IdleWhileRefusing() (seconds int, share float64) {
	var sum Idle
	for i, t := range r.Seconds {
		if t.Refused > 0 {
			seconds++
			sum.samples += r.IdleSeconds[i].samples
			sum.idle += r.IdleSeconds[i].idle
		}
	}
	return seconds, sum.Share()
}
