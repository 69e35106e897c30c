package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// witnesses returns the agents that were last told of an order's run, and what they were told of it.
func (b *harness) witnesses(o order) (agents []ident.Incarnation, told []fleet.Crash) {
	for a := range ident.Incarnation(20) {
		for _, c := range b.suspects[a] {
			if c.VM == ident.UpstreamName(o.agent.String()) {
				agents, told = append(agents, a), append(told, c)
			}
		}
	}
	return agents, told
}

// suspect makes the only task of job 1 a suspect, and lets it run alone. Its agent has reported the given age.
func suspect(t *testing.T, age time.Duration) (*harness, order) {
	b := newVMs(t, 5)
	b.submit(1, 1, 1, time.Second, time.Minute)
	b.loseUpstream(b.orders[0], 5*time.Millisecond)
	qt.Assert(t, b.orders, qt.HasLen, 2)
	o := b.orders[1]
	b.table.HandleRoom(b.now, o.agent, fleet.Room{Seq: o.Seq, State: fleet.Ready, Suspects: []fleet.SuspectRun{
		{RunRef: o.run(0).RunRef, Age: age, Alone: true, OnlyRun: true},
	}})
	b.pass(20 * time.Millisecond)
	return b, o
}

// TestSuspectsAreReported: two agents on other VMs are told how far a suspect has come, until its run has ended.
func TestSuspectsAreReported(t *testing.T) {
	const age = 4 * time.Millisecond
	for _, c := range []struct {
		name string
		then func(b *harness, o order)
		want int
	}{
		{"it runs", func(*harness, order) {}, 2},
		{"a witness is lost", func(b *harness, o order) {
			agents, _ := b.witnesses(o)
			b.table.HandleUnlinked(b.now, agents[0])
			delete(b.suspects, agents[0])
		}, 2},
		{"its agent was lost lately", func(b *harness, o order) { b.table.HandleUnlinked(b.now, o.agent) }, 2},
		{"its upstream leaves", func(b *harness, o order) {
			b.table.HandleRoom(b.now, o.agent, fleet.Room{Seq: o.Seq, State: fleet.Leaving, Suspects: []fleet.SuspectRun{{RunRef: o.run(0).RunRef, Age: age, Alone: true}}})
		}, 0},
		{"it has ended", func(b *harness, o order) { b.end(o, 0, job.Done, "") }, 0},
		{"it was lost", func(b *harness, o order) { b.table.HandleUnlinked(b.now, o.agent); b.pass(timing.SettleAfter()) }, 0},
		{"it has outlived its time alone", func(b *harness, o order) {
			b.table.HandleRoom(b.now, o.agent, fleet.Room{Seq: o.Seq, State: fleet.Ready, Suspects: []fleet.SuspectRun{{RunRef: o.run(0).RunRef, Age: 300 * time.Millisecond}}})
			b.pass(400 * time.Millisecond)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, o := suspect(t, age)
			c.then(b, o)
			b.pass(40 * time.Millisecond)
			agents, told := b.witnesses(o)
			qt.Assert(t, agents, qt.HasLen, c.want, qt.Commentf("%v", told))
			for i, r := range told {
				qt.Assert(t, agents[i], qt.Not(qt.Equals), o.agent)
				qt.Assert(t, r.Age, qt.Equals, age)
				qt.Assert(t, r.Alone && r.WithAgent && r.MaxAge > age, qt.IsTrue)
			}
		})
	}
}

// TestAgentThatLived guards against sound tasks that are called crashing: their entry ended, their agent lived and stopped the run, and the
// upstream was lost to another cause before the next entry came. The agent would have told if the run had been lost.
func TestAgentThatLived(t *testing.T) {
	for _, c := range []struct {
		name  string
		agent ident.Incarnation
		want  int
	}{{"the same agent", 1, 0}, {"another agent", 99, 1}} {
		t.Run(c.name, func(t *testing.T) {
			b := newVMs(t, 4)
			run := fleet.Crash{
				Task: job.TaskID{Job: 1}, VM: ident.UpstreamName(ident.Incarnation(1).String()), Life: ident.UpstreamLife{ID: "former"},
				Loss: 9, Age: 4 * time.Millisecond, Agent: c.agent, Alone: true, WithAgent: true,
			}
			b.table.HandleUnconfirmed(b.now, []fleet.Crash{run})
			b.room(1, fleet.Ready, 2000, 0)
			qt.Assert(t, b.table.Crashes().Crashes(run.Task), qt.HasLen, c.want)
		})
	}
}

// TestWitnessTellsTheAge: a stored start whose crash is recorded at an unknown age gets its age from a witness.
func TestWitnessTellsTheAge(t *testing.T) {
	b := newVMs(t, 4)
	c := fleet.Crash{Task: job.TaskID{Job: 1}, VM: "1", Life: ident.UpstreamLife{ID: "former"}, WithAgent: true, Alone: true}
	known := c
	known.Loss, known.Age = 9, 4*time.Millisecond
	b.table.HandleCrashes(b.now, []fleet.Crash{c})
	b.table.HandleUnconfirmed(b.now, []fleet.Crash{known})
	qt.Assert(t, b.table.Crashes().Crashes(c.Task), qt.DeepEquals, []fleet.Crash{known})
}
