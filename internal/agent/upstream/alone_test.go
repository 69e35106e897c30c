package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// orderAlone orders a task of another job that is to be started alone.
func (b *harness) orderAlone(e ident.Incarnation, alone time.Duration) fleet.OrderedRun {
	b.seq++
	const suspect = job.ID(9)
	b.manager.Order(b.now, e, fleet.Order{
		Seq: b.seq, Job: suspect, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1, ID: 5, AloneFor: alone}},
	})
	b.manager.Flush(b.now)
	return fleet.OrderedRun{RunRef: fleet.RunRef{Task: job.TaskID{Job: suspect}, Run: 1}, ID: 5}
}

// tick lets time pass by a tick, in which the entries are heard and all holds are answered.
func (b *harness) tick(running ...call.Running) {
	b.pass(20 * time.Millisecond)
	for _, e := range []ident.Incarnation{one, two} {
		b.manager.Ping(b.now, e, b.rooms[e].Clock, 0)
	}
	b.answerHolds(running...)
	b.manager.Tick(b.now)
	b.manager.Flush(b.now)
	b.answerHolds(running...)
	b.manager.Flush(b.now)
}

// TestAlone: a task is started alone once the others have ended, nothing starts beside it, and a while after its start others may.
func TestTaskIsStartedAlone(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	first := b.starts[0]
	b.manager.StartDone(b.now, first, call.OK, b.clock())
	b.orderAlone(two, 200*time.Millisecond)
	qt.Assert(t, b.starts, qt.HasLen, 1)
	b.order(two, 2) // the same task as the one that runs waits for its end, and is refused then: room is closed
	for range 3 {
		b.tick(call.Running{Task: task, Run: 1})
	}
	qt.Assert(t, b.rooms[one].Free, qt.Equals, job.Resources{})
	qt.Assert(t, b.starts, qt.HasLen, 1)
	b.tick() // the run has ended
	for range 2 {
		b.tick()
	}
	qt.Assert(t, b.starts, qt.HasLen, 2)
	qt.Assert(t, b.starts[1].Task.Job, qt.Equals, job.ID(9))
	qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.NoRoom)
	b.manager.StartDone(b.now, b.starts[1], call.OK, b.clock())
	b.order(one, 3)
	qt.Assert(t, b.starts, qt.HasLen, 2)
	for range 11 {
		b.tick(call.Running{Task: b.starts[1].Task, Run: 1})
	}
	qt.Assert(t, b.rooms[one].Free, qt.Equals, job.Resources{CPU: 1000})
	b.order(one, 4)
	qt.Assert(t, b.starts, qt.HasLen, 3)
}

// TestAloneIsWatched: while a task is alone one look follows the other, each answered after a short wait, so that its age at a loss is
// known; one that was answered at once is followed at the next tick only.
func TestAloneIsWatched(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		looks int
	}{
		{"after its wait", 9 * time.Millisecond, 1},
		{"at once, since the upstream remembers ends", time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.orderAlone(one, 200*time.Millisecond)
			b.pass(time.Millisecond)
			b.answerHolds()
			b.manager.Flush(b.now)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
			b.manager.Tick(b.now)
			look := b.holds[len(b.holds)-1]
			qt.Assert(t, look.Poll, qt.IsTrue)
			qt.Assert(t, look.Wait > 0 && look.Wait <= 10*time.Millisecond, qt.IsTrue)
			before := len(b.holds)
			look.Sent = b.now
			b.pass(c.after)
			b.manager.HoldDone(b.now, look, call.HoldResult{Answer: call.OK, Clock: b.clock(), Running: []call.Running{{Task: b.starts[0].Task, Run: 1}}})
			qt.Assert(t, len(b.holds)-before, qt.Equals, c.looks)
		})
	}
}

// TestAloneBesideLongRuns: the end of long runs is not waited for, so that work goes on.
func TestAloneBesideLongRuns(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.orderAlone(two, 200*time.Millisecond)
	for range 15 {
		b.tick(call.Running{Task: task, Run: 1})
	}
	qt.Assert(t, b.starts, qt.HasLen, 2)
}

// TestAloneIsGivenUp: an order that waits to be started alone goes with whoever wants it, and its entry is told.
func TestAloneIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *harness, waits fleet.OrderedRun)
		want fleet.Reason
	}{
		{"stopped", func(b *harness, w fleet.OrderedRun) { b.manager.StopTask(b.now, two, w, fleet.OnRequest) }, fleet.NotListed},
		{"its job is taken over", func(b *harness, w fleet.OrderedRun) { b.manager.QueryEnds(b.now, one, 1, []job.ID{w.Task.Job}) }, fleet.Superseded},
		{"the upstream leaves", func(b *harness, _ fleet.OrderedRun) {
			b.manager.Heartbeat(b.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 2, Draining: true})
		}, fleet.NotAccepting},
		{"the entry is silent", func(b *harness, _ fleet.OrderedRun) {
			b.pass(500 * time.Millisecond)
			b.manager.Tick(b.now)
		}, fleet.StaleSession},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			waits := b.orderAlone(two, 200*time.Millisecond)
			c.do(b, waits)
			b.manager.Flush(b.now)
			qt.Assert(t, b.starts, qt.HasLen, 1)
			qt.Assert(t, b.ends[two], qt.HasLen, 1)
			qt.Assert(t, b.ends[two][0].Reason, qt.Equals, c.want)
			qt.Assert(t, b.ends[two][0].ID, qt.Equals, waits.ID)
		})
	}
}

// TestLossIsTold: what ran at a lost upstream is told with its age when the upstream was last heard, and refuted if that answers after all.
func TestLossIsReported(t *testing.T) {
	b := newHarness(t, nil)
	b.orderAlone(one, 200*time.Millisecond)
	b.pass(time.Millisecond)
	b.answerHolds()
	b.manager.Flush(b.now)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	listed := call.Running{Task: b.starts[0].Task, Run: 1}
	b.tick(listed)
	b.lose()
	qt.Assert(t, b.losses, qt.HasLen, 2) // by the observer and by the entries
	l := b.losses[0]
	qt.Assert(t, l.Planned, qt.IsFalse)
	qt.Assert(t, l.Runs, qt.HasLen, 1)
	qt.Assert(t, l.Runs[0].Alone, qt.IsTrue)
	qt.Assert(t, l.Runs[0].Age, qt.Equals, 20*time.Millisecond)
	qt.Assert(t, l.Crashes("vm"), qt.DeepEquals, []fleet.Crash{{
		Task: listed.Task, VM: "vm", Life: ident.UpstreamLife{ID: "u-1"}, Loss: l.Number, Age: 20 * time.Millisecond, Alone: true, OnlyTask: true,
	}})
	qt.Assert(t, b.refuted, qt.HasLen, 0)
	b.pass(time.Second)
	b.manager.Tick(b.now)
	b.answerHolds()
	qt.Assert(t, b.refuted, qt.DeepEquals, []fleet.Refutation{{Life: l.Life, UpTo: l.Number}})
}

// TestOrderedAfterTheLoss: a task that was ordered when an answer was overdue already was not there when its upstream was lost. Seen: it counted
// as one that was lost at its start, was started alone and, with one true crash and one of another cause, called failed.
func TestOrderedAfterTheLoss(t *testing.T) {
	for _, c := range []struct {
		silent time.Duration
		lost   int
	}{
		{0, 2},
		{50 * time.Millisecond, 2},
		{90 * time.Millisecond, 1},
		{200 * time.Millisecond, 1},
	} {
		b := newHarness(t, nil)
		b.order(one, 1)
		b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
		b.answerHolds(call.Running{Task: task, Run: 1})
		b.pass(c.silent)
		b.orderBeside(two, 1)
		qt.Assert(t, b.starts, qt.HasLen, 2)
		b.lose()
		qt.Assert(t, b.losses, qt.HasLen, 2) // by the observer and by the entries
		qt.Assert(t, b.losses[0].Crashes("vm"), qt.HasLen, c.lost, qt.Commentf("%v", c.silent))
	}
}

// TestPlannedLossSaysNothing: an upstream that has said that it leaves has not crashed.
func TestPlannedLossReportsNoCrash(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.manager.Heartbeat(b.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 2, Draining: true})
	b.lose()
	qt.Assert(t, b.losses[0].Planned, qt.IsTrue)
	qt.Assert(t, b.losses[0].Crashes("vm"), qt.HasLen, 0)
}

// lose lets the upstream answer nothing until the lease has lapsed.
func (b *harness) lose() {
	for range 60 {
		b.pass(10 * time.Millisecond)
		for _, e := range []ident.Incarnation{one, two} {
			b.manager.Ping(b.now, e, b.rooms[e].Clock, 0)
		}
		waiting := b.holds[b.answered:]
		b.answered = len(b.holds)
		for _, c := range waiting {
			b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.Unanswered})
		}
		b.manager.Tick(b.now)
		b.manager.Flush(b.now)
	}
}

// TestAgeAfterStandstill guards against crashes that count for nothing: an answer that came while the agent stood still does not say that its
// upstream lived until the agent woke, so that a run's age at a loss is not known too high.
func TestAgeAfterStandstill(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	runs := call.Running{Task: task, Run: 1}
	b.pass(20 * time.Millisecond)
	b.answerHolds(runs)
	b.pass(2 * time.Second) // the upstream answers the hold that is under way, and is lost
	b.answerHolds(runs)
	for range 20 {
		b.pass(100 * time.Millisecond)
		waiting := b.holds[b.answered:]
		b.answered = len(b.holds)
		for _, c := range waiting {
			b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.Unanswered})
		}
		b.manager.Tick(b.now)
	}
	qt.Assert(t, b.losses, qt.HasLen, 2) // by the observer and by the entries
	run := b.losses[0].Runs[0]
	qt.Assert(t, run.Age, qt.Equals, 20*time.Millisecond)
	qt.Assert(t, run.MaxAge, qt.Equals, 2020*time.Millisecond)
	qt.Assert(t, run.Alone, qt.IsFalse)
}
