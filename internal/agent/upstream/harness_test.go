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

// restoreTime is the longest time that the upstreams of the tests need to restore a checkpoint.
const restoreTime = 600 * time.Millisecond

// harness drives a Controller step by step, and records its calls and messages.
type harness struct {
	t          *testing.T
	now        time.Time
	controller *upstream.Controller
	starts     []call.Start
	stops      []call.Stop
	holds      []call.Hold
	// answered counts the holds that were answered.
	answered int
	ends     map[ident.Incarnation][]fleet.End
	rooms    map[ident.Incarnation]fleet.Room
	resumed  []fleet.OrderedRun
	progress []fleet.Progress
	endsSent []uint64
	// roomMessages counts the messages about room.
	roomMessages int
	seq          uint64
	// refuted holds the refutations of losses.
	refuted []fleet.Refutation
	// losses holds the reported losses.
	losses []upstream.Loss
	// endings holds the ends of runs as observers get them.
	endings []upstream.Ending
	// lateness holds by how much orphanings and lapses were late.
	lateness []time.Duration
	// unconfirmed holds the ends that entries may not have received.
	unconfirmed []fleet.End
	// strays holds the events of strays as observers get them.
	strays []upstream.StrayEvent
	takeovers
}

func (h *harness) Start(c call.Start)                         { h.starts = append(h.starts, c) }
func (h *harness) Stop(c call.Stop)                           { h.stops = append(h.stops, c) }
func (h *harness) Hold(c call.Hold)                           { h.holds = append(h.holds, c) }
func (h *harness) Upstream(ident.Incarnation, fleet.Upstream) {}
func (h *harness) Room(to ident.Incarnation, r fleet.Room)    { h.rooms[to] = r; h.roomMessages++ }
func (h *harness) End(to ident.Incarnation, e fleet.End)      { h.ends[to] = append(h.ends[to], e) }
func (h *harness) Settled(ident.Incarnation)                  {}
func (h *harness) EndsSent(_ ident.Incarnation, number uint64) {
	h.endsSent = append(h.endsSent, number)
}
func (h *harness) Progress(_ ident.Incarnation, runs []fleet.Progress) {
	h.progress = append(h.progress, runs...)
}
func (h *harness) Resumed(_ ident.Incarnation, runs []fleet.OrderedRun) {
	h.resumed = append(h.resumed, runs...)
}
func (h *harness) RunEnded(e upstream.Ending)              { h.endings = append(h.endings, e) }
func (h *harness) StateChanged(_, _ fleet.State, _ string) {}
func (h *harness) RunsOrphaned(_ ident.Incarnation, _ int, _ string, late time.Duration) {
	h.lateness = append(h.lateness, late)
}
func (h *harness) LeaseLapsed(late time.Duration) { h.lateness = append(h.lateness, late) }
func (h *harness) EndsUnconfirmed(_ ident.Incarnation, ends []fleet.End) {
	h.unconfirmed = append(h.unconfirmed, ends...)
}
func (h *harness) HeartbeatOutlived(_, _ ident.UpstreamLife)          {}
func (h *harness) StartUnsure(job.TaskID, job.Run)                    {}
func (h *harness) LifeBegun(ident.UpstreamLife, string, bool)         {}
func (h *harness) HeartbeatDropped(lives.Heartbeat, uint64)           {}
func (h *harness) OrderGated(job.TaskID, ident.Incarnation)           {}
func (h *harness) ListingOvertaken()                                  {}
func (h *harness) StrayChanged(_ fleet.RunRef, e upstream.StrayEvent) { h.strays = append(h.strays, e) }
func (h *harness) LossRefuted(r fleet.Refutation)                     { h.refuted = append(h.refuted, r) }
func (h *harness) UpstreamLost(l upstream.Loss)                       { h.losses = append(h.losses, l) }

// The entries and the job that the tests use.
const (
	one, two = ident.Incarnation(1), ident.Incarnation(2)
	jobID    = job.ID(7)
)

var task = job.TaskID{Job: jobID}

// ordered returns the name of a run of the task. Orders carry no ids except in the tests of ids.
func ordered(run job.Run) fleet.OrderedRun {
	return fleet.OrderedRun{RunRef: fleet.RunRef{Task: task, Run: run}}
}

// newHarness returns a harness whose upstream has room for two tasks, with two entries that are linked and have sent a keep-alive.
func newHarness(t *testing.T, without rule.Set) *harness {
	h := &harness{
		t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room),
	}
	h.controller = upstream.New(timing, restoreTime, without, h.now, h, h, h)
	h.pass(10 * time.Millisecond)
	h.controller.Heartbeat(h.now, lives.Heartbeat{
		Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Minute),
	})
	h.answerHolds()
	for _, e := range []ident.Incarnation{one, two} {
		h.controller.EntryLinked(h.now, e)
		h.controller.Flush(h.now)
		h.controller.Ping(h.now, e, h.rooms[e].Clock, 0)
	}
	return h
}

func (h *harness) pass(d time.Duration) { h.now = h.now.Add(d) }

// answerHolds answers all waiting holds.
func (h *harness) answerHolds(running ...call.Running) {
	waiting := h.holds[h.answered:]
	h.answered = len(h.holds)
	for _, c := range waiting {
		h.controller.HoldDone(h.now, c, call.HoldResult{Answer: call.OK, Clock: h.clock(), Running: running})
	}
}

// clock returns a reading of the upstream's clock.
func (h *harness) clock() call.Clock {
	return call.Clock(time.Minute) + call.Clock(h.now.Sub(time.Unix(1000, 0)))
}

func (h *harness) order(e ident.Incarnation, run job.Run) {
	h.seq++
	h.controller.Order(h.now, e, fleet.Order{
		Seq: h.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	h.controller.Flush(h.now)
}

// orderBeside orders a task of another job for an entry.
func (h *harness) orderBeside(e ident.Incarnation, run job.Run) {
	h.seq++
	h.controller.Order(h.now, e, fleet.Order{
		Seq: h.seq, Job: jobID + 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	h.controller.Flush(h.now)
}

// end answers all waiting holds with the end of the first run.
func (h *harness) end(result call.Result) {
	waiting := h.holds[h.answered:]
	h.answered = len(h.holds)
	for _, c := range waiting {
		h.controller.HoldDone(h.now, c, call.HoldResult{
			Answer: call.OK, Clock: h.clock(), Finished: []call.Finished{{Number: 1, Task: task, Run: 1, Result: result}},
		})
	}
}
