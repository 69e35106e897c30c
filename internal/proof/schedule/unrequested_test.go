package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/job"
)

const (
	// watchInterval is the pause between two checks of what runs.
	watchInterval = 100 * time.Millisecond
	// faultsEnd is when all faults are over: they begin within activePeriod and last up to six seconds.
	faultsEnd = activePeriod + 8*time.Second
	// cancelledRunBound is how long a task of a cancelled job may run on. It counts from the latest of three moments: the
	// cancellation, the start of the run, which an upstream may carry out late, and the end of the faults. The platform
	// allows contact_ms for the late start.
	cancelledRunBound = 3 * time.Second
)

// checkpointOf returns what a task's runs save as their checkpoint.
func checkpointOf(t job.TaskID) string { return "saved by " + t.String() }

// checkRequested checks that a start is for a task that a caller has sent, with its text, and from no other task's
// checkpoint.
func (u *simUpstream) checkRequested(c call.Start) {
	s := u.w.jobs[c.Task.Job]
	switch {
	case s == nil || c.Task.Step != 0 || int(c.Task.Index) >= len(s.tasks):
		u.w.violate("%s is told to start %v, which nobody has sent", u.id, c.Task)
	case c.Spec != s.spec.Text:
		u.w.violate("%s is told to start %v with the text %q, its caller has sent %q", u.id, c.Task, c.Spec, s.spec.Text)
	case c.Checkpoint != "" && c.Checkpoint != checkpointOf(c.Task):
		u.w.violate("%s is told to start %v from what was %s", u.id, c.Task, c.Checkpoint)
	}
}

// watchCancelled checks repeatedly that no task of a cancelled job runs on.
func (w *world) watchCancelled() {
	for _, a := range w.agents {
		if !a.upstream.up {
			continue
		}
		for _, r := range a.upstream.runs { // the random order affects only which violation is reported
			w.checkNotCancelled(r)
		}
	}
	w.After(watchInterval, w.watchCancelled)
}

// checkNotCancelled checks that a run does not outlast the cancellation of its job by more than cancelledRunBound.
func (w *world) checkNotCancelled(r *simRun) {
	cancelled := w.jobs[r.task.Job].cancelledAt
	if cancelled.IsZero() {
		return
	}
	since := w.Elapsed()
	for _, from := range []time.Time{cancelled, r.startedAt} {
		since = min(since, w.Now().Sub(from))
	}
	if since = min(since, w.Elapsed()-faultsEnd); since > cancelledRunBound {
		w.violate("%v runs on though its job was cancelled %v ago", r.task, w.Now().Sub(cancelled))
	}
}

// planRemoval removes a VM permanently in every fifth schedule: an entry's or an agent's, while others of its kind stay. It
// has a random source of its own, so that all other draws of a seed stay as they were when its schedule was traced.
func (w *world) planRemoval(seed uint64) {
	if seed%5 != 4 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	at := time.Duration(rng.Int64N(int64(activePeriod)))
	power, entry := rng.IntN(2) == 0, rng.IntN(2) == 0
	w.After(at, func() {
		if entry {
			w.endEntry(w.entries[0], power, forever)
			return
		}
		w.endAgent(w.agents[0], power, forever)
	})
}

// forever is longer than any schedule.
const forever = time.Hour

// submitLong sends a job of one task of ten seconds, so that the agent extends its upstream's lease.
func (w *world) submitLong() {
	s := &submission{w: w, id: 1, first: w.Now(), patience: time.Minute, tasks: []simTask{{work: 10 * time.Second}}}
	s.spec = &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: need, Estimate: 10 * time.Second}}}
	w.jobs[s.id], w.order = s, append(w.order, s)
	s.send()
}

// TestLateStartOfCancelledJob guards against a run that nobody stops: an upstream starts a task late, after its job was
// cancelled and after the agent forgot the order. The agent must stop the run. If the agent was removed permanently, the
// lapse of the upstream's lease must end the run.
func TestLateStartOfCancelledJob(t *testing.T) {
	for _, test := range []struct {
		name    string
		removed bool
	}{{"its agent lives", false}, {"its agent is removed", true}} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(1, nil)
			w.build(1, 1)
			w.run(time.Second)
			w.submitLong()
			w.run(1200 * time.Millisecond)
			s := &submission{w: w, id: 100, attempts: []*attempt{{}}, tasks: []simTask{{work: time.Hour}}, cancelledAt: w.Now()}
			w.jobs[s.id], w.order = s, append(w.order, s)
			u := w.agents[0].upstream
			stray := job.TaskID{Job: s.id}
			u.extendLease(u.clock() + call.Clock(timing.Lease))
			u.beginRun(stray, 1)
			qt.Assert(t, u.runs, qt.HasLen, 2)
			if test.removed {
				w.endAgent(w.agents[0], true, forever)
			}
			w.run(2200 * time.Millisecond)
			qt.Assert(t, u.runs[stray], qt.IsNil)
			qt.Assert(t, len(u.runs) == 1, qt.Equals, !test.removed)
			qt.Assert(t, w.violation, qt.Equals, "")
		})
	}
}
