package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// loseAgent ends the agent of an order together with its upstream. If the order's task was started alone, the agent has
// reported before how far its run came.
func (b *harness) loseAgent(o order, age time.Duration) {
	r := fleet.Room{Seq: o.Seq, State: fleet.Ready}
	if o.Tasks[0].AloneFor > 0 {
		r.Suspects = []fleet.SuspectRun{{RunRef: o.run(0).RunRef, Age: age, Alone: true, OnlyRun: true}}
	}
	b.table.HandleRoom(b.now, o.agent, r)
	b.table.HandleUnlinked(b.now, o.agent)
	b.pass(timing.SettleAfter() + 40*time.Millisecond)
}

// returnVM lets another agent report which upstream runs on the VM of an order's agent.
func (b *harness) returnVM(o order, agent ident.Incarnation, up ident.UpstreamID) {
	b.table.HandleLinked(b.now, agent, ident.UpstreamName(o.agent.String()), "z")
	b.table.HandleUpstream(b.now, agent, fleet.Upstream{ID: up, Service: "publish", Total: job.Resources{CPU: 2000}})
	b.room(agent, fleet.Ready, 2000, 0)
}

// sameUpstream returns the ID of the upstream that an order went to.
func sameUpstream(o order) ident.UpstreamID { return ident.UpstreamID(o.agent.String()) }

// TestAgeOfASuspectLostWithItsAgent: the entry knows how far the run of a suspect had come, and that it was alone, when its agent was lost
// with the upstream.
func TestAgeOfASuspectLostWithItsAgent(t *testing.T) {
	b := newVMs(t, 4)
	b.submit(1, 1, 1, time.Second, time.Minute)
	b.loseUpstream(b.orders[0], 5*time.Millisecond)
	o := b.orders[1]
	b.loseAgent(o, 4*time.Millisecond)
	b.returnVM(o, 10, "other")
	all := b.table.Crashes().Crashes(job.TaskID{Job: 1})
	qt.Assert(t, all, qt.HasLen, 2)
	qt.Assert(t, all[1].Alone && all[1].OnlyTask && all[1].WithAgent, qt.IsTrue)
	qt.Assert(t, all[1].Age, qt.Equals, 4*time.Millisecond)
}

// TestSuspectLostWithItsAgent guards against crashes that count for nothing because the agent did not live to report them:
// the task was started without any limit. The entry knows that the run was alone and how far it came.
func TestSuspectLostWithItsAgent(t *testing.T) {
	b := newVMs(t, 5)
	b.submit(1, 1, 1, time.Second, time.Minute)
	b.loseUpstream(b.orders[0], 5*time.Millisecond)
	for i := 1; i < 4; i++ {
		qt.Assert(t, b.orders, qt.HasLen, i+1)
		o := b.orders[i]
		qt.Assert(t, o.Tasks[0].AloneFor > 0, qt.IsTrue)
		b.loseAgent(o, 4*time.Millisecond)
		b.returnVM(o, ident.Incarnation(10+i), "other")
	}
	qt.Assert(t, b.answers[1].Reason, qt.Equals, verdict.CrashesUpstreams)
	qt.Assert(t, b.orders, qt.HasLen, 4)
}

// TestUnconfirmedCrashes: a task that was lost with two agents is started alone, although it is not known whether its
// upstreams have crashed. A task that was lost with one is not.
func TestUnconfirmedCrashes(t *testing.T) {
	b := newVMs(t, 4)
	b.submit(1, 1, 1, time.Second, time.Minute)
	for i, alone := range []bool{false, false, true} {
		qt.Assert(t, b.orders, qt.HasLen, i+1)
		o := b.orders[i]
		qt.Assert(t, o.Tasks[0].AloneFor > 0, qt.Equals, alone, qt.Commentf("start %d", i+1))
		b.loseAgent(o, 0)
	}
}

// TestAloneAsLongAsTheLostRuns: a task that was lost with two agents is alone until it is as old as the younger of the lost
// runs may have been.
func TestAloneAsLongAsTheLostRuns(t *testing.T) {
	b := newVMs(t, 3)
	b.submit(1, 1, 1, time.Second, time.Minute)
	for i, ran := range []time.Duration{700 * time.Millisecond, 300 * time.Millisecond} {
		b.pass(ran)
		b.loseAgent(b.orders[i], 0)
	}
	alone := b.orders[2].Tasks[0].AloneFor
	qt.Assert(t, alone >= 300*time.Millisecond && alone < 700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", alone))
}

// TestWaitsForConfirmation: a task that crashes upstreams if its last crash is confirmed is not started before that is
// known. Its job fails if the crash is confirmed, and goes on otherwise.
func TestWaitsForConfirmation(t *testing.T) {
	for _, c := range []struct {
		name    string
		returns func(o order) ident.UpstreamID
		want    verdict.State
		orders  int
	}{
		{"another upstream", func(order) ident.UpstreamID { return "other" }, verdict.Failed, 4},
		{"the same upstream", sameUpstream, "", 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newVMs(t, 6)
			b.submit(1, 1, 1, time.Second, time.Minute)
			b.loseUpstream(b.orders[0], 5*time.Millisecond)
			b.loseUpstream(b.orders[1], 5*time.Millisecond)
			for i := 2; i < 4; i++ {
				b.loseAgent(b.orders[i], 5*time.Millisecond)
			}
			b.returnVM(b.orders[2], 9, "other")
			b.pass(time.Second)
			qt.Assert(t, b.orders, qt.HasLen, 4)
			qt.Assert(t, b.answers[1].State, qt.Equals, verdict.State(""))
			b.returnVM(b.orders[3], 10, c.returns(b.orders[3]))
			b.pass(20 * time.Millisecond)
			qt.Assert(t, b.answers[1].State, qt.Equals, c.want)
			qt.Assert(t, b.orders, qt.HasLen, c.orders)
		})
	}
}

// TestCrashesOfAnEntryThatEnds guards against crashes that are forgotten with the entry that has lost the agents. The entry
// tells the others, through several agents, and the one that gets the job next confirms them by itself.
func TestCrashesOfAnEntryThatEnds(t *testing.T) {
	first := newVMs(t, 6)
	first.submit(1, 1, 1, time.Second, time.Minute)
	for i := range 2 {
		first.loseAgent(first.orders[i], 0)
	}
	first.pass(20 * time.Millisecond)
	qt.Assert(t, len(first.unconfirmed) >= 2, qt.IsTrue)
	second := newHarness(t, 2) // on another VM
	for _, told := range first.unconfirmed {
		second.table.HandleUnconfirmed(second.now, told)
	}
	second.submit(1, 1, 1, time.Second, time.Minute)
	qt.Assert(t, second.orders, qt.HasLen, 1)
	qt.Assert(t, second.orders[0].Tasks[0].AloneFor > 0, qt.IsTrue)
}

// startsKeeper records the starts that are to be stored.
type startsKeeper struct {
	noKeeper
	starts [][]fleet.Crash
	// beside holds the upstreams that were up at each start.
	beside [][]fleet.Bystander
}

func (k *startsKeeper) KeepUnconfirmed(_ time.Time, _ job.TaskID, all []fleet.Crash, beside []fleet.Bystander) {
	k.starts, k.beside = append(k.starts, all), append(k.beside, beside)
}

// keep submits a kept job of one task.
func (b *harness) keep(id job.ID, known dispatch.KeptState) {
	b.table.Submit(b.now, dispatch.Request{
		Job: id, Route: queue, Kept: &known,
		Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
	})
}

// TestStartOfASuspectIsStored guards against crashes of kept jobs' tasks that are forgotten because all processes end. The start of a
// suspected task is stored, with its crashes that are not confirmed yet.
func TestStartOfASuspectIsStored(t *testing.T) {
	b, k := newVMs(t, 4), &startsKeeper{}
	b.table.SetKeeper(k)
	b.keep(1, dispatch.KeptState{})
	qt.Assert(t, k.starts, qt.HasLen, 0)
	for i := range 2 {
		b.loseAgent(b.orders[i], 0)
		b.table.PlaceAgain(b.now, job.TaskID{Job: 1}) // the store has recorded the loss
	}
	qt.Assert(t, b.orders, qt.HasLen, 3)
	qt.Assert(t, k.starts, qt.HasLen, 1)
	qt.Assert(t, k.starts[0], qt.HasLen, 3)
	started := k.starts[0][2]
	qt.Assert(t, started.VM, qt.Equals, ident.UpstreamName(b.orders[2].agent.String()))
	qt.Assert(t, started.MaxAge, qt.Equals, b.orders[2].Tasks[0].AloneFor)
	qt.Assert(t, started.Alone, qt.IsTrue)
	b.pass(started.MaxAge + time.Second)
	qt.Assert(t, k.starts, qt.HasLen, 2)
	qt.Assert(t, k.starts[1][2].Alone, qt.IsFalse)
}

// TestOutlivesOnceHeard guards against stored starts that no longer count as alone though the run has crashed its upstream: its
// agent, which doesn't know that yet, reports it as alone until all processes end.
func TestOutlivesOnceHeard(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard fleet.SuspectRun
		want  bool
	}{
		{"alone when heard last", fleet.SuspectRun{Age: 3 * time.Millisecond, Alone: true}, true},
		{"heard since", fleet.SuspectRun{Age: 300 * time.Millisecond}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, k := newVMs(t, 4), &startsKeeper{}
			b.table.SetKeeper(k)
			b.keep(1, dispatch.KeptState{})
			b.loseUpstream(b.orders[0], 5*time.Millisecond)
			b.table.PlaceAgain(b.now, job.TaskID{Job: 1})
			qt.Assert(t, b.orders, qt.HasLen, 2)
			o := b.orders[1]
			c.heard.RunRef = o.run(0).RunRef
			b.table.HandleRoom(b.now, o.agent, fleet.Room{Seq: o.Seq, State: fleet.Ready, Suspects: []fleet.SuspectRun{c.heard}})
			b.pass(o.Tasks[0].AloneFor + 200*time.Millisecond)
			last := k.starts[len(k.starts)-1]
			qt.Assert(t, last[len(last)-1].Alone, qt.Equals, c.want)
		})
	}
}

// TestStoredStartsAreConfirmed: stored starts of a job that was taken over count as crashes once another upstream runs on their VMs.
func TestStoredStartsAreConfirmed(t *testing.T) {
	for _, c := range []struct {
		name  string
		alone bool
		want  crash.Finding
	}{
		{"alone", true, crash.Proven},
		{"no longer alone", false, crash.Suspected},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newVMs(t, 4)
			b.table.SetKeeper(&startsKeeper{})
			var stored []fleet.Crash
			for i, up := range []ident.UpstreamID{"gone", "gone-2", "gone-3"} {
				vm := ident.UpstreamName(ident.Incarnation(i + 1).String())
				stored = append(stored, fleet.Crash{
					Task: job.TaskID{Job: 1}, VM: vm, Life: ident.UpstreamLife{ID: up}, MaxAge: 300 * time.Millisecond, Alone: c.alone, WithAgent: true,
				})
			}
			b.keep(1, dispatch.KeptState{Unconfirmed: stored, Generation: 2})
			qt.Assert(t, b.table.Crashes().Finding(job.TaskID{Job: 1}), qt.Equals, c.want)
			qt.Assert(t, len(b.orders) > 0, qt.Equals, c.want == crash.Suspected)
		})
	}
}

// TestStartsOfLateGenerations guards against crashes that are forgotten because the agent and the entry end with the upstream while
// the task is not suspected yet: from the second generation on, the store knows of each start of a kept job's task, and which upstreams
// were up beside it, those in the same availability zone first.
func TestStartsOfLateGenerations(t *testing.T) {
	for _, c := range []struct {
		generation uint32
		stored     int
		alone      bool
	}{{1, 0, false}, {2, 1, false}, {3, 1, true}} {
		t.Run(fmt.Sprint("generation ", c.generation), func(t *testing.T) {
			b, k := newVMs(t, 6), &startsKeeper{}
			b.table.SetKeeper(k)
			b.keep(1, dispatch.KeptState{Generation: c.generation})
			qt.Assert(t, k.starts, qt.HasLen, c.stored)
			if c.stored == 0 {
				return
			}
			qt.Assert(t, k.starts[0], qt.HasLen, 1)
			qt.Assert(t, k.starts[0][0].Alone, qt.Equals, c.alone)
			qt.Assert(t, k.beside[0], qt.HasLen, 3)
			for _, o := range k.beside[0] {
				qt.Assert(t, o.VM, qt.Not(qt.Equals), k.starts[0][0].VM)
			}
			b.end(b.orders[0], 0, job.Failed, "")
			qt.Assert(t, k.starts[1], qt.HasLen, 0)
		})
	}
}

// TestStartsBesideAnOutage: stored starts prove nothing if the upstreams that were up beside them are gone too.
func TestStartsBesideAnOutage(t *testing.T) {
	up := fleet.Bystander{VM: ident.UpstreamName(ident.Incarnation(4).String()), Life: ident.UpstreamLife{ID: ident.UpstreamID(ident.Incarnation(4).String())}}
	gone := fleet.Bystander{VM: up.VM, Life: ident.UpstreamLife{ID: "former"}}
	away := fleet.Bystander{VM: "away", Life: up.Life}
	for _, c := range []struct {
		name   string
		beside []fleet.Bystander
		want   crash.Finding
	}{
		{"not known", nil, crash.Proven},
		{"one is up", []fleet.Bystander{gone, away, up}, crash.Proven},
		{"none is up", []fleet.Bystander{gone, away}, crash.Suspected},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newVMs(t, 4)
			b.table.SetKeeper(&startsKeeper{})
			var stored []fleet.Crash
			for i, id := range []ident.UpstreamID{"gone", "gone-2", "gone-3"} {
				vm := ident.UpstreamName(ident.Incarnation(i + 1).String())
				stored = append(stored, fleet.Crash{Task: job.TaskID{Job: 1}, VM: vm, Life: ident.UpstreamLife{ID: id}, Alone: true, WithAgent: true})
			}
			b.keep(1, dispatch.KeptState{Unconfirmed: stored, Beside: c.beside, Generation: 2})
			qt.Assert(t, b.table.Crashes().Finding(job.TaskID{Job: 1}), qt.Equals, c.want)
		})
	}
}

// TestTasksOfLateGenerations: a task of a kept job that two entries have held before is started alone for as long as it should take, but
// doesn't wait for an upstream that can be closed.
func TestTasksOfLateGenerations(t *testing.T) {
	b := newVMs(t, 4)
	b.table.SetKeeper(&startsKeeper{})
	for i, c := range []struct {
		generation uint32
		alone      bool
	}{{1, false}, {2, false}, {3, true}, {3, false}} {
		b.keep(job.ID(i+1), dispatch.KeptState{Generation: c.generation})
		qt.Assert(t, b.orders, qt.HasLen, i+1)
		qt.Assert(t, b.orders[i].Tasks[0].AloneFor > time.Second, qt.Equals, c.alone, qt.Commentf("job %d", i+1))
	}
}

// TestProvenOnceLossesAreForgotten guards against tasks that wait for ever. A task's crashes amid many others may prove something only once
// those are forgotten, without a crash of its own that would end its job. It is started alone.
func TestProvenOnceLossesAreForgotten(t *testing.T) {
	b := newVMs(t, 4)
	loss := func(task job.TaskID, vm, up string, alone bool) {
		b.table.HandleCrashes(b.now, []fleet.Crash{{
			Task: task, VM: ident.UpstreamName(vm), Life: ident.UpstreamLife{ID: ident.UpstreamID(up)}, Loss: 1, Age: time.Millisecond, Alone: alone, OnlyTask: alone,
		}})
	}
	for _, up := range []string{"a", "b", "c", "d"} {
		loss(job.TaskID{Job: 9}, "elsewhere", up, false)
	}
	b.table.SetEntries(1)
	suspect := job.TaskID{Job: 1}
	loss(suspect, "vm-1", "u-1", true)
	loss(suspect, "vm-2", "u-2", true)
	qt.Assert(t, b.table.Crashes().Finding(suspect), qt.Equals, crash.Suspected)
	for i := 1; i <= 4; i++ {
		b.room(ident.Incarnation(i), fleet.Unreachable, 2000, 0)
	}
	b.submit(1, 1, 1, time.Second, time.Hour)
	b.now = b.now.Add(21 * time.Second)
	loss(job.TaskID{Job: 8}, "elsewhere", "e", false)
	qt.Assert(t, b.table.Crashes().Finding(suspect), qt.Equals, crash.Proven)
	b.room(1, fleet.Ready, 2000, 0)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.orders[0].Tasks[0].AloneFor > 0, qt.IsTrue)
}
