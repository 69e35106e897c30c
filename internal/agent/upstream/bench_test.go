package upstream_test

import (
	"testing"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

var timing = fleet.Timing{
	Silence: 400 * time.Millisecond, Lease: 400 * time.Millisecond, StopBudget: 200 * time.Millisecond,
	KeepAlive: 100 * time.Millisecond,
}

// bench drives a Keeper by hand.
type bench struct {
	t      *testing.T
	now    time.Time
	keeper *upstream.Keeper
	starts []call.Start
	stops  []call.Stop
	holds  []call.Hold
	// answered counts the holds that were answered.
	answered int
	ends     map[ident.Incarnation][]fleet.End
	rooms    map[ident.Incarnation]fleet.Room
	resumed  []fleet.OrderedRun
	progress []fleet.Progress
	asked    []uint64
	// told counts messages about room.
	told int
	seq  uint64
	// refuted are the losses that were refuted.
	refuted []fleet.Refutation
	// losses are the losses that were told.
	losses []upstream.Loss
	// endings are what observers heard of ends.
	endings []upstream.Ending
	// late are by how much orphanings and lapses were late.
	late []time.Duration
	// unconfirmed are the ends that entries may not have heard of.
	unconfirmed []fleet.End
	// strays are what observers heard of strays.
	strays []upstream.StrayEvent
	takeovers
}

func (b *bench) Start(c call.Start)                         { b.starts = append(b.starts, c) }
func (b *bench) Stop(c call.Stop)                           { b.stops = append(b.stops, c) }
func (b *bench) Hold(c call.Hold)                           { b.holds = append(b.holds, c) }
func (b *bench) Upstream(ident.Incarnation, fleet.Upstream) {}
func (b *bench) Room(to ident.Incarnation, r fleet.Room)    { b.rooms[to] = r; b.told++ }
func (b *bench) End(to ident.Incarnation, e fleet.End)      { b.ends[to] = append(b.ends[to], e) }
func (b *bench) Settled(ident.Incarnation)                  {}
func (b *bench) Asked(_ ident.Incarnation, number uint64)   { b.asked = append(b.asked, number) }
func (b *bench) Progress(_ ident.Incarnation, runs []fleet.Progress) {
	b.progress = append(b.progress, runs...)
}
func (b *bench) Resumed(_ ident.Incarnation, runs []fleet.OrderedRun) {
	b.resumed = append(b.resumed, runs...)
}
func (b *bench) Ended(e upstream.Ending)          { b.endings = append(b.endings, e) }
func (b *bench) State(_, _ fleet.State, _ string) {}
func (b *bench) Orphaned(_ ident.Incarnation, _ int, _ string, late time.Duration) {
	b.late = append(b.late, late)
}
func (b *bench) Lapsed(late time.Duration) { b.late = append(b.late, late) }
func (b *bench) Unconfirmed(_ ident.Incarnation, ends []fleet.End) {
	b.unconfirmed = append(b.unconfirmed, ends...)
}
func (b *bench) Outlived(_, _ ident.UpstreamLife)            {}
func (b *bench) Unsure(job.TaskID, job.Run)                  {}
func (b *bench) Begun(ident.UpstreamLife, string, bool)      {}
func (b *bench) Dropped(lives.Beat, uint64)                  {}
func (b *bench) Gated(job.TaskID, ident.Incarnation)         {}
func (b *bench) Overtaken()                                  {}
func (b *bench) Stray(_ fleet.RunRef, e upstream.StrayEvent) { b.strays = append(b.strays, e) }
func (b *bench) Refuted(r fleet.Refutation)                  { b.refuted = append(b.refuted, r) }
func (b *bench) Lost(l upstream.Loss)                        { b.losses = append(b.losses, l) }

// The entries and the job that the tests use.
const (
	one, two = ident.Incarnation(1), ident.Incarnation(2)
	jobID    = job.ID(7)
)

var task = job.TaskID{Job: jobID}

// ordered names a run of the task; the tests' orders carry no ids but where they are what is tested.
func ordered(run job.Run) fleet.OrderedRun {
	return fleet.OrderedRun{RunRef: fleet.RunRef{Task: task, Run: run}}
}

// newBench returns a Keeper whose upstream has room for two tasks, with two entries linked and heard.
func newBench(t *testing.T, without rule.Set) *bench {
	b := &bench{
		t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room),
	}
	b.keeper = upstream.New(timing, without, b.now, b, b, b)
	b.pass(10 * time.Millisecond)
	b.keeper.Beat(b.now, lives.Beat{
		Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Minute),
	})
	b.look()
	for _, e := range []ident.Incarnation{one, two} {
		b.keeper.Linked(b.now, e)
		b.keeper.Flush(b.now)
		b.keeper.Ping(b.now, e, b.rooms[e].Clock, 0)
	}
	return b
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// look answers all holds that wait.
func (b *bench) look(running ...call.Listed) {
	waiting := b.holds[b.answered:]
	b.answered = len(b.holds)
	for _, c := range waiting {
		b.keeper.HoldDone(b.now, c, call.Held{Answer: call.OK, Clock: b.clock(), Running: running})
	}
}

// clock is the upstream's.
func (b *bench) clock() call.Clock {
	return call.Clock(time.Minute) + call.Clock(b.now.Sub(time.Unix(1000, 0)))
}

func (b *bench) order(e ident.Incarnation, run job.Run) {
	b.seq++
	b.keeper.Order(b.now, e, fleet.Order{
		Seq: b.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	b.keeper.Flush(b.now)
}

// orderBeside orders a task of another job for an entry.
func (b *bench) orderBeside(e ident.Incarnation, run job.Run) {
	b.seq++
	b.keeper.Order(b.now, e, fleet.Order{
		Seq: b.seq, Job: jobID + 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	b.keeper.Flush(b.now)
}

// end answers all holds that wait with the end of the first run.
func (b *bench) end(how call.How) {
	waiting := b.holds[b.answered:]
	b.answered = len(b.holds)
	for _, c := range waiting {
		b.keeper.HoldDone(b.now, c, call.Held{
			Answer: call.OK, Clock: b.clock(), Finished: []call.Finished{{N: 1, Task: task, Run: 1, How: how}},
		})
	}
}
