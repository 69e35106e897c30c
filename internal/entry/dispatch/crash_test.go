package dispatch_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// newVMs returns a harness whose agents each have a VM of their own, with the agent's id as its name.
func newVMs(t *testing.T, n int) *harness {
	b := newHarness(t, 0)
	for i := 1; i <= n; i++ {
		id := ident.Incarnation(i)
		b.table.HandleLinked(b.now, id, ident.UpstreamName(id.String()), "z")
		b.table.HandleUpstream(b.now, id, fleet.Upstream{ID: ident.UpstreamID(id.String()), Service: "publish", Total: job.Resources{CPU: 2000}})
		b.room(id, fleet.Ready, 2000, 0)
	}
	return b
}

// loseUpstream reports the loss of an order's upstream, and then ends the order's runs as lost.
func (b *harness) loseUpstream(o order, age time.Duration) {
	var lost []fleet.Crash
	for i, t := range o.Tasks {
		lost = append(lost, fleet.Crash{
			Task: o.Task(i), VM: ident.UpstreamName(o.agent.String()), Life: ident.UpstreamLife{ID: ident.UpstreamID(o.agent.String())},
			Loss: 1, Age: age, Alone: t.AloneFor > 0, OnlyTask: t.AloneFor > 0 && len(o.Tasks) == 1,
		})
	}
	b.room(o.agent, fleet.Unreachable, 2000, o.Seq)
	b.table.HandleCrashes(b.now, lost)
	for i := range o.Tasks {
		b.end(o, i, job.Lost, fleet.LeaseLapsed)
	}
}

// TestTaskThatCrashesUpstreams: after the first loss the task is placed alone, each time at another upstream, and its job
// fails after the third loss. The job fails at once if it is resubmitted.
func TestTaskThatCrashesUpstreams(t *testing.T) {
	b := newVMs(t, 4)
	b.submit(1, 1, 1, time.Second, 10*time.Second)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.orders[0].Tasks[0].AloneFor, qt.Equals, time.Duration(0))
	for i := range 3 {
		qt.Assert(t, b.orders, qt.HasLen, i+1)
		b.loseUpstream(b.orders[i], 5*time.Millisecond)
		if i > 0 {
			qt.Assert(t, b.orders[i].Tasks[0].AloneFor > 0, qt.IsTrue)
			qt.Assert(t, b.orders[i].agent, qt.Not(qt.Equals), b.orders[i-1].agent)
		}
	}
	qt.Assert(t, b.answers[1].State, qt.Equals, verdict.Failed)
	qt.Assert(t, b.answers[1].Reason, qt.Equals, verdict.CrashesUpstreams)
	b.submit(1, 2, 1, time.Second, 10*time.Second)
	qt.Assert(t, b.answers[2].State, qt.Equals, verdict.Failed)
	qt.Assert(t, b.orders, qt.HasLen, 3)
}

// TestSoundTaskBesideOneThatCrashes: tasks that ran together when their upstream was lost are placed alone afterwards, and
// those that end well are done.
func TestSoundTaskBesideOneThatCrashes(t *testing.T) {
	b := newVMs(t, 3)
	b.submit(1, 1, 2, time.Second, 10*time.Second)
	first := b.orders
	if len(first) == 1 {
		b.loseUpstream(first[0], time.Millisecond)
	} else {
		b.loseUpstream(first[0], time.Millisecond)
		b.loseUpstream(first[1], time.Millisecond)
	}
	again := b.orders[len(first):]
	agents := make(map[ident.Incarnation]bool)
	for _, o := range again {
		qt.Assert(t, o.Tasks, qt.HasLen, 1)
		qt.Assert(t, o.Tasks[0].AloneFor > 0, qt.IsTrue)
		qt.Assert(t, agents[o.agent], qt.IsFalse)
		agents[o.agent] = true
		b.end(o, 0, job.Done, "")
		b.room(o.agent, fleet.Ready, 2000, o.Seq)
	}
	for _, o := range b.orders[len(first)+len(again):] {
		b.end(o, 0, job.Done, "")
	}
	qt.Assert(t, b.answers[1].State, qt.Equals, verdict.Complete)
}

// TestOldRunsAreNotSuspected: a task that had already run for a long time when its upstream was lost may share an upstream
// again.
func TestOldRunsAreNotSuspected(t *testing.T) {
	b := newVMs(t, 3)
	b.submit(1, 1, 1, time.Second, 10*time.Second)
	b.loseUpstream(b.orders[0], 700*time.Millisecond)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	qt.Assert(t, b.orders[1].Tasks[0].AloneFor, qt.Equals, time.Duration(0))
}

// TestNothingBesideASuspect: no other task is placed at an upstream where a suspected task is about to run alone.
func TestNothingBesideASuspect(t *testing.T) {
	b := newVMs(t, 2)
	b.submit(1, 1, 1, time.Second, 10*time.Second)
	lost := b.orders[0]
	b.loseUpstream(lost, time.Millisecond)
	suspect := b.orders[1]
	b.submit(2, 2, 1, time.Second, 10*time.Second)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	b.room(suspect.agent, fleet.Ready, 1000, suspect.Seq) // the suspected task is no longer alone
	qt.Assert(t, b.orders, qt.HasLen, 3)
}

// TestRefusalTellsOfClosedRoom: the summary of a refused job shows that upstreams were closed for a suspected task.
func TestRefusalTellsOfClosedRoom(t *testing.T) {
	b := newVMs(t, 2)
	b.submit(1, 1, 1, time.Second, 10*time.Second)
	b.loseUpstream(b.orders[0], time.Millisecond)
	qt.Assert(t, b.orders[1].Tasks[0].AloneFor > 0, qt.IsTrue)
	b.submit(2, 2, 1, 80*time.Millisecond, 10*time.Second)
	b.pass(100 * time.Millisecond)
	qt.Assert(t, b.answers[2].Reason, qt.Equals, verdict.Overloaded)
	qt.Assert(t, b.summaries[2].Room.Closed, qt.Equals, 1)
}

// TestLossOfAnAgentIsDecided: a run that was lost with its agent counts as lost with its upstream if another upstream
// appears on the VM, and does not count if the same one does.
func TestLossOfAnAgentIsDecided(t *testing.T) {
	for _, c := range []struct {
		name  string
		up    ident.UpstreamID
		alone bool
	}{
		{"another upstream", "other", true},
		{"the same upstream", "0000000000000001", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newVMs(t, 1)
			b.submit(1, 1, 1, time.Second, 10*time.Second)
			b.table.HandleUnlinked(b.now, 1)
			b.pass(timing.SettleAfter() + 40*time.Millisecond)
			b.table.HandleLinked(b.now, 2, "0000000000000001", "z")
			b.table.HandleUpstream(b.now, 2, fleet.Upstream{ID: c.up, Service: "publish", Total: job.Resources{CPU: 2000}})
			b.room(2, fleet.Ready, 2000, 0)
			qt.Assert(t, b.orders, qt.HasLen, 2)
			qt.Assert(t, b.orders[1].Tasks[0].AloneFor > 0, qt.Equals, c.alone)
		})
	}
}

// TestSuspectWaitsForAnotherVM guards against a task that crashes its upstreams late and is always restarted on the VM that
// is ready again first. This has happened five times in a row, and such restarts prove nothing. A task that was alone on a
// VM when the upstream was lost waits for an upstream on another VM, but only for a limited time.
func TestSuspectWaitsForAnotherVM(t *testing.T) {
	for _, c := range []struct {
		name string
		vms  int
		// wait is the time until the task's VM has another upstream. ready tells whether the other VM is ready again by then.
		wait  time.Duration
		ready bool
		// placed tells whether the task is started again, elsewhere whether that is on the other VM.
		placed, elsewhere bool
		// service is the other VM's service, or empty if it is the same.
		service ident.Service
	}{
		{"the other is not ready", 2, 2 * time.Second, false, false, false, ""},
		{"the other is ready again", 2, 2 * time.Second, true, true, true, ""},
		{"the other is not ready for a long time", 2, 4 * time.Second, false, true, false, ""},
		{"there is no other VM", 1, 0, false, true, false, ""},
		{"the other serves a different service", 2, 0, false, true, false, "other"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newVMs(t, c.vms)
			if c.service != "" {
				b.table.HandleUpstream(b.now, 2, fleet.Upstream{ID: "0000000000000002", Service: c.service, Total: job.Resources{CPU: 2000}})
			}
			b.submit(1, 1, 1, time.Second, time.Minute)
			first := b.orders[0].agent
			other := 3 - first
			if c.vms > 1 {
				b.room(other, fleet.Unreachable, 2000, 0)
			}
			b.loseUpstream(b.orders[0], time.Millisecond)
			again := func(life ident.UpstreamID) {
				b.table.HandleUpstream(b.now, first, fleet.Upstream{ID: life, Service: "publish", Total: job.Resources{CPU: 2000}})
				b.room(first, fleet.Ready, 2000, 100)
			}
			again("second")
			qt.Assert(t, b.orders, qt.HasLen, 2)
			qt.Assert(t, b.orders[1].Tasks[0].AloneFor > 0, qt.IsTrue)
			o := b.orders[1]
			b.table.HandleCrashes(b.now, []fleet.Crash{{
				Task: o.Task(0), VM: ident.UpstreamName(first.String()), Life: ident.UpstreamLife{ID: "second"},
				Loss: 2, Age: time.Millisecond, Alone: true, OnlyTask: true,
			}})
			b.room(first, fleet.Unreachable, 2000, o.Seq)
			b.end(o, 0, job.Lost, fleet.LeaseLapsed)
			b.pass(c.wait)
			again("third")
			if c.ready {
				b.room(other, fleet.Ready, 2000, 100)
			}
			qt.Assert(t, len(b.orders) > 2, qt.Equals, c.placed)
			if c.placed {
				qt.Assert(t, b.orders[2].agent == other, qt.Equals, c.elsewhere)
			}
		})
	}
}

// TestSuspectIsAProbe: if no upstream is ready, a suspected task may serve as the probe that finds out whether an upstream
// has recovered.
func TestSuspectIsAProbe(t *testing.T) {
	b := newVMs(t, 2)
	b.submit(1, 1, 1, time.Second, 10*time.Second)
	b.room(1, fleet.Suspect, 2000, 0)
	b.room(2, fleet.Suspect, 2000, 0)
	b.loseUpstream(b.orders[0], time.Millisecond)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	other := 3 - b.orders[0].agent
	b.room(other, fleet.Probing, 2000, 0)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	qt.Assert(t, b.orders[1].agent, qt.Equals, other)
}

// TestSuspectsLeaveRoom guards against suspected tasks that take all upstreams. An entry closes one upstream in eight for
// them, but at least one, and places the jobs behind them in the queue on the others. Several entries share this limit.
func TestSuspectsLeaveRoom(t *testing.T) {
	for _, c := range []struct{ vms, entries, closed int }{
		{6, 1, 1}, {11, 3, 1}, {64, 1, 8}, {128, 1, 16}, {64, 2, 4}, {128, 4, 4}, {256, 8, 4},
	} {
		b := newVMs(t, c.vms)
		b.table.SetEntries(c.entries)
		suspects := c.closed + 5
		for i := range suspects {
			b.submit(job.ID(i+1), dispatch.CallerID(i+1), 1, time.Second, 10*time.Second)
		}
		lost := slices.Clone(b.orders)
		qt.Assert(t, lost, qt.HasLen, suspects)
		for _, o := range lost {
			b.loseUpstream(o, time.Millisecond)
			b.room(o.agent, fleet.Ready, 2000, o.Seq)
		}
		closed := 0
		for _, o := range b.orders[len(lost):] {
			if o.Tasks[0].AloneFor > 0 {
				closed++
			}
		}
		qt.Assert(t, closed, qt.Equals, c.closed, qt.Commentf("%+v", c))
		b.submit(100, 100, 1, time.Second, 10*time.Second)
		qt.Assert(t, b.orders[len(b.orders)-1].Job, qt.Equals, job.ID(100), qt.Commentf("%+v", c))
	}
}
