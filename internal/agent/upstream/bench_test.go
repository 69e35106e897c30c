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
type harness struct {
	t       *testing.T
	now     time.Time
	manager *upstream.Controller
	starts  []call.Start
	stops   []call.Stop
	holds   []call.Hold
	// answered counts the holds that were answered.
	answered int
	ends     map[ident.Incarnation][]fleet.End
	rooms    map[ident.Incarnation]fleet.Room
	resumed  []fleet.OrderedRun
	progress []fleet.Progress
	endsSent []uint64
	// told counts messages about room.
	roomMessages int
	seq          uint64
	// refuted are the losses that were refuted.
	refuted []fleet.Refutation
	// losses are the losses that were told.
	losses []upstream.Loss
	// endings are what observers heard of ends.
	endings []upstream.Ending
	// late are by how much orphanings and lapses were late.
	lateness []time.Duration
	// unconfirmed are the ends that entries may not have heard of.
	unconfirmed []fleet.End
	// strays are what observers heard of strays.
	strays []upstream.StrayEvent
	takeovers
}

func (b *harness) Start(c call.Start)                         { b.starts = append(b.starts, c) }
func (b *harness) Stop(c call.Stop)                           { b.stops = append(b.stops, c) }
func (b *harness) Hold(c call.Hold)                           { b.holds = append(b.holds, c) }
func (b *harness) Upstream(ident.Incarnation, fleet.Upstream) {}
func (b *harness) Room(to ident.Incarnation, r fleet.Room)    { b.rooms[to] = r; b.roomMessages++ }
func (b *harness) End(to ident.Incarnation, e fleet.End)      { b.ends[to] = append(b.ends[to], e) }
func (b *harness) Settled(ident.Incarnation)                  {}
func (b *harness) EndsSent(_ ident.Incarnation, number uint64) {
	b.endsSent = append(b.endsSent, number)
}
func (b *harness) Progress(_ ident.Incarnation, runs []fleet.Progress) {
	b.progress = append(b.progress, runs...)
}
func (b *harness) Resumed(_ ident.Incarnation, runs []fleet.OrderedRun) {
	b.resumed = append(b.resumed, runs...)
}
func (b *harness) RunEnded(e upstream.Ending)              { b.endings = append(b.endings, e) }
func (b *harness) StateChanged(_, _ fleet.State, _ string) {}
func (b *harness) RunsOrphaned(_ ident.Incarnation, _ int, _ string, late time.Duration) {
	b.lateness = append(b.lateness, late)
}
func (b *harness) LeaseLapsed(late time.Duration) { b.lateness = append(b.lateness, late) }
func (b *harness) EndsUnconfirmed(_ ident.Incarnation, ends []fleet.End) {
	b.unconfirmed = append(b.unconfirmed, ends...)
}
func (b *harness) HeartbeatOutlived(_, _ ident.UpstreamLife)          {}
func (b *harness) StartUnsure(job.TaskID, job.Run)                    {}
func (b *harness) LifeBegun(ident.UpstreamLife, string, bool)         {}
func (b *harness) HeartbeatDropped(lives.Heartbeat, uint64)           {}
func (b *harness) OrderGated(job.TaskID, ident.Incarnation)           {}
func (b *harness) ListingOvertaken()                                  {}
func (b *harness) StrayChanged(_ fleet.RunRef, e upstream.StrayEvent) { b.strays = append(b.strays, e) }
func (b *harness) LossRefuted(r fleet.Refutation)                     { b.refuted = append(b.refuted, r) }
func (b *harness) UpstreamLost(l upstream.Loss)                       { b.losses = append(b.losses, l) }

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
func newHarness(t *testing.T, without rule.Set) *harness {
	b := &harness{
		t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room),
	}
	b.manager = upstream.New(timing, without, b.now, b, b, b)
	b.pass(10 * time.Millisecond)
	b.manager.Heartbeat(b.now, lives.Heartbeat{
		Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Minute),
	})
	b.answerHolds()
	for _, e := range []ident.Incarnation{one, two} {
		b.manager.EntryLinked(b.now, e)
		b.manager.Flush(b.now)
		b.manager.Ping(b.now, e, b.rooms[e].Clock, 0)
	}
	return b
}

func (b *harness) pass(d time.Duration) { b.now = b.now.Add(d) }

// look answers all holds that wait.
func (b *harness) answerHolds(running ...call.Running) {
	waiting := b.holds[b.answered:]
	b.answered = len(b.holds)
	for _, c := range waiting {
		b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.OK, Clock: b.clock(), Running: running})
	}
}

// clock is the upstream's.
func (b *harness) clock() call.Clock {
	return call.Clock(time.Minute) + call.Clock(b.now.Sub(time.Unix(1000, 0)))
}

func (b *harness) order(e ident.Incarnation, run job.Run) {
	b.seq++
	b.manager.Order(b.now, e, fleet.Order{
		Seq: b.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	b.manager.Flush(b.now)
}

// orderBeside orders a task of another job for an entry.
func (b *harness) orderBeside(e ident.Incarnation, run job.Run) {
	b.seq++
	b.manager.Order(b.now, e, fleet.Order{
		Seq: b.seq, Job: jobID + 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	b.manager.Flush(b.now)
}

// end answers all holds that wait with the end of the first run.
func (b *harness) end(how call.Result) {
	waiting := b.holds[b.answered:]
	b.answered = len(b.holds)
	for _, c := range waiting {
		b.manager.HoldDone(b.now, c, call.HoldResult{
			Answer: call.OK, Clock: b.clock(), Finished: []call.Finished{{Number: 1, Task: task, Run: 1, Result: how}},
		})
	}
}
