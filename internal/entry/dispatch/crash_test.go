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

// newVMs returns a bench whose agents are on VMs of their own, named as agents are.
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

// lose ends the runs of an order as lost with its upstream, of which it is told first.
func (b *harness) loseUpstream(o order, after time.Duration) {
	var lost []fleet.Crash
	for i, t := range o.Tasks {
		lost = append(lost, fleet.Crash{
			Task: o.Task(i), VM: ident.UpstreamName(o.agent.String()), Life: ident.UpstreamLife{ID: ident.UpstreamID(o.agent.String())},
			Loss: 1, Age: after, Alone: t.AloneFor > 0, OnlyTask: t.AloneFor > 0 && len(o.Tasks) == 1,
		})
	}
	b.room(o.agent, fleet.Unreachable, 2000, o.Seq)
	b.table.HandleCrashes(b.now, lost)
	for i := range o.Tasks {
		b.end(o, i, job.Lost, fleet.LeaseLapsed)
	}
}

// TestTaskThatCrashesUpstreams: it is placed alone after the first loss, elsewhere each time, and its job fails after the third; sent
// again, the job fails at once.
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

// TestSoundTaskBesideOneThatCrashes: tasks that were lost beside each other are not placed beside each other again, and those that end
// are done.
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

// TestOldRunsAreNotSuspected: a task that had run for long when its upstream was lost goes on beside others.
func TestOldRunsAreNotSuspected(t *testing.T) {
	b := newVMs(t, 3)
	b.submit(1, 1, 1, time.Second, 10*time.Second)
	b.loseUpstream(b.orders[0], 700*time.Millisecond)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	qt.Assert(t, b.orders[1].Tasks[0].AloneFor, qt.Equals, time.Duration(0))
}

// TestNothingBesideASuspect: what waits for room finds none where a task is about to be alone.
func TestNothingBesideASuspect(t *testing.T) {
	b := newVMs(t, 2)
	b.submit(1, 1, 1, time.Second, 10*time.Second)
	lost := b.orders[0]
	b.loseUpstream(lost, time.Millisecond)
	suspect := b.orders[1]
	b.submit(2, 2, 1, time.Second, 10*time.Second)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	b.room(suspect.agent, fleet.Ready, 1000, suspect.Seq) // it is alone no longer
	qt.Assert(t, b.orders, qt.HasLen, 3)
}

// TestRefusalTellsOfClosedRoom: who reads the log of a refused job can tell that upstreams were closed for a suspected task.
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

// TestLossOfAnAgentIsDecided: a run that was lost with its agent counts as lost with its upstream once another upstream stands there, and
// not if the same one does.
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

// TestSuspectWaitsForAnotherVM: a task that was lost alone on a VM waits there for an upstream on another one, but not for ever. Seen: a task that
// crashes its upstreams late was started five times on the VM that was back first each time, which proves nothing.
func TestSuspectWaitsForAnotherVM(t *testing.T) {
	for _, c := range []struct {
		name  string
		vms   int
		wait  time.Duration
		ready bool
		// placed is whether the task is started again, elsewhere whether on the other VM.
		placed, elsewhere bool
		// service is the other VM's if it is another one.
		service ident.Service
	}{
		{"no other is up", 2, 2 * time.Second, false, false, false, ""},
		{"another is back", 2, 2 * time.Second, true, true, true, ""},
		{"no other is up for long", 2, 4 * time.Second, false, true, false, ""},
		{"there is no other", 1, 0, false, true, false, ""},
		{"the other serves another service", 2, 0, false, true, false, "other"},
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
				Task: o.Task(0), VM: ident.UpstreamName(first.String()), Life: ident.UpstreamLife{ID: "second"}, Loss: 2, Age: time.Millisecond, Alone: true, OnlyTask: true,
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

// TestSuspectIsAProbe: where no upstream is ready, a suspected task is what finds out whether one is sound again.
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

// TestSuspectsLeaveRoom: while many tasks are suspected, an entry has one upstream in eight closed for them, but one at least, and places
// what is behind them in the queue on the others; as many entries more close no more together.
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
