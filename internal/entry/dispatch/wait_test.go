package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// measureWait returns how long a job of 200 ms, whose objective is 420 ms, waits for capacity until it is refused.
func (b *harness) measureWait(id job.ID) time.Duration {
	c, from := dispatch.CallerID(id), b.now
	b.submit(id, c, 1, 200*time.Millisecond, time.Minute)
	for b.answers[c].State == "" && b.now.Sub(from) < time.Second {
		b.now = b.now.Add(time.Millisecond)
		b.table.Tick(b.now)
	}
	qt.Assert(b.t, b.answers[c].Reason, qt.Equals, verdict.Overloaded)
	return b.now.Sub(from)
}

// serve submits and completes jobs, each within a millisecond.
func (b *harness) serve(first job.ID, n int) {
	b.room(1, fleet.Ready, 2000, uint64(len(b.orders)))
	for i := range n {
		b.submit(first+job.ID(i), 0, 1, 200*time.Millisecond, time.Minute)
		b.now = b.now.Add(time.Millisecond)
		b.end(b.orders[len(b.orders)-1], 0, job.Done, "")
		b.room(1, fleet.Ready, 2000, uint64(len(b.orders)))
	}
	b.room(1, fleet.Ready, 0, uint64(len(b.orders)))
}

// TestPatienceUnderPressure: jobs wait for one fourth of their objective while none are refused. The wait decreases in
// proportion to the fraction of recently refused jobs, down to 25 ms at one tenth. It is back at one fourth after some time
// without refusals.
func TestPatienceUnderPressure(t *testing.T) {
	const quarter, pressed = 105 * time.Millisecond, 25 * time.Millisecond
	b := newHarness(t, 1)
	between := func(least, most time.Duration) {
		t.Helper()
		got := b.measureWait(job.ID(1_000_000 + b.now.UnixNano()))
		qt.Assert(t, got > least && got <= most, qt.IsTrue, qt.Commentf("waited %v, want %v to %v", got, least, most))
	}
	b.serve(1, 100)
	between(quarter, quarter+2*time.Millisecond)
	between(pressed+10*time.Millisecond, quarter-5*time.Millisecond) // one of 100 jobs was refused
	for b.now.Before(time.Unix(1002, 0)) {
		b.measureWait(job.ID(b.now.UnixNano()))
	}
	between(pressed, pressed+2*time.Millisecond)
	b.pass(30 * time.Second)
	b.serve(1000, 20)
	between(quarter-5*time.Millisecond, quarter+2*time.Millisecond)
}

// TestPatienceOfKeptJobs: a kept job is not refused for lack of capacity, and pressure does not move it behind other jobs
// sooner.
func TestPatienceOfKeptJobs(t *testing.T) {
	b := newHarness(t, 1)
	b.table.SetKeeper(noKeeper{})
	b.room(1, fleet.Ready, 0, 0)
	for i := range 20 {
		b.measureWait(job.ID(100 + i))
	}
	b.table.Submit(b.now, dispatch.Request{
		Job: 2, Route: queue, Kept: &dispatch.KeptState{},
		Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: 200 * time.Millisecond}}},
	})
	b.pass(60 * time.Millisecond)
	b.submit(3, 3, 1, 200*time.Millisecond, time.Minute)
	b.room(1, fleet.Ready, 1000, 0)
	// The kept job has waited longer and still counts as one that can be in time, so it is placed first.
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.orders[0].Job, qt.Equals, job.ID(2))
}

// TestWideJobsGoEarlier: of jobs submitted at about the same time, the one with more tasks is placed first, because it is
// as late as its last task. The lead is limited to one fourth of its objective.
func TestWideJobsGoEarlier(t *testing.T) {
	for _, test := range []struct {
		name string
		// after is how much later the wide job is submitted.
		after time.Duration
		want  job.ID
	}{
		{"at the same time", 0, 2}, {"a little later", 25 * time.Millisecond, 2}, {"much later", 60 * time.Millisecond, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.room(1, fleet.Ready, 0, 0)
			b.submit(1, 1, 1, 200*time.Millisecond, time.Minute)
			b.now = b.now.Add(test.after)
			b.submit(2, 2, 12, 200*time.Millisecond, time.Minute)
			b.room(1, fleet.Ready, 1000, 0)
			qt.Assert(t, b.orders, qt.HasLen, 1)
			qt.Assert(t, b.orders[0].Job, qt.Equals, test.want)
		})
	}
}

// TestRefusalTellsTheRoom: the summary of a refused job distinguishes overload from capacity that could not be used.
func TestRefusalTellsTheRoom(t *testing.T) {
	b := newHarness(t, 3)
	b.room(1, fleet.Ready, 900, 0)
	b.room(2, fleet.Ready, 0, 0)
	b.room(3, fleet.Leaving, 2000, 0)
	b.submit(1, 1, 2, 200*time.Millisecond, time.Minute)
	b.pass(200 * time.Millisecond)
	qt.Assert(t, b.answers[1].Reason, qt.Equals, verdict.Overloaded)
	qt.Assert(t, b.summaries[1].RefusedBy, qt.Equals, dispatch.RefusedAfterWait)
	qt.Assert(t, b.summaries[1].Room, qt.Equals, dispatch.RoomLeft{TaskCPU: 1000, Tasks: 2, Ready: 2, Fits: 0})
}

// TestRefusedBy: a job that comes while too many wait is refused at once, and the summaries tell this from a wait in vain.
func TestRefusedBy(t *testing.T) {
	const maxQueue = 10
	b := newHarness(t, 1)
	b.room(1, fleet.Ready, 0, 0)
	for i := range job.ID(maxQueue + 1) {
		b.submit(i+1, dispatch.CallerID(i+1), 1, 200*time.Millisecond, time.Minute)
	}
	qt.Assert(t, b.answers, qt.HasLen, 1)
	qt.Assert(t, b.summaries[maxQueue+1].RefusedBy, qt.Equals, dispatch.RefusedQueueFull)
	b.pass(140 * time.Millisecond)
	qt.Assert(t, b.answers, qt.HasLen, maxQueue+1)
	qt.Assert(t, b.summaries[1].RefusedBy, qt.Equals, dispatch.RefusedAfterWait)
}

// Answered records the summary of an answer.
func (b *harness) Answered(id job.ID, _ *route.Route, _ dispatch.Answer, s dispatch.Summary) {
	if b.summaries == nil {
		b.summaries = make(map[job.ID]dispatch.Summary)
	}
	b.summaries[id] = s
}

// noKeeper is a Keeper that does nothing.
type noKeeper struct{}

func (noKeeper) RunEnded(time.Time, ident.Incarnation, fleet.End)                        {}
func (noKeeper) Crashed(time.Time, fleet.Crash)                                          {}
func (noKeeper) Refuted(time.Time, fleet.Refutation)                                     {}
func (noKeeper) KeepUnconfirmed(time.Time, job.TaskID, []fleet.Crash, []fleet.Bystander) {}
func (noKeeper) RunLost(time.Time, fleet.RunRef)                                         {}
func (noKeeper) JobEnded(time.Time, job.ID, dispatch.Answer)                             {}
func (noKeeper) Superseded(time.Time, job.ID)                                            {}
