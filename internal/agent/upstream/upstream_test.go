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

// TestOrderForTaskThatRunsWaits: a caller has sent its job again to another entry, while a run of the first entry
// is still there. The second run must not begin before the first has ended; and the first entry is told to give
// the job up, or the two would stop each other's runs for ever.
func TestOrderForTaskThatRunsWaits(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		starts  int
	}{
		{"in force", nil, 1},
		{"left out", rule.Without(rule.SameTaskWaits), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, test.without)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.starts[0].LeaseUntil)
			b.order(two, 2)
			qt.Assert(t, b.starts, qt.HasLen, test.starts)
			if test.without != nil {
				return
			}
			qt.Assert(t, b.stops, qt.HasLen, 1)
			b.manager.StopDone(b.now, b.stops[0], call.OK, b.starts[0].LeaseUntil)
			b.pass(time.Millisecond)
			b.answerHolds() // was sent before the stop was answered: proves nothing
			qt.Assert(t, b.starts, qt.HasLen, 1)
			b.pass(time.Millisecond)
			b.answerHolds()
			qt.Assert(t, b.starts, qt.HasLen, 2)
			qt.Assert(t, b.ends[one], qt.HasLen, 1)
			qt.Assert(t, b.ends[one][0].Reason, qt.Equals, fleet.Superseded)
		})
	}
}

// TestStopsEndThoughAskedAgain: stops are sent again until the upstream lists the end. The answer to a later one
// must not outdate the hold that proves the end: with one every 100 ms, a run that never arrived was waited for
// for ever (schedule 293 of the randomised run).
func TestStopsEndThoughAskedAgain(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.Unanswered, 0)
	b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest)
	for range 20 {
		for _, c := range b.stops {
			b.manager.StopDone(b.now, c, call.OK, 0)
		}
		b.stops = nil
		b.pass(60 * time.Millisecond)
		b.answerHolds()
		b.pass(40 * time.Millisecond)
		b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
		b.manager.Tick(b.now)
		b.manager.Flush(b.now)
	}
	qt.Assert(t, b.manager.RunCount(), qt.Equals, 0)
}

// TestRunsOfOneNumber: a job that begins anew at its entry counts its runs from 1 again. A stop of the former run, told late,
// is answered and leaves the new one alone, and an order of the new one beside the former is not taken for the same.
func TestRunsOfOneNumber(t *testing.T) {
	b := newHarness(t, nil)
	order := func(id fleet.RunID) {
		b.seq++
		b.manager.Order(b.now, one, fleet.Order{
			Seq: b.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1, ID: id}},
		})
	}
	order(6)
	former := ordered(1)
	former.ID = 5
	b.manager.StopTask(b.now, one, former, fleet.OnRequest)
	qt.Assert(t, b.stops, qt.HasLen, 0)
	qt.Assert(t, b.ends[one], qt.DeepEquals, []fleet.End{{Task: task, Run: 1, ID: 5, Outcome: job.NotStarted, Reason: fleet.NotListed}})
	order(6)
	qt.Assert(t, b.stops, qt.HasLen, 0) // the same run
	order(7)
	qt.Assert(t, b.stops, qt.HasLen, 1) // another, for which the former must end
	qt.Assert(t, b.starts, qt.HasLen, 1)
}

// TestRefusals: an order that can't be taken is refused at once, with a reason, and room is as before.
func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(b *harness)
		want  fleet.Reason
	}{
		{"not heard for too long", func(b *harness) { b.pass(timing.Silence) }, fleet.StaleSession},
		{"heard only now, but of long ago", func(b *harness) { b.pass(timing.Silence); b.manager.Ping(b.now, one, time.Millisecond, 0) }, fleet.StaleSession},
		{"leaving", func(b *harness) { b.manager.Leave() }, fleet.NotAccepting},
		{"upstream draining", func(b *harness) {
			b.manager.Heartbeat(b.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1"}, Sequence: 2, Draining: true})
		}, fleet.NotAccepting},
		{"upstream unreachable", func(b *harness) {
			for range 2 {
				b.manager.HoldDone(b.now, b.holds[len(b.holds)-1], call.HoldResult{Answer: call.Unanswered})
			}
		}, fleet.NotAccepting},
		{"something unknown runs there", func(b *harness) { b.answerHolds(call.Running{Task: job.TaskID{Job: 99}, Run: 1}) }, fleet.NotAccepting},
		{"full", func(b *harness) {
			for i := range uint32(2) {
				b.manager.Order(b.now, two, fleet.Order{Job: 50, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Index: i, Run: 1}}})
			}
		}, fleet.NoRoom},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			test.setUp(b)
			b.order(one, 1)
			qt.Assert(t, b.ends[one], qt.DeepEquals, []fleet.End{{Task: task, Run: 1, Outcome: job.NotStarted, Reason: test.want}})
		})
	}
}

// TestUnansweredStartIsLookedInto: a start without an answer, or with one that says nothing of what was done, is settled by a look at
// once, under a higher token, though a hold that waits for an end is under way; a look that answers after a newer one does not bring
// ended runs back.
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
			b := newHarness(t, nil)
			b.order(one, 1)
			before := b.starts[0].Token
			b.manager.StartDone(b.now, b.starts[0], test.answer, 0)
			qt.Assert(t, b.ends[one], qt.HasLen, 0)
			look := b.holds[len(b.holds)-1]
			qt.Assert(t, look.Poll, qt.IsTrue)
			qt.Assert(t, look.Token > before, qt.IsTrue)
			b.pass(time.Millisecond)
			if test.running {
				b.answerHolds(call.Running{Task: task, Run: 1, Percent: 1})
			} else {
				look.Sent = b.now
				b.answered = len(b.holds)
				b.manager.HoldDone(b.now, look, call.HoldResult{Answer: call.OK, Clock: b.clock()})
			}
			qt.Assert(t, b.ends[one], qt.HasLen, test.ends)
		})
	}
}

// TestRecall: an agent that starts knows its upstream from the store. The first call tells whether that life still lives, and which
// tokens it has seen; work waits for a heartbeat, since the room may have shrunk while nobody heard, and for nothing else.
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
			b := &harness{t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room)}
			b.manager = upstream.New(timing, nil, b.now, b, b, b)
			b.manager.Recall(b.now, lives.Snapshot{Upstream: up})
			earlier := b.holds[0].Token
			qt.Assert(t, earlier >= call.Token(b.now.UnixMilli()), qt.IsTrue)
			b.pass(time.Millisecond)
			b.manager.HoldDone(b.now, b.holds[0], test.answer)
			b.answered = 1
			_, known := b.manager.Snapshot()
			qt.Assert(t, known, qt.Equals, test.known)
			if !test.ready {
				return
			}
			qt.Assert(t, b.holds[len(b.holds)-1].Token > earlier, qt.Equals, test.answer.Answer == call.Fenced)
			b.pass(time.Millisecond)
			b.answerHolds()
			b.manager.EntryLinked(b.now, one)
			b.manager.Flush(b.now)
			qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Clearing)
			b.order(one, 1)
			qt.Assert(t, b.starts, qt.HasLen, 0)
			up.Total.CPU = 1500
			b.manager.Heartbeat(b.now, lives.Heartbeat{Upstream: up, Sequence: 9, Clock: b.clock()})
			b.manager.Flush(b.now)
			qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
			qt.Assert(t, b.rooms[one].Free, qt.Equals, up.Total)
		})
	}
}

// TestRoomMessagesAreBounded: whatever changes, an agent sends no more than so many messages a second, however many
// entries are linked, and each of them hears of it within the keep-alive interval.
func TestRoomMessagesAreBounded(t *testing.T) {
	for _, test := range []struct{ entries, most int }{{2, 250}, {12, 400}, {60, 660}} {
		b := newHarness(t, nil)
		for e := range ident.Incarnation(test.entries) {
			if e+1 > two {
				b.manager.EntryLinked(b.now, e+1)
			}
		}
		b.manager.Flush(b.now)
		b.roomMessages = 0
		for i := range 1000 {
			b.pass(time.Millisecond)
			b.manager.Heartbeat(b.now, lives.Heartbeat{
				Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: int64(2000 + i)}}, Sequence: uint64(2 + i),
			})
			b.manager.Flush(b.now)
		}
		qt.Assert(t, b.roomMessages <= test.most, qt.IsTrue, qt.Commentf("%d messages to %d entries", b.roomMessages, test.entries))
		for e, r := range b.rooms {
			qt.Assert(t, r.Free.CPU >= 2890, qt.IsTrue, qt.Commentf("entry %v has heard of %d", e, r.Free.CPU))
		}
	}
}

// TestEntriesAreToldInTurn: entries that hear of the same room at once race for it, so they hear of it one after the other, and
// each is the first as often as the others.
func TestRoomIsSentInTurn(t *testing.T) {
	const entries, rounds = 4, 50
	b := newHarness(t, nil)
	for e := range ident.Incarnation(entries) {
		if e+1 > two {
			b.manager.EntryLinked(b.now, e+1)
		}
	}
	b.manager.Flush(b.now)
	first := make(map[ident.Incarnation]int)
	for i := range rounds {
		b.pass(20 * time.Millisecond)
		b.manager.Flush(b.now)
		b.roomMessages = 0
		clear(b.rooms)
		b.manager.Heartbeat(b.now, lives.Heartbeat{
			Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: int64(3000 + i)}}, Sequence: uint64(2 + i),
		})
		for told := 0; told < entries; told++ {
			b.manager.Flush(b.now)
			qt.Assert(t, b.roomMessages <= told+1, qt.IsTrue, qt.Commentf("%d told at once", b.roomMessages-told))
			if told == 0 {
				for e := range b.rooms {
					first[e]++
				}
			}
			b.now = b.now.Add(3 * time.Millisecond)
		}
		qt.Assert(t, b.rooms, qt.HasLen, entries)
	}
	for e, n := range first {
		qt.Assert(t, n >= rounds/entries-3 && n <= rounds/entries+3, qt.IsTrue, qt.Commentf("entry %v is the first %d times of %d", e, n, rounds))
	}
}

// TestAgentThatLeavesTakesNothing: not even when its upstream begins a new life meanwhile; an upstream that drained does.
func TestAgentThatLeavesTakesNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(b *harness)
		want  fleet.State
	}{
		{"the agent leaves", func(b *harness) { b.manager.Leave() }, fleet.Leaving},
		{"the former life drained", func(b *harness) {
			b.manager.Heartbeat(b.now, lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1"}, Sequence: 2, Draining: true})
		}, fleet.Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			test.leave(b)
			b.manager.Heartbeat(b.now, lives.Heartbeat{
				Upstream: fleet.Upstream{ID: "u-2", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Second),
			})
			b.answer("u-1", call.WrongInstance)
			b.answerHolds()
			b.answerHolds()
			b.manager.Flush(b.now)
			qt.Assert(t, b.rooms[one].State, qt.Equals, test.want)
		})
	}
}

// TestOvertakenListing: a listing that comes after a newer one brings no run back that has ended since, and what it doesn't list yet is
// not taken for gone.
func TestOvertakenListing(t *testing.T) {
	for _, test := range []struct {
		name    string
		listing []call.Running
	}{
		{"it lists a run that has ended since", []call.Running{{Task: task, Run: 1, Percent: 50}}},
		{"it doesn't list a run that has started since", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, 0)
			b.pass(time.Millisecond)
			late := call.Hold{Header: b.holds[len(b.holds)-1].Header, Poll: true}
			late.Sent = b.now
			earlier := b.clock()
			b.pass(time.Millisecond)
			b.answered = len(b.holds)
			b.manager.HoldDone(b.now, b.holds[len(b.holds)-1], call.HoldResult{
				Answer: call.OK, Clock: b.clock(), Finished: []call.Finished{{Number: 1, Task: task, Run: 1, Result: call.ResultDone}},
			})
			b.orderBeside(two, 1)
			b.manager.StartDone(b.now, b.starts[1], call.OK, 0)
			b.pass(time.Millisecond)
			b.manager.HoldDone(b.now, late, call.HoldResult{Answer: call.OK, Clock: earlier, Running: test.listing})
			b.pass(10 * time.Millisecond)
			b.manager.Flush(b.now)
			qt.Assert(t, b.stops, qt.HasLen, 0)
			qt.Assert(t, b.ends[two], qt.HasLen, 0)
			qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
		})
	}
}

// TestListingBeforeTheStop: a run whose start has no answer yet is gone once its stop was answered and a hold that was sent after that
// doesn't list it. One that was sent before may have been listed before the start came, and the run takes a while to stop.
func TestListingBeforeTheStop(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest)
	b.pass(time.Millisecond)
	early := call.Hold{Header: b.holds[len(b.holds)-1].Header, Poll: true}
	early.Sent = b.now
	b.pass(time.Millisecond)
	b.manager.StopDone(b.now, b.stops[0], call.OK, 0)
	b.pass(time.Millisecond)
	b.manager.HoldDone(b.now, early, call.HoldResult{Answer: call.OK, Clock: b.clock()})
	qt.Assert(t, b.ends[one], qt.HasLen, 0)
	qt.Assert(t, b.manager.RunCount(), qt.Equals, 1)
	b.pass(time.Millisecond)
	b.answerHolds() // the hold that waits was sent before all
	b.pass(time.Millisecond)
	b.answerHolds()
	qt.Assert(t, b.ends[one], qt.HasLen, 1)
	qt.Assert(t, b.ends[one][0].Outcome, qt.Equals, job.Stopped)
}
