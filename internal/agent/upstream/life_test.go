package upstream_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// beat hands the keeper a heartbeat of a life of the upstream.
func (b *bench) beat(id ident.UpstreamID, sequence uint64) {
	b.keeper.Beat(b.now, upstream.Beat{
		Upstream: fleet.Upstream{ID: id, Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: sequence, Clock: call.Clock(time.Second),
	})
	b.keeper.Flush(b.now)
}

// answer ends the holds that were made of one life; those of others stay unanswered.
func (b *bench) answer(id ident.UpstreamID, a call.Answer) {
	waiting := slices.Clone(b.holds[b.answered:])
	b.holds = b.holds[:b.answered]
	for _, c := range waiting {
		if c.Instance != id {
			b.holds = append(b.holds, c)
			continue
		}
		b.keeper.HoldDone(b.now, c, call.Held{Answer: a, Clock: call.Clock(time.Second)})
	}
	b.keeper.Flush(b.now)
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
			b := newBench(t, test.without)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, b.clock())
			b.beat("u-other", 1)
			for _, a := range test.answers {
				b.answer("u-other", a)
				b.pass(40 * time.Millisecond)
				b.keeper.Ping(b.now, one, b.rooms[one].Clock, 0)
				b.keeper.Tick(b.now)
				b.keeper.Flush(b.now)
			}
			qt.Assert(t, b.ends[one], qt.HasLen, test.lost)
			if test.lost > 0 {
				qt.Assert(t, b.ends[one][0].Reason, qt.Equals, fleet.UpstreamGone)
			}
			b.beat("u-1", 2)
			b.keeper.Order(b.now, one, fleet.Order{
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
func TestLateWordsOfEarlierLives(t *testing.T) {
	for _, test := range []struct {
		name string
		late func(b *bench)
	}{
		{"it ends after the present one has begun", func(b *bench) { b.keeper.Left(b.now, "u-0") }},
		{"it ends before anything else is heard", func(b *bench) {
			b.keeper.Left(b.now, "u-1")
			b.keeper.Left(b.now, "u-0")
			b.beat("u-2", 1)
			b.look()
		}},
		{"its heartbeat comes while none is known", func(b *bench) {
			b.keeper.Left(b.now, "u-1")
			b.beat("u-0", 7)
			b.beat("u-2", 1)
			b.answer("u-2", call.OK)
			b.answer("u-0", call.WrongInstance)
			b.pass(time.Millisecond)
			b.keeper.Tick(b.now)
			b.look()
		}},
		{"its heartbeat comes before the present one is recalled", func(b *bench) {
			b.keeper.Left(b.now, "u-1")
			b.beat("u-0", 7)
			b.keeper.Recall(b.now, fleet.Upstream{ID: "u-2", Service: "publish", Total: job.Resources{CPU: 2000}})
			b.answer("u-2", call.OK)
			b.look()
		}},
		{"its heartbeat comes again", func(b *bench) {
			b.beat("u-0", 7)
			b.answer("u-0", call.WrongInstance)
			asked := len(b.holds)
			b.beat("u-0", 8)
			qt.Assert(b.t, b.holds, qt.HasLen, asked)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			test.late(b)
			b.keeper.Ping(b.now, one, b.rooms[one].Clock, 0)
			b.order(one, 1)
			qt.Assert(t, b.starts, qt.HasLen, 1, qt.Commentf("%v", b.ends[one]))
		})
	}
}

// TestAnswersOfLivesOvertake: the answer of a life that has crashed comes after that of the next one, which was asked as well.
func TestAnswersOfLivesOvertake(t *testing.T) {
	b := newBench(t, nil)
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
	up, known := b.keeper.Known()
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, up.ID, qt.Equals, ident.UpstreamID("u-3"))
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
}
