package world

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/load/plan"
)

// simUpstream is a simulated upstream, whose tasks run for the time that was drawn for their job.
type simUpstream struct {
	a    *agent
	w    *World
	kind *plan.Upstream
	// rack is the label of the upstream's rack; it is empty if there are no racks.
	rack job.Label
	up   bool
	life int
	// idCount is the number of ids that the upstream has had; it is part of the id.
	idCount int
	id      ident.UpstreamID
	born    time.Time
	token   call.Token
	runs    map[job.TaskID]*simRun
	// usedCPU is what runs use, in thousandths of a core.
	usedCPU      int64
	ends         []call.Finished
	lastEnd      uint64
	heartbeatSeq uint64
	// waiters answer the holds that wait for the end of a run.
	waiters []func()
	// slowFactor multiplies the run time of tasks that start now. While hang is set, tasks that start never end; while fail is
	// set, they fail after a millisecond.
	slowFactor float64
	hang, fail bool
}

// simRun is a run of a task at a simulated upstream.
type simRun struct {
	task      job.TaskID
	run       job.Run
	startedAt time.Time
	// duration is how long the task runs; zero means forever.
	duration time.Duration
	result   call.Result
	cores    float64
	cpu      int64
	stopping bool
}

// maxStopTime is the longest time that a run continues after a stop: the platform's stop_ms.
const maxStopTime = 50 * time.Millisecond

// heartbeatInterval is the time between two heartbeats of an upstream.
const heartbeatInterval = 500 * time.Millisecond

func (u *simUpstream) startLife() {
	u.life++
	u.up, u.born, u.id = true, u.w.Now(), ident.UpstreamID(fmt.Sprintf("%s-%d", u.a.name, u.idCount))
	u.runs, u.ends, u.waiters = make(map[job.TaskID]*simRun), nil, nil
	u.lastEnd, u.heartbeatSeq, u.token = 0, 0, 0
	u.sendHeartbeats(u.life)
}

// crash ends the upstream's life and all its runs. The work of the runs is counted as wasted.
func (u *simUpstream) crash() {
	u.up = false
	for _, r := range u.runs {
		u.w.result.Wasted += r.cores * u.w.Now().Sub(r.startedAt).Seconds()
	}
	u.runs, u.usedCPU = nil, 0
}

// restart crashes the upstream, and starts it again under the same id after down.
func (u *simUpstream) restart(down time.Duration) {
	u.crash()
	u.w.After(down, func() {
		if !u.up && u.a.alive {
			u.startLife()
		}
	})
}

// bornMillis returns when the present life began, as the upstream reports it.
func (u *simUpstream) bornMillis() ident.Born { return ident.Born(u.born.UnixMilli()) }

func (u *simUpstream) clock() call.Clock { return call.Clock(u.w.Now().Sub(u.born)) }

// sendHeartbeats sends a heartbeat now, and further ones until the life with the given number ends.
func (u *simUpstream) sendHeartbeats(life int) {
	if u.life != life || !u.up {
		return
	}
	u.heartbeatSeq++
	var labels []job.Label
	if u.rack != "" {
		labels = []job.Label{u.rack}
	}
	total := job.Resources{CPU: int64(u.kind.Cores * milli), Mem: 1 << 30}
	u.a.controller.Heartbeat(u.w.Now(), lives.Heartbeat{
		Upstream: fleet.Upstream{ID: u.id, Service: service, Labels: labels, Total: total}, Born: u.bornMillis(), Sequence: u.heartbeatSeq, Clock: u.clock(),
	})
	u.w.After(heartbeatInterval, func() { u.sendHeartbeats(life) })
}

// start handles a call to start a run.
func (u *simUpstream) start(c call.Start) call.Answer {
	if a := u.checkHeader(c.Header); a != call.OK {
		return a
	}
	s := u.w.result.jobs[c.Task.Job]
	away := u.remoteFactor(s.spec.Steps[c.Task.Step].Prefers)
	r := &simRun{
		task: c.Task, run: c.Run, startedAt: u.w.Now(), result: call.ResultDone, cores: s.cores, cpu: s.spec.Steps[c.Task.Step].Each.CPU,
		duration: time.Duration(float64(s.taskTimes[c.Task.Index]) * u.kind.Slowness * u.slowFactor * away),
	}
	switch {
	case u.fail:
		r.result, r.duration = call.ResultFailed, time.Millisecond
	case u.hang:
		r.duration = 0
	}
	if replaced := u.runs[c.Task]; replaced != nil {
		u.usedCPU -= replaced.cpu
	}
	u.runs[c.Task] = r
	u.usedCPU += r.cpu
	if r.duration > 0 {
		u.w.After(r.duration, func() { u.finish(r, r.result) })
	}
	return call.OK
}

// checkHeader checks a call's upstream id and fencing token, and records the token.
func (u *simUpstream) checkHeader(h call.Header) call.Answer {
	switch {
	case !u.up:
		return call.Unanswered
	case h.Instance != u.id:
		return call.WrongInstance
	case h.Token < u.token:
		return call.Fenced
	}
	u.token = h.Token
	return call.OK
}

// stop handles a call to stop a run. The run ends after a random time of up to maxStopTime.
func (u *simUpstream) stop(c call.Stop) call.Answer {
	if a := u.checkHeader(c.Header); a != call.OK {
		return a
	}
	if r := u.runs[c.Task]; r != nil && r.run <= c.Run && !r.stopping {
		r.stopping = true
		u.w.After(time.Duration(u.w.rng.Int64N(int64(maxStopTime))), func() { u.finish(r, call.ResultStopped) })
	}
	return call.OK
}

// finish ends a run and answers the waiting holds. It does nothing if the run has already ended or its upstream has crashed.
func (u *simUpstream) finish(r *simRun, result call.Result) {
	if !u.up || u.runs[r.task] != r {
		return
	}
	delete(u.runs, r.task)
	u.usedCPU -= r.cpu
	work := r.cores * u.w.Now().Sub(r.startedAt).Seconds()
	u.w.result.Used += work
	if result != call.ResultDone {
		u.w.result.Wasted += work
	}
	u.lastEnd++
	u.ends = append(u.ends, call.Finished{Number: u.lastEnd, Task: r.task, Run: r.run, Result: result})
	waiters := u.waiters
	u.waiters = nil
	for _, answer := range waiters {
		answer()
	}
}

// hold handles a hold. It calls answer once a run has ended that the caller does not know of, or after c.Wait.
func (u *simUpstream) hold(c call.Hold, answer func(call.HoldResult)) {
	if a := u.checkHeader(c.Header); a != call.OK {
		answer(call.HoldResult{Answer: a, Clock: u.clock()})
		return
	}
	for len(u.ends) > 0 && u.ends[0].Number <= c.Seen {
		u.ends = u.ends[1:]
	}
	if len(u.ends) > 0 || c.Wait == 0 {
		answer(u.holdResult())
		return
	}
	answered, life := false, u.life
	reply := func() {
		if !answered && u.up && u.life == life {
			answered = true
			answer(u.holdResult())
		}
	}
	u.waiters = append(u.waiters, reply)
	u.w.After(c.Wait, reply)
}

// holdResult returns the runs in progress and the ends that are not yet confirmed.
func (u *simUpstream) holdResult() call.HoldResult {
	h := call.HoldResult{Answer: call.OK, Clock: u.clock(), Born: u.bornMillis(), Finished: slices.Clone(u.ends)}
	for _, r := range u.runs {
		percent := 0
		if r.duration > 0 {
			percent = min(int(100*u.w.Now().Sub(r.startedAt)/r.duration), 99)
		}
		h.Running = append(h.Running, call.Running{Task: r.task, Run: r.run, Percent: percent})
	}
	slices.SortFunc(h.Running, func(a, b call.Running) int { return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Run, b.Run)) })
	return h
}
