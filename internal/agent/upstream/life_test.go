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

// beat hands the keeper a heartbeat of a life of the upstream.
func (b *harness) beat(id ident.UpstreamID, sequence uint64) {
	b.manager.Heartbeat(b.now, lives.Heartbeat{
		Upstream: fleet.Upstream{ID: id, Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: sequence, Clock: call.Clock(time.Second),
	})
	b.manager.Flush(b.now)
}

// answer ends the holds that were made of one life; those of others stay unanswered.
func (b *harness) answer(id ident.UpstreamID, a call.Answer) {
	waiting := slices.Clone(b.holds[b.answered:])
	b.holds = b.holds[:b.answered]
	for _, c := range waiting {
		if c.Instance != id {
			b.holds = append(b.holds, c)
			continue
		}
		b.manager.HoldDone(b.now, c, call.HoldResult{Answer: a, Clock: call.Clock(time.Second)})
	}
	b.manager.Flush(b.now)
}

// TestHeartbeatsOfOtherLives: a heartbeat that was held up on the way arrives after its sender has crashed and the next life
// has taken its place. An agent that has never heard of the earlier life must not take it for a new one: it told its
// entries that all runs were gone, so that they were started elsewhere while they ran on, and then ignored the
// heartbeats of the life that lives. The upstream itself says which of two lives stands there.
func TestHeartbeatsOfOtherLives(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		answers []call.Answer
		// starts is at which lives the two orders start; lost is how many runs were given up.
		starts []ident.UpstreamID
		lost   int
	}{
		{"an earlier one", nil, []call.Answer{call.WrongInstance}, []ident.UpstreamID{"u-1", "u-1"}, 0},
		{"an earlier one, after an answer was lost", nil, []call.Answer{call.Unanswered, call.WrongInstance}, []ident.UpstreamID{"u-1", "u-1"}, 0},
		{"the next one", nil, []call.Answer{call.OK, call.OK}, []ident.UpstreamID{"u-1", "u-other"}, 1},
		{"the next one, after two answers were lost", nil, []call.Answer{call.Unanswered, call.Unanswered, call.OK, call.OK}, []ident.UpstreamID{"u-1", "u-other"}, 1},
		{"an earlier one, and the present one looks at tokens first", nil, []call.Answer{call.Fenced, call.WrongInstance}, []ident.UpstreamID{"u-1", "u-1"}, 0},
		{"the next one, which has seen a token", nil, []call.Answer{call.Fenced, call.OK, call.OK}, []ident.UpstreamID{"u-1", "u-other"}, 1},
		{"an earlier one, believed", rule.Without(rule.ConfirmLife), []call.Answer{call.WrongInstance}, []ident.UpstreamID{"u-1"}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, test.without)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
			b.beat("u-other", 1)
			for _, a := range test.answers {
				b.answer("u-other", a)
				b.pass(40 * time.Millisecond)
				b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
				b.manager.Tick(b.now)
				b.manager.Flush(b.now)
			}
			qt.Assert(t, b.ends[one], qt.HasLen, test.lost)
			if test.lost > 0 {
				qt.Assert(t, b.ends[one][0].Reason, qt.Equals, fleet.UpstreamGone)
			}
			b.beat("u-1", 2)
			b.manager.Order(b.now, one, fleet.Order{
				Seq: 9, Job: 8, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1}},
			})
			var starts []ident.UpstreamID
			for _, c := range b.starts {
				starts = append(starts, c.Instance)
			}
			qt.Assert(t, starts, qt.DeepEquals, test.starts)
		})
	}
}

// TestLateWordsOfEarlierLives: an earlier life that was the first to be heard, by its heartbeat or by its word that it has
// ended, does not keep the present one out.
func TestLateMessagesOfEarlierLives(t *testing.T) {
	for _, test := range []struct {
		name string
		late func(b *harness)
	}{
		{"it ends after the present one has begun", func(b *harness) { b.manager.UpstreamLeft(b.now, "u-0") }},
		{"it ends before anything else is heard", func(b *harness) {
			b.manager.UpstreamLeft(b.now, "u-1")
			b.manager.UpstreamLeft(b.now, "u-0")
			b.beat("u-2", 1)
			b.answerHolds()
		}},
		{"its heartbeat comes while none is known", func(b *harness) {
			b.manager.UpstreamLeft(b.now, "u-1")
			b.beat("u-0", 7)
			b.beat("u-2", 1)
			b.answer("u-2", call.OK)
			b.answer("u-0", call.WrongInstance)
			b.pass(time.Millisecond)
			b.manager.Tick(b.now)
			b.answerHolds()
		}},
		{"its heartbeat comes before the present one is recalled", func(b *harness) {
			b.manager.UpstreamLeft(b.now, "u-1")
			b.beat("u-0", 7)
			b.manager.Recall(b.now, lives.Snapshot{Upstream: fleet.Upstream{ID: "u-2", Service: "publish", Total: job.Resources{CPU: 2000}}})
			b.answer("u-2", call.OK)
			b.answerHolds()
			b.beat("u-2", 1) // before it, what was recalled of the room may be out of date
		}},
		{"its heartbeat comes again", func(b *harness) {
			b.beat("u-0", 7)
			b.answer("u-0", call.WrongInstance)
			asked := len(b.holds)
			b.beat("u-0", 8)
			qt.Assert(b.t, b.holds, qt.HasLen, asked)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			test.late(b)
			b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
			b.order(one, 1)
			qt.Assert(t, b.starts, qt.HasLen, 1, qt.Commentf("%v", b.ends[one]))
		})
	}
}

// TestAnswersOfLivesOvertake: the answer of a life that has crashed comes after that of the next one, which was asked as well.
func TestAnswersOfLivesOvertake(t *testing.T) {
	b := newHarness(t, nil)
	b.pass(time.Millisecond)
	b.beat("u-2", 1)
	b.pass(time.Millisecond)
	b.beat("u-3", 1)
	b.pass(time.Millisecond)
	b.answer("u-3", call.OK)
	b.answer("u-2", call.OK)
	b.pass(time.Millisecond)
	b.answer("u-2", call.WrongInstance)
	b.answer("u-3", call.OK)
	up, known := b.manager.Snapshot()
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, up.ID, qt.Equals, ident.UpstreamID("u-3"))
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
}

// beatOf sends a heartbeat of a life of u-1.
func (b *harness) beatOf(born ident.Born, sequence uint64, draining bool) {
	b.manager.Heartbeat(b.now, lives.Heartbeat{
		Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}},
		Born:     born, Sequence: sequence, Clock: call.Clock(time.Second), Draining: draining,
	})
	b.manager.Flush(b.now)
}

// answerOf answers the holds that wait, as a life of u-1 does.
func (b *harness) answerOf(born ident.Born, h call.HoldResult) {
	waiting := b.holds[b.answered:]
	b.answered = len(b.holds)
	h.Answer, h.Born = call.OK, born
	for _, c := range waiting {
		h.Clock = b.clock()
		b.manager.HoldDone(b.now, c, h)
	}
	b.manager.Flush(b.now)
}

// newBornBench returns a Keeper of an upstream whose first life, born at 1, has sent nine heartbeats and listed an end.
func newBornHarness(t *testing.T) *harness {
	b := newHarness(t, nil)
	b.answerOf(1, call.HoldResult{})
	b.beatOf(1, 9, false)
	b.answerOf(1, call.HoldResult{})
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.answerOf(1, call.HoldResult{Finished: []call.Finished{{Number: 317, Task: task, Run: 1, Result: call.ResultDone}}})
	b.ends[one] = nil
	b.pass(time.Millisecond)
	return b
}

// orderOther orders a task of another job than those that newBornBench has ended.
func (b *harness) orderOther(j job.ID) {
	b.seq++
	b.manager.Order(b.now, one, fleet.Order{
		Seq: b.seq, Job: j, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1}},
	})
	b.manager.Flush(b.now)
}

// TestNextLifeUnderTheSameID: what an upstream that starts again says is numbered anew, and nothing that was said of its former life
// counts for it.
func TestNextLifeUnderTheSameID(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(b *harness)
		want fleet.State
	}{
		{"its heartbeat alone proves nothing", func(b *harness) { b.beatOf(2, 1, true) }, fleet.Ready},
		{"it leaves", func(b *harness) {
			b.answerOf(2, call.HoldResult{})
			b.beatOf(2, 1, false)
			b.answerOf(2, call.HoldResult{})
			b.beatOf(2, 2, true)
		}, fleet.Leaving},
		{"its first heartbeat, which says that it leaves, comes before its first answer", func(b *harness) {
			b.beatOf(2, 1, true)
			b.answerOf(2, call.HoldResult{})
		}, fleet.Leaving},
		{"its heartbeats overtake each other", func(b *harness) {
			b.answerOf(2, call.HoldResult{})
			b.beatOf(2, 4, false)
			b.beatOf(2, 3, true)
		}, fleet.Leaving},
		{"it may be of another kind until its heartbeat comes", func(b *harness) { b.answerOf(2, call.HoldResult{}) }, fleet.Clearing},
		{"the former one left", func(b *harness) {
			b.beatOf(1, 10, true)
			b.answerOf(2, call.HoldResult{})
			b.beatOf(2, 1, false)
			b.answerOf(2, call.HoldResult{})
		}, fleet.Ready},
		{"the former one's leaving comes late", func(b *harness) {
			b.answerOf(2, call.HoldResult{})
			b.beatOf(2, 1, false)
			b.answerOf(2, call.HoldResult{})
			b.beatOf(1, 10, true)
			b.answerOf(2, call.HoldResult{})
		}, fleet.Ready},
		{"a word that it has ended stops new work", func(b *harness) { b.manager.UpstreamLeft(b.now, "u-1") }, fleet.Leaving},
		{"that word was a former life's", func(b *harness) {
			b.manager.UpstreamLeft(b.now, "u-1")
			b.answerOf(1, call.HoldResult{})
			b.beatOf(1, 10, false)
		}, fleet.Ready},
		{"a heartbeat that doesn't say whose it is changes nothing", func(b *harness) {
			b.beatOf(0, 20, true)
			b.answerOf(1, call.HoldResult{})
		}, fleet.Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBornHarness(t)
			test.do(b)
			b.pass(100 * time.Millisecond) // news of room are due
			b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
			b.manager.Tick(b.now)
			b.manager.Flush(b.now)
			qt.Assert(t, b.rooms[one].State, qt.Equals, test.want)
			b.orderOther(60)
			accepted := len(b.starts) == 2
			qt.Assert(t, accepted, qt.Equals, test.want == fleet.Ready, qt.Commentf("%v", b.ends[one]))
		})
	}
}

// TestHoldsWhileUnsure: while another life under the same id may have begun, a hold acknowledges no end and extends no lease; and a
// new life's first hold does neither.
func TestHoldsWhileUnsure(t *testing.T) {
	b := newBornHarness(t)
	b.orderOther(61)
	b.answerOf(1, call.HoldResult{})
	last := b.holds[len(b.holds)-1]
	qt.Assert(t, last.Seen, qt.Equals, uint64(317))
	qt.Assert(t, last.LeaseUntil > 0, qt.IsTrue)
	b.manager.HoldDone(b.now, last, call.HoldResult{Answer: call.Unanswered})
	bare := b.holds[len(b.holds)-1]
	qt.Assert(t, bare.Seen, qt.Equals, uint64(0))
	qt.Assert(t, bare.LeaseUntil, qt.Equals, call.Clock(0))
	b.manager.HoldDone(b.now, bare, call.HoldResult{Answer: call.OK, Born: 2, Clock: call.Clock(time.Hour)})
	first := b.holds[len(b.holds)-1]
	qt.Assert(t, first.Born, qt.Equals, ident.Born(2))
	qt.Assert(t, first.Seen, qt.Equals, uint64(0))
	qt.Assert(t, first.Token > bare.Token, qt.IsTrue)
}

// TestRunsAcrossLives: a start that was sent before the next life under the same id was noticed may have reached either. It counts as
// there, and takes room, until the new life has listed what runs; one that the former life has listed is lost at once.
func TestRunsAcrossLives(t *testing.T) {
	listed := []call.Running{{Task: job.TaskID{Job: 62}, Run: 1, Percent: 3}}
	for _, test := range []struct {
		name string
		// before is listed by the former life, after by the new one, ended its list of ends.
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
			b := newBornHarness(t)
			b.orderOther(62)
			b.manager.StartDone(b.now, b.starts[1], call.OK, b.clock())
			b.pass(time.Millisecond)
			if test.before != nil {
				b.answerOf(1, call.HoldResult{Running: test.before})
			}
			b.pass(time.Millisecond)
			b.answerOf(2, call.HoldResult{})
			qt.Assert(t, len(b.ends[one]) > 0, qt.Equals, test.before != nil)
			b.pass(time.Millisecond)
			b.answerOf(2, call.HoldResult{Running: test.after, Finished: test.ended})
			if test.outcome == "" {
				qt.Assert(t, b.ends[one], qt.HasLen, 0)
				qt.Assert(t, b.manager.RunCount(), qt.Equals, 1)
				return
			}
			qt.Assert(t, b.ends[one], qt.HasLen, 1)
			qt.Assert(t, b.ends[one][0].Outcome, qt.Equals, test.outcome)
			qt.Assert(t, b.ends[one][0].Reason, qt.Equals, test.reason)
		})
	}
}

// TestForeignTokensAreOutbid: whatever token an upstream has seen, from a clock that was set back since for example, its agent finds a
// higher one in a few dozen calls.
func TestForeignTokensAreOutbid(t *testing.T) {
	for _, seen := range []call.Token{1, 1 << 20, 1 << 41, 1 << 52} {
		b := newHarness(t, nil)
		calls := 0
		for ; b.holds[len(b.holds)-1].Token < seen; calls++ {
			c := b.holds[len(b.holds)-1]
			b.manager.HoldDone(b.now, c, call.HoldResult{Answer: call.Fenced, Clock: b.clock()})
		}
		qt.Assert(t, calls < 60, qt.IsTrue, qt.Commentf("%d calls to outbid %d", calls, seen))
	}
}

// TestLeavingIsRecalled: that an upstream leaves is known to its agent's next process, though a heartbeat of before, held up on the
// way, comes first.
func TestLeavingIsRecalled(t *testing.T) {
	b := newBornHarness(t)
	b.beatOf(1, 10, true)
	known, ok := b.manager.Snapshot()
	qt.Assert(t, ok, qt.IsTrue)
	for _, beatFirst := range []bool{false, true} {
		next := &harness{t: t, now: b.now, ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room)}
		next.manager = upstream.New(timing, nil, next.now, next, next, next)
		if beatFirst {
			next.beatOf(1, 9, false)
		}
		next.manager.Recall(next.now, known)
		next.answerOf(1, call.HoldResult{})
		next.manager.EntryLinked(next.now, one)
		next.manager.Flush(next.now)
		qt.Assert(t, next.rooms[one].State, qt.Equals, fleet.Leaving)
	}
}

// TestWordOfEndLosesNoRun guards against tasks that run at two upstreams because the word that an upstream has ended was taken for the
// end of its runs: it is sent before the end, which comes seconds later where its acknowledgement is lost.
func TestWordOfEndLosesNoRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// answers are what the holds that follow bring.
		answer call.Answer
		// lost is when the run is given up, at the least and at the most; zero is not at all.
		least, most time.Duration
		reason      fleet.Reason
	}{
		{"it runs on", call.OK, 0, 0, ""},
		{"it ends", call.Unanswered, timing.Lease, 2 * timing.Lease, fleet.LeaseLapsed},
		{"another one stands there", call.WrongInstance, 0, 20 * time.Millisecond, fleet.UpstreamGone},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
			b.answerHolds(call.Running{Task: task, Run: 1, Percent: 1})
			b.manager.UpstreamLeft(b.now, "u-1")
			b.manager.Flush(b.now)
			qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Leaving)
			qt.Assert(t, b.ends[one], qt.HasLen, 0)
			var took time.Duration
			for ; took < time.Second && len(b.ends[one]) == 0; took += 10 * time.Millisecond {
				b.pass(10 * time.Millisecond)
				b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
				if test.answer == call.OK {
					b.answerHolds(call.Running{Task: task, Run: 1, Percent: int(took / (10 * time.Millisecond))})
				} else {
					b.answer("u-1", test.answer)
				}
				b.manager.Tick(b.now)
				b.manager.Flush(b.now)
			}
			if test.reason == "" {
				qt.Assert(t, b.ends[one], qt.HasLen, 0)
				return
			}
			qt.Assert(t, b.ends[one][0].Reason, qt.Equals, test.reason)
			qt.Assert(t, took > test.least && took <= test.most, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}
