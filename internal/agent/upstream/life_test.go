package upstream_test

import (
	"slices"
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

// beat sends the Controller a heartbeat of a life of the upstream.
func (h *harness) beat(id ident.UpstreamID, sequence uint64) {
	h.controller.Heartbeat(h.now, lives.Heartbeat{
		Upstream: fleet.Upstream{ID: id, Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: sequence, Clock: call.Clock(time.Second),
	})
	h.controller.Flush(h.now)
}

// answer answers the waiting holds that were made of one life; those of other lives go on waiting.
func (h *harness) answer(id ident.UpstreamID, a call.Answer) {
	waiting := slices.Clone(h.holds[h.answered:])
	h.holds = h.holds[:h.answered]
	for _, c := range waiting {
		if c.Instance != id {
			h.holds = append(h.holds, c)
			continue
		}
		h.controller.HoldDone(h.now, c, call.HoldResult{Answer: a, Clock: call.Clock(time.Second)})
	}
	h.controller.Flush(h.now)
}

// TestHeartbeatsOfOtherLives guards against runs that go on while they are started elsewhere. A delayed heartbeat may arrive after its
// sender has crashed and the next life has begun. An agent that didn't know the earlier life took it for a new one, reported all runs as
// lost, and then ignored the heartbeats of the present life. The upstream itself has to answer which of two lives is present.
func TestHeartbeatsOfOtherLives(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		answers []call.Answer
		// starts lists the lives at which the two orders start; lost is how many runs were given up.
		starts []ident.UpstreamID
		lost   int
	}{
		{"an earlier one", nil, []call.Answer{call.WrongInstance}, []ident.UpstreamID{"u-1", "u-1"}, 0},
		{"an earlier one, after an answer was lost", nil, []call.Answer{call.Unanswered, call.WrongInstance}, []ident.UpstreamID{"u-1", "u-1"}, 0},
		{"the next one", nil, []call.Answer{call.OK, call.OK}, []ident.UpstreamID{"u-1", "u-other"}, 1},
		{"the next one, after two answers were lost", nil, []call.Answer{call.Unanswered, call.Unanswered, call.OK, call.OK}, []ident.UpstreamID{"u-1", "u-other"}, 1},
		{"an earlier one, and the present one checks tokens first", nil, []call.Answer{call.Fenced, call.WrongInstance}, []ident.UpstreamID{"u-1", "u-1"}, 0},
		{"the next one, which has seen a token", nil, []call.Answer{call.Fenced, call.OK, call.OK}, []ident.UpstreamID{"u-1", "u-other"}, 1},
		{"an earlier one, trusted", rule.Without(rule.ConfirmLife), []call.Answer{call.WrongInstance}, []ident.UpstreamID{"u-1"}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.without)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			h.beat("u-other", 1)
			for _, a := range test.answers {
				h.answer("u-other", a)
				h.pass(40 * time.Millisecond)
				h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
				h.controller.Tick(h.now)
				h.controller.Flush(h.now)
			}
			qt.Assert(t, h.ends[one], qt.HasLen, test.lost)
			if test.lost > 0 {
				qt.Assert(t, h.ends[one][0].Reason, qt.Equals, fleet.UpstreamGone)
			}
			h.beat("u-1", 2)
			h.controller.Order(h.now, one, fleet.Order{
				Seq: 9, Job: 8, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1}},
			})
			var starts []ident.UpstreamID
			for _, c := range h.starts {
				starts = append(starts, c.Instance)
			}
			qt.Assert(t, starts, qt.DeepEquals, test.starts)
		})
	}
}

// TestLateMessagesOfEarlierLives: an earlier life whose heartbeat, or whose message that it has ended, comes first doesn't keep the
// present life out.
func TestLateMessagesOfEarlierLives(t *testing.T) {
	for _, test := range []struct {
		name string
		late func(h *harness)
	}{
		{"it ends after the present one has begun", func(h *harness) { h.controller.UpstreamLeft(h.now, "u-0") }},
		{"it ends before any other message comes", func(h *harness) {
			h.controller.UpstreamLeft(h.now, "u-1")
			h.controller.UpstreamLeft(h.now, "u-0")
			h.beat("u-2", 1)
			h.answerHolds()
		}},
		{"its heartbeat comes while none is known", func(h *harness) {
			h.controller.UpstreamLeft(h.now, "u-1")
			h.beat("u-0", 7)
			h.beat("u-2", 1)
			h.answer("u-2", call.OK)
			h.answer("u-0", call.WrongInstance)
			h.pass(time.Millisecond)
			h.controller.Tick(h.now)
			h.answerHolds()
		}},
		{"its heartbeat comes before the present one is recalled", func(h *harness) {
			h.controller.UpstreamLeft(h.now, "u-1")
			h.beat("u-0", 7)
			h.controller.Recall(h.now, lives.Snapshot{Upstream: fleet.Upstream{ID: "u-2", Service: "publish", Total: job.Resources{CPU: 2000}}})
			h.answer("u-2", call.OK)
			h.answerHolds()
			h.beat("u-2", 1) // until this heartbeat, the recalled room may be out of date
		}},
		{"its heartbeat comes again", func(h *harness) {
			h.beat("u-0", 7)
			h.answer("u-0", call.WrongInstance)
			asked := len(h.holds)
			h.beat("u-0", 8)
			qt.Assert(h.t, h.holds, qt.HasLen, asked)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.late(h)
			h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
			h.order(one, 1)
			qt.Assert(t, h.starts, qt.HasLen, 1, qt.Commentf("%v", h.ends[one]))
		})
	}
}

// TestAnswersOfLivesOvertake: the answer of a life that has crashed comes after that of the next life, which was queried as well.
func TestAnswersOfLivesOvertake(t *testing.T) {
	h := newHarness(t, nil)
	h.pass(time.Millisecond)
	h.beat("u-2", 1)
	h.pass(time.Millisecond)
	h.beat("u-3", 1)
	h.pass(time.Millisecond)
	h.answer("u-3", call.OK)
	h.answer("u-2", call.OK)
	h.pass(time.Millisecond)
	h.answer("u-2", call.WrongInstance)
	h.answer("u-3", call.OK)
	up, known := h.controller.Snapshot()
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, up.ID, qt.Equals, ident.UpstreamID("u-3"))
	qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Ready)
}

// beatOf sends a heartbeat of a life of u-1.
func (h *harness) beatOf(born ident.Born, sequence uint64, draining bool) {
	h.controller.Heartbeat(h.now, lives.Heartbeat{
		Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}},
		Born:     born, Sequence: sequence, Clock: call.Clock(time.Second), Draining: draining,
	})
	h.controller.Flush(h.now)
}

// answerOf answers the waiting holds as a life of u-1.
func (h *harness) answerOf(born ident.Born, result call.HoldResult) {
	waiting := h.holds[h.answered:]
	h.answered = len(h.holds)
	result.Answer, result.Born = call.OK, born
	for _, c := range waiting {
		result.Clock = h.clock()
		h.controller.HoldDone(h.now, c, result)
	}
	h.controller.Flush(h.now)
}

// newBornHarness returns a harness whose upstream's first life, born at 1, has sent nine heartbeats and listed an end.
func newBornHarness(t *testing.T) *harness {
	h := newHarness(t, nil)
	h.answerOf(1, call.HoldResult{})
	h.beatOf(1, 9, false)
	h.answerOf(1, call.HoldResult{})
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	h.answerOf(1, call.HoldResult{Finished: []call.Finished{{Number: 317, Task: task, Run: 1, Result: call.ResultDone}}})
	h.ends[one] = nil
	h.pass(time.Millisecond)
	return h
}

// orderOther orders a task of a job other than the one that has ended in newBornHarness.
func (h *harness) orderOther(j job.ID) {
	h.seq++
	h.controller.Order(h.now, one, fleet.Order{
		Seq: h.seq, Job: j, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1}},
	})
	h.controller.Flush(h.now)
}

// TestNextLifeUnderTheSameID: an upstream that starts again numbers everything anew, and nothing that was said about its former life
// applies to it.
func TestNextLifeUnderTheSameID(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(h *harness)
		want fleet.State
	}{
		{"its heartbeat alone proves nothing", func(h *harness) { h.beatOf(2, 1, true) }, fleet.Ready},
		{"it drains", func(h *harness) {
			h.answerOf(2, call.HoldResult{})
			h.beatOf(2, 1, false)
			h.answerOf(2, call.HoldResult{})
			h.beatOf(2, 2, true)
		}, fleet.Leaving},
		{"its first heartbeat, which says that it drains, comes before its first answer", func(h *harness) {
			h.beatOf(2, 1, true)
			h.answerOf(2, call.HoldResult{})
		}, fleet.Leaving},
		{"its heartbeats arrive out of order", func(h *harness) {
			h.answerOf(2, call.HoldResult{})
			h.beatOf(2, 4, false)
			h.beatOf(2, 3, true)
		}, fleet.Leaving},
		{"it may be of another kind until its heartbeat comes", func(h *harness) { h.answerOf(2, call.HoldResult{}) }, fleet.Clearing},
		{"the former one drained", func(h *harness) {
			h.beatOf(1, 10, true)
			h.answerOf(2, call.HoldResult{})
			h.beatOf(2, 1, false)
			h.answerOf(2, call.HoldResult{})
		}, fleet.Ready},
		{"the former one's last heartbeat comes late", func(h *harness) {
			h.answerOf(2, call.HoldResult{})
			h.beatOf(2, 1, false)
			h.answerOf(2, call.HoldResult{})
			h.beatOf(1, 10, true)
			h.answerOf(2, call.HoldResult{})
		}, fleet.Ready},
		{"a message that it has ended stops new work", func(h *harness) { h.controller.UpstreamLeft(h.now, "u-1") }, fleet.Leaving},
		{"that message was a former life's", func(h *harness) {
			h.controller.UpstreamLeft(h.now, "u-1")
			h.answerOf(1, call.HoldResult{})
			h.beatOf(1, 10, false)
		}, fleet.Ready},
		{"a heartbeat without a birth time changes nothing", func(h *harness) {
			h.beatOf(0, 20, true)
			h.answerOf(1, call.HoldResult{})
		}, fleet.Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newBornHarness(t)
			test.do(h)
			h.pass(100 * time.Millisecond) // a message about room is due
			h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
			h.controller.Tick(h.now)
			h.controller.Flush(h.now)
			qt.Assert(t, h.rooms[one].State, qt.Equals, test.want)
			h.orderOther(60)
			accepted := len(h.starts) == 2
			qt.Assert(t, accepted, qt.Equals, test.want == fleet.Ready, qt.Commentf("%v", h.ends[one]))
		})
	}
}

// TestHoldsWhileUnsure: while another life under the same id may have begun, a hold acknowledges no ends and extends no lease. Neither
// does the first hold for a new life.
func TestHoldsWhileUnsure(t *testing.T) {
	h := newBornHarness(t)
	h.orderOther(61)
	h.answerOf(1, call.HoldResult{})
	last := h.holds[len(h.holds)-1]
	qt.Assert(t, last.Seen, qt.Equals, uint64(317))
	qt.Assert(t, last.LeaseUntil > 0, qt.IsTrue)
	h.controller.HoldDone(h.now, last, call.HoldResult{Answer: call.Unanswered})
	bare := h.holds[len(h.holds)-1]
	qt.Assert(t, bare.Seen, qt.Equals, uint64(0))
	qt.Assert(t, bare.LeaseUntil, qt.Equals, call.Clock(0))
	h.controller.HoldDone(h.now, bare, call.HoldResult{Answer: call.OK, Born: 2, Clock: call.Clock(time.Hour)})
	first := h.holds[len(h.holds)-1]
	qt.Assert(t, first.Born, qt.Equals, ident.Born(2))
	qt.Assert(t, first.Seen, qt.Equals, uint64(0))
	qt.Assert(t, first.Token > bare.Token, qt.IsTrue)
}

// TestRunsAcrossLives: a start that was sent before the next life under the same id was noticed may have reached either life. The run
// counts as present, and takes room, until the new life has listed what runs. A run that the former life has listed is lost at once.
func TestRunsAcrossLives(t *testing.T) {
	listed := []call.Running{{Task: job.TaskID{Job: 62}, Run: 1, Percent: 3}}
	for _, test := range []struct {
		name string
		// before is listed by the former life, after by the new one; ended is the new life's list of ends.
		before, after []call.Running
		ended         []call.Finished
		outcome       job.Outcome
		reason        fleet.Reason
	}{
		{"listed by the former", listed, nil, nil, job.Lost, fleet.UpstreamGone},
		{"listed by the new one", nil, listed, nil, "", ""},
		{"listed by neither", nil, nil, nil, job.Lost, fleet.UpstreamGone},
		{"done at the new one", nil, nil, []call.Finished{{Number: 1, Task: job.TaskID{Job: 62}, Run: 1, Result: call.ResultDone}}, job.Done, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newBornHarness(t)
			h.orderOther(62)
			h.controller.StartDone(h.now, h.starts[1], call.OK, h.clock())
			h.pass(time.Millisecond)
			if test.before != nil {
				h.answerOf(1, call.HoldResult{Running: test.before})
			}
			h.pass(time.Millisecond)
			h.answerOf(2, call.HoldResult{})
			qt.Assert(t, len(h.ends[one]) > 0, qt.Equals, test.before != nil)
			h.pass(time.Millisecond)
			h.answerOf(2, call.HoldResult{Running: test.after, Finished: test.ended})
			if test.outcome == "" {
				qt.Assert(t, h.ends[one], qt.HasLen, 0)
				qt.Assert(t, h.controller.RunCount(), qt.Equals, 1)
				return
			}
			qt.Assert(t, h.ends[one], qt.HasLen, 1)
			qt.Assert(t, h.ends[one][0].Outcome, qt.Equals, test.outcome)
			qt.Assert(t, h.ends[one][0].Reason, qt.Equals, test.reason)
		})
	}
}

// TestForeignTokensAreOutbid: whatever token an upstream has seen, for example one from a clock that was set back since, its agent finds
// a higher one in a few dozen calls.
func TestForeignTokensAreOutbid(t *testing.T) {
	for _, seen := range []call.Token{1, 1 << 20, 1 << 41, 1 << 52} {
		h := newHarness(t, nil)
		calls := 0
		for ; h.holds[len(h.holds)-1].Token < seen; calls++ {
			c := h.holds[len(h.holds)-1]
			h.controller.HoldDone(h.now, c, call.HoldResult{Answer: call.Fenced, Clock: h.clock()})
		}
		qt.Assert(t, calls < 60, qt.IsTrue, qt.Commentf("%d calls to outbid %d", calls, seen))
	}
}

// TestLeavingIsRecalled: the agent's next incarnation knows that an upstream drains, even if a delayed heartbeat from before arrives first.
func TestLeavingIsRecalled(t *testing.T) {
	h := newBornHarness(t)
	h.beatOf(1, 10, true)
	known, ok := h.controller.Snapshot()
	qt.Assert(t, ok, qt.IsTrue)
	for _, beatFirst := range []bool{false, true} {
		next := &harness{t: t, now: h.now, ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room)}
		next.controller = upstream.New(timing, restoreTime, nil, next.now, next, next, next)
		if beatFirst {
			next.beatOf(1, 9, false)
		}
		next.controller.Recall(next.now, known)
		next.answerOf(1, call.HoldResult{})
		next.controller.EntryLinked(next.now, one)
		next.controller.Flush(next.now)
		qt.Assert(t, next.rooms[one].State, qt.Equals, fleet.Leaving)
	}
}

// TestWordOfEndLosesNoRun guards against tasks that run on two upstreams because an upstream's message that it has ended was taken for
// the end of its runs. The message is sent before the upstream ends, and seconds before if its acknowledgement is lost.
func TestWordOfEndLosesNoRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer is the answer to the holds that follow.
		answer call.Answer
		// least and most bound the time after which the run is given up; zero if it is not given up.
		least, most time.Duration
		reason      fleet.Reason
	}{
		{"it runs on", call.OK, 0, 0, ""},
		{"it ends", call.Unanswered, timing.Lease, 2 * timing.Lease, fleet.LeaseLapsed},
		{"another life is there", call.WrongInstance, 0, 20 * time.Millisecond, fleet.UpstreamGone},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			h.answerHolds(call.Running{Task: task, Run: 1, Percent: 1})
			h.controller.UpstreamLeft(h.now, "u-1")
			h.controller.Flush(h.now)
			qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Leaving)
			qt.Assert(t, h.ends[one], qt.HasLen, 0)
			var took time.Duration
			for ; took < time.Second && len(h.ends[one]) == 0; took += 10 * time.Millisecond {
				h.pass(10 * time.Millisecond)
				h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
				if test.answer == call.OK {
					h.answerHolds(call.Running{Task: task, Run: 1, Percent: int(took / (10 * time.Millisecond))})
				} else {
					h.answer("u-1", test.answer)
				}
				h.controller.Tick(h.now)
				h.controller.Flush(h.now)
			}
			if test.reason == "" {
				qt.Assert(t, h.ends[one], qt.HasLen, 0)
				return
			}
			qt.Assert(t, h.ends[one][0].Reason, qt.Equals, test.reason)
			qt.Assert(t, took > test.least && took <= test.most, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}
