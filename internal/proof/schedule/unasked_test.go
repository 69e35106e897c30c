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
	// watchEvery is the pause between two looks at what runs.
	watchInterval = 100 * time.Millisecond
	// calm is from when on nothing goes wrong any more: faults begin while jobs come and last up to six seconds.
	faultsEnd = activePeriod + 8*time.Second
	// unaskedFor is how long a task of a cancelled job may run on: counted from the latest of the cancellation, its own start,
	// which an upstream may be late with, and the end of the faults. The platform allows contact_ms for the late start.
	cancelledRunBound = 3 * time.Second
)

// checkpointOf is what a task's runs save.
func checkpointOf(t job.TaskID) string { return "saved by " + t.String() }

// checkAsked checks that a start is of a task that a caller has sent, with its text, and from no other task's checkpoint.
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

// watchCancelled looks again and again whether a task runs on whose job was cancelled.
func (w *world) watchCancelled() {
	for _, a := range w.agents {
		if !a.upstream.up {
			continue
		}
		for _, r := range a.upstream.runs { // in no order, which matters to nothing but the words of a failure
			w.checkNotCancelled(r)
		}
	}
	w.After(watchInterval, w.watchCancelled)
}

// checkWanted checks one run.
func (w *world) checkNotCancelled(r *simRun) {
	cancelled := w.jobs[r.task.Job].cancelledAt
	if cancelled.IsZero() {
		return
	}
	since := w.Since()
	for _, from := range []time.Time{cancelled, r.startedAt} {
		since = min(since, w.Now().Sub(from))
	}
	if since = min(since, w.Since()-faultsEnd); since > cancelledRunBound {
		w.violate("%v runs on though its job was cancelled %v ago", r.task, w.Now().Sub(cancelled))
	}
}

// removeSome lets a VM go for good, in every fifth schedule: an entry or an agent, while others of its kind stay. It draws by
// itself, so that all other draws of a seed are what they were when its schedule was traced.
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

// never is later than the end of a schedule.
const forever = time.Hour

// submitLong sends a job of one task of ten seconds, so that the agent extends its upstream's lease.
func (w *world) submitLong() {
	s := &submission{w: w, id: 1, first: w.Now(), patience: time.Minute, tasks: []simTask{{work: 10 * time.Second}}}
	s.spec = &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: need, Estimate: 10 * time.Second}}}
	w.jobs[s.id], w.order = s, append(w.order, s)
	s.send()
}

// TestLateStartOfCancelledJob: an upstream starts a task late, whose job was cancelled meanwhile and whose agent knows nothing of
// the order any more: the run is stopped all the same. And when the agent has been removed for good, its lease ends it.
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
