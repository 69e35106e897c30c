package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// TestOrderForTaskThatRunsWaits: a caller has sent its job again to another entry while a run of the first entry is still there. The
// second run must not be started before the first has ended. The first entry is told to give the job up; otherwise the two entries would
// stop each other's runs for ever.
func TestOrderForTaskThatRunsWaits(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		starts  int
	}{
		{"in force", nil, 1},
		{"rule left out", rule.Without(rule.SameTaskWaits), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.without)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.starts[0].LeaseUntil)
			h.order(two, 2)
			qt.Assert(t, h.starts, qt.HasLen, test.starts)
			if test.without != nil {
				return
			}
			qt.Assert(t, h.stops, qt.HasLen, 1)
			h.controller.StopDone(h.now, h.stops[0], call.OK, h.starts[0].LeaseUntil)
			h.pass(time.Millisecond)
			h.answerHolds() // this hold was sent before the stop was answered, and proves nothing
			qt.Assert(t, h.starts, qt.HasLen, 1)
			h.pass(time.Millisecond)
			h.answerHolds()
			qt.Assert(t, h.starts, qt.HasLen, 2)
			qt.Assert(t, h.ends[one], qt.HasLen, 1)
			qt.Assert(t, h.ends[one][0].Reason, qt.Equals, fleet.Superseded)
		})
	}
}

// TestStopsEndThoughAskedAgain: stops are sent again until the upstream lists the end. The answer to a later stop must not outdate the
// hold that proves the end: with one such answer every 100 ms, the agent waited for ever for the end of a run that had never arrived
// (schedule 293 of the randomised run).
func TestStopsEndThoughAskedAgain(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.Unanswered, 0)
	h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest)
	for range 20 {
		for _, c := range h.stops {
			h.controller.StopDone(h.now, c, call.OK, 0)
		}
		h.stops = nil
		h.pass(60 * time.Millisecond)
		h.answerHolds()
		h.pass(40 * time.Millisecond)
		h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
		h.controller.Tick(h.now)
		h.controller.Flush(h.now)
	}
	qt.Assert(t, h.controller.RunCount(), qt.Equals, 0)
}

// TestRunsOfOneNumber: a job that starts over at its entry counts its runs from 1 again. A late stop of the former run is answered and
// doesn't affect the new one, and an order of the new run is not taken for a repeated order of the former one.
func TestRunsOfOneNumber(t *testing.T) {
	h := newHarness(t, nil)
	order := func(id fleet.RunID) {
		h.seq++
		h.controller.Order(h.now, one, fleet.Order{
			Seq: h.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1, ID: id}},
		})
	}
	order(6)
	former := ordered(1)
	former.ID = 5
	h.controller.StopTask(h.now, one, former, fleet.OnRequest)
	qt.Assert(t, h.stops, qt.HasLen, 0)
	qt.Assert(t, h.ends[one], qt.DeepEquals, []fleet.End{{Task: task, Run: 1, ID: 5, Outcome: job.NotStarted, Reason: fleet.NotListed}})
	order(6)
	qt.Assert(t, h.stops, qt.HasLen, 0) // the same run
	order(7)
	qt.Assert(t, h.stops, qt.HasLen, 1) // another run; the former one must end first
	qt.Assert(t, h.starts, qt.HasLen, 1)
}

// TestRefusals: an order that can't be accepted is refused at once, with a reason, and leaves the room as it was.
func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(h *harness)
		want  fleet.Reason
	}{
		{"not heard for too long", func(h *harness) { h.pass(timing.Silence) }, fleet.StaleSession},
		{"heard only now, with an old reading of the clock", func(h *harness) { h.pass(timing.Silence); h.controller.Ping(h.now, one, time.Millisecond, 0) }, fleet.StaleSession},
		{"leaving", func(h *harness) { h.controller.Leave() }, fleet.NotAccepting},
		{"upstream draining", func(h *harness) {
			h.controller.Heartbeat(h.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1"}, Sequence: 2, Draining: true})
		}, fleet.NotAccepting},
		{"upstream unreachable", func(h *harness) {
			for range 2 {
				h.controller.HoldDone(h.now, h.holds[len(h.holds)-1], call.HoldResult{Answer: call.Unanswered})
			}
		}, fleet.NotAccepting},
		{"an unknown run is there", func(h *harness) { h.answerHolds(call.Running{Task: job.TaskID{Job: 99}, Run: 1}) }, fleet.NotAccepting},
		{"full", func(h *harness) {
			for i := range uint32(2) {
				h.controller.Order(h.now, two, fleet.Order{Job: 50, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Index: i, Run: 1}}})
			}
		}, fleet.NoRoom},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.setUp(h)
			h.order(one, 1)
			qt.Assert(t, h.ends[one], qt.DeepEquals, []fleet.End{{Task: task, Run: 1, Outcome: job.NotStarted, Reason: test.want}})
		})
	}
}

// TestUnansweredStartIsResolvedByListing: after a start without an answer, or with one that doesn't say whether the run was started, a
// poll is made at once under a higher token, though a hold is waiting for the next end. The listing in its answer decides.
func TestUnansweredStartIsResolvedByListing(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  call.Answer
		running bool
		ends    int
	}{
		{"it never arrived", call.Unanswered, false, 1},
		{"it runs", call.Unanswered, true, 0},
		{"an error, and it did not arrive", call.Unclear, false, 1},
		{"an error, and it runs", call.Unclear, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			before := h.starts[0].Token
			h.controller.StartDone(h.now, h.starts[0], test.answer, 0)
			qt.Assert(t, h.ends[one], qt.HasLen, 0)
			poll := h.holds[len(h.holds)-1]
			qt.Assert(t, poll.Poll, qt.IsTrue)
			qt.Assert(t, poll.Token > before, qt.IsTrue)
			h.pass(time.Millisecond)
			if test.running {
				h.answerHolds(call.Running{Task: task, Run: 1, Percent: 1})
			} else {
				poll.Sent = h.now
				h.answered = len(h.holds)
				h.controller.HoldDone(h.now, poll, call.HoldResult{Answer: call.OK, Clock: h.clock()})
			}
			qt.Assert(t, h.ends[one], qt.HasLen, test.ends)
		})
	}
}

// TestRecall: an agent that starts knows its upstream from the store. The first call shows whether that life is still present and which
// tokens it has seen. Work waits only for a heartbeat, since the room may have shrunk in the meantime.
func TestRecall(t *testing.T) {
	up := fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}
	for _, test := range []struct {
		name   string
		answer call.HoldResult
		known  bool
		ready  bool
	}{
		{"it lives and has seen no token", call.HoldResult{Answer: call.OK, Clock: call.Clock(time.Minute)}, true, true},
		{"it lives and has seen tokens", call.HoldResult{Answer: call.Fenced, Clock: call.Clock(time.Minute)}, true, true},
		{"another life answers", call.HoldResult{Answer: call.WrongInstance}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := &harness{t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room)}
			h.controller = upstream.New(timing, restoreTime, nil, h.now, h, h, h)
			h.controller.Recall(h.now, lives.Snapshot{Upstream: up})
			earlier := h.holds[0].Token
			qt.Assert(t, earlier >= call.Token(h.now.UnixMilli()), qt.IsTrue)
			h.pass(time.Millisecond)
			h.controller.HoldDone(h.now, h.holds[0], test.answer)
			h.answered = 1
			_, known := h.controller.Snapshot()
			qt.Assert(t, known, qt.Equals, test.known)
			if !test.ready {
				return
			}
			qt.Assert(t, h.holds[len(h.holds)-1].Token > earlier, qt.Equals, test.answer.Answer == call.Fenced)
			h.pass(time.Millisecond)
			h.answerHolds()
			h.controller.EntryLinked(h.now, one)
			h.controller.Flush(h.now)
			qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Clearing)
			h.order(one, 1)
			qt.Assert(t, h.starts, qt.HasLen, 0)
			up.Total.CPU = 1500
			h.controller.Heartbeat(h.now, lives.Heartbeat{Upstream: up, Sequence: 9, Clock: h.clock()})
			h.controller.Flush(h.now)
			qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Ready)
			qt.Assert(t, h.rooms[one].Free, qt.Equals, up.Total)
		})
	}
}

// TestRoomMessagesAreBounded: whatever changes, an agent sends a bounded number of messages a second, however many entries are linked,
// and each entry learns of a change within the keep-alive interval.
func TestRoomMessagesAreBounded(t *testing.T) {
	for _, test := range []struct{ entries, most int }{{2, 250}, {12, 400}, {60, 660}} {
		h := newHarness(t, nil)
		for e := range ident.Incarnation(test.entries) {
			if e+1 > two {
				h.controller.EntryLinked(h.now, e+1)
			}
		}
		h.controller.Flush(h.now)
		h.roomMessages = 0
		for i := range 1000 {
			h.pass(time.Millisecond)
			h.controller.Heartbeat(h.now, lives.Heartbeat{
				Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: int64(2000 + i)}}, Sequence: uint64(2 + i),
			})
			h.controller.Flush(h.now)
		}
		qt.Assert(t, h.roomMessages <= test.most, qt.IsTrue, qt.Commentf("%d messages to %d entries", h.roomMessages, test.entries))
		for e, r := range h.rooms {
			qt.Assert(t, r.Free.CPU >= 2890, qt.IsTrue, qt.Commentf("entry %v was sent %d", e, r.Free.CPU))
		}
	}
}

// TestRoomIsSentInTurn: entries that learn of the same room at once compete for it, so they are told one after the other, and each is the
// first equally often.
func TestRoomIsSentInTurn(t *testing.T) {
	const entries, rounds = 4, 50
	h := newHarness(t, nil)
	for e := range ident.Incarnation(entries) {
		if e+1 > two {
			h.controller.EntryLinked(h.now, e+1)
		}
	}
	h.controller.Flush(h.now)
	first := make(map[ident.Incarnation]int)
	for i := range rounds {
		h.pass(20 * time.Millisecond)
		h.controller.Flush(h.now)
		h.roomMessages = 0
		clear(h.rooms)
		h.controller.Heartbeat(h.now, lives.Heartbeat{
			Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: int64(3000 + i)}}, Sequence: uint64(2 + i),
		})
		for sent := 0; sent < entries; sent++ {
			h.controller.Flush(h.now)
			qt.Assert(t, h.roomMessages <= sent+1, qt.IsTrue, qt.Commentf("%d messages at once", h.roomMessages-sent))
			if sent == 0 {
				for e := range h.rooms {
					first[e]++
				}
			}
			h.now = h.now.Add(3 * time.Millisecond)
		}
		qt.Assert(t, h.rooms, qt.HasLen, entries)
	}
	for e, n := range first {
		qt.Assert(t, n >= rounds/entries-3 && n <= rounds/entries+3, qt.IsTrue, qt.Commentf("entry %v is the first %d times of %d", e, n, rounds))
	}
}

// TestAgentThatLeavesTakesNothing: an agent that leaves accepts no work, not even when its upstream begins a new life in the meantime.
// The new life of an upstream that drained does get work.
func TestAgentThatLeavesTakesNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(h *harness)
		want  fleet.State
	}{
		{"the agent leaves", func(h *harness) { h.controller.Leave() }, fleet.Leaving},
		{"the former life drained", func(h *harness) {
			h.controller.Heartbeat(h.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1"}, Sequence: 2, Draining: true})
		}, fleet.Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.leave(h)
			h.controller.Heartbeat(h.now, lives.Heartbeat{
				Upstream: fleet.Upstream{ID: "u-2", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Second),
			})
			h.answer("u-1", call.WrongInstance)
			h.answerHolds()
			h.answerHolds()
			h.controller.Flush(h.now)
			qt.Assert(t, h.rooms[one].State, qt.Equals, test.want)
		})
	}
}

// TestOvertakenListing: a listing that arrives after a newer one must not bring back a run that has ended since, and a run that it
// doesn't list yet must not count as gone.
func TestOvertakenListing(t *testing.T) {
	for _, test := range []struct {
		name    string
		listing []call.Running
	}{
		{"it lists a run that has ended since", []call.Running{{Task: task, Run: 1, Percent: 50}}},
		{"it doesn't list a run that has started since", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, 0)
			h.pass(time.Millisecond)
			late := call.Hold{Header: h.holds[len(h.holds)-1].Header, Poll: true}
			late.Sent = h.now
			earlier := h.clock()
			h.pass(time.Millisecond)
			h.answered = len(h.holds)
			h.controller.HoldDone(h.now, h.holds[len(h.holds)-1], call.HoldResult{
				Answer: call.OK, Clock: h.clock(), Finished: []call.Finished{{Number: 1, Task: task, Run: 1, Result: call.ResultDone}},
			})
			h.orderBeside(two, 1)
			h.controller.StartDone(h.now, h.starts[1], call.OK, 0)
			h.pass(time.Millisecond)
			h.controller.HoldDone(h.now, late, call.HoldResult{Answer: call.OK, Clock: earlier, Running: test.listing})
			h.pass(10 * time.Millisecond)
			h.controller.Flush(h.now)
			qt.Assert(t, h.stops, qt.HasLen, 0)
			qt.Assert(t, h.ends[two], qt.HasLen, 0)
			qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Ready)
		})
	}
}

// TestListingBeforeTheStop: a run whose start has no answer yet is gone once its stop was answered and a hold that was sent after that
// answer doesn't list it. The answer to an earlier hold proves nothing: it may have been made before the start arrived, and the run takes
// a while to stop.
func TestListingBeforeTheStop(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest)
	h.pass(time.Millisecond)
	early := call.Hold{Header: h.holds[len(h.holds)-1].Header, Poll: true}
	early.Sent = h.now
	h.pass(time.Millisecond)
	h.controller.StopDone(h.now, h.stops[0], call.OK, 0)
	h.pass(time.Millisecond)
	h.controller.HoldDone(h.now, early, call.HoldResult{Answer: call.OK, Clock: h.clock()})
	qt.Assert(t, h.ends[one], qt.HasLen, 0)
	qt.Assert(t, h.controller.RunCount(), qt.Equals, 1)
	h.pass(time.Millisecond)
	h.answerHolds() // the waiting hold was sent before the start
	h.pass(time.Millisecond)
	h.answerHolds()
	qt.Assert(t, h.ends[one], qt.HasLen, 1)
	qt.Assert(t, h.ends[one][0].Outcome, qt.Equals, job.Stopped)
}
