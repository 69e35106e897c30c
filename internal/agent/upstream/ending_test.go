package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// TestEndingDescribesItsStop: the reported end of a run says why and since when the run was stopped, when the upstream first answered the
// stop, and which entry has ordered the task again.
func TestEndingDescribesItsStop(t *testing.T) {
	stopped := func(cause upstream.StopCause, unwanted bool) *upstream.Stop {
		s := &upstream.Stop{Cause: cause, AskedAgo: 30 * time.Millisecond, AnsweredAgo: 20 * time.Millisecond, IsAnswered: true, Unwanted: unwanted}
		if unwanted {
			s.UnwantedFor = s.AskedAgo
		}
		return s
	}
	for _, test := range []struct {
		name   string
		stop   func(h *harness)
		result call.Result
		want   upstream.Ending
	}{
		{"nobody asks", func(*harness) {}, call.ResultDone, upstream.Ending{}},
		{"its entry", func(h *harness) { h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest) }, call.ResultStopped, upstream.Ending{
			Stop: stopped("on_request", true),
		}},
		{"its entry, for another place", func(h *harness) { h.controller.StopTask(h.now, one, ordered(1), fleet.Moved) }, call.ResultStopped, upstream.Ending{
			Stop: stopped("moved", false),
		}},
		{"its entry, and it ends well meanwhile", func(h *harness) { h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest) }, call.ResultDone, upstream.Ending{
			Stop: stopped("on_request", true),
		}},
		{"its entry has gone", func(h *harness) {
			h.controller.EntryUnlinked(h.now, one, "link_down")
			h.controller.EntryGone(h.now, one, "refused")
		}, call.ResultStopped, upstream.Ending{
			Stop: stopped("refused", true), OwnerUnlinked: true,
		}},
		{"its entry is not linked", func(h *harness) { h.controller.EntryUnlinked(h.now, one, "link_down") }, call.ResultDone, upstream.Ending{OwnerUnlinked: true}},
		{"another entry has taken its job over", func(h *harness) { h.controller.QueryEnds(h.now, two, 1, []job.ID{jobID}) }, call.ResultStopped, upstream.Ending{
			Stop: stopped(upstream.TakenOver, true),
		}},
		{"another entry has ordered its task", func(h *harness) { h.order(two, 2) }, call.ResultStopped, upstream.Ending{
			Stop: stopped(upstream.SentAgain, false), Successor: two,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			h.pass(50 * time.Millisecond)
			test.stop(h)
			h.pass(10 * time.Millisecond)
			for _, c := range h.stops {
				h.controller.StopDone(h.now, c, call.OK, h.clock())
			}
			h.pass(20 * time.Millisecond)
			h.end(test.result)
			qt.Assert(t, h.endings, qt.HasLen, 1)
			got := h.endings[0]
			qt.Assert(t, got.Owner, qt.Equals, one)
			qt.Assert(t, got.StartedAgo, qt.Equals, 80*time.Millisecond)
			qt.Assert(t, got.Stop, qt.DeepEquals, test.want.Stop)
			qt.Assert(t, got.Successor, qt.Equals, test.want.Successor)
			qt.Assert(t, got.OwnerUnlinked, qt.Equals, test.want.OwnerUnlinked)
		})
	}
}

// TestEndingOfStopWithoutAnswer: the reported end of a run says that its stop was not answered, and since when the run was unwanted.
func TestEndingOfStopWithoutAnswer(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	h.controller.StopTask(h.now, one, ordered(1), fleet.Moved)
	h.pass(25 * time.Millisecond)
	h.controller.StopTask(h.now, one, ordered(1), fleet.OnRequest)
	h.pass(15 * time.Millisecond)
	h.end(call.ResultStopped)
	qt.Assert(t, h.endings, qt.HasLen, 1)
	qt.Assert(t, h.endings[0].Stop, qt.DeepEquals, &upstream.Stop{
		Cause: "moved", AskedAgo: 40 * time.Millisecond, Unwanted: true, UnwantedFor: 15 * time.Millisecond,
	})
}

// TestUnconfirmedEnds: when a link ends, those ends are reported that the entry may not have received. These are the ends that were sent
// after the newest clock reading that the entry has echoed.
func TestUnconfirmedEnds(t *testing.T) {
	for _, test := range []struct {
		name string
		// echoes: the entry echoes the newest reading after the end.
		echoes bool
		start  call.Answer
		want   []job.Outcome
	}{
		{"confirmed", true, call.OK, nil},
		{"not confirmed", false, call.OK, []job.Outcome{job.Done}},
		{"not started", false, call.Full, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], test.start, h.clock())
			h.pass(50 * time.Millisecond)
			h.end(call.ResultDone)
			h.controller.Flush(h.now)
			h.pass(10 * time.Millisecond)
			if test.echoes {
				h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
			}
			for range 2 {
				h.controller.EntryUnlinked(h.now, one, "link_down")
			}
			var got []job.Outcome
			for _, e := range h.unconfirmed {
				got = append(got, e.Outcome)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestOrphaningLatenessIsReported: it is reported by how much the runs of a silent entry are stopped late.
func TestOrphaningLatenessIsReported(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(h *harness)
		late []time.Duration
	}{
		{"silent, in time", func(h *harness) { h.pass(timing.Silence); h.controller.Tick(h.now) }, []time.Duration{0}},
		{"silent, late", func(h *harness) { h.pass(timing.Silence + 70*time.Millisecond); h.controller.Tick(h.now) }, []time.Duration{70 * time.Millisecond}},
		{"refused at once", func(h *harness) {
			h.controller.EntryUnlinked(h.now, one, "link_down")
			h.controller.EntryGone(h.now, one, "refused")
		}, []time.Duration{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.order(one, 1)
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			test.do(h)
			qt.Assert(t, h.lateness, qt.DeepEquals, test.late)
		})
	}
}

// TestLapseIsReported: the lapse of a lease is reported with how late it was noticed.
func TestLapseIsReported(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	for range 2 {
		h.controller.HoldDone(h.now, h.holds[len(h.holds)-1], call.HoldResult{Answer: call.Unanswered})
	}
	h.pass(timing.Lease) // the upstream's clock may be slow, and lease.KillMargin is not over
	h.controller.Tick(h.now)
	qt.Assert(t, h.lateness, qt.DeepEquals, []time.Duration{0}) // the orphaning: its entry is silent
	h.pass(time.Second)
	h.controller.Tick(h.now)
	qt.Assert(t, h.lateness, qt.HasLen, 2)
	want := time.Duration(float64(timing.Lease+time.Second)/fleet.MaxClockRatio) - timing.Lease - 50*time.Millisecond
	qt.Assert(t, (h.lateness[1]-want).Abs() < 2*time.Millisecond, qt.IsTrue, qt.Commentf("%v, not %v", h.lateness[1], want))
}

// TestStraysAreReported: a run that the agent has no record of is reported once when it is found, and once when it is gone.
func TestStraysAreReported(t *testing.T) {
	h := newHarness(t, nil)
	stray := call.Running{Task: task, Run: 3}
	h.answerHolds(stray)
	h.answerHolds(stray)
	qt.Assert(t, h.strays, qt.DeepEquals, []upstream.StrayEvent{upstream.StrayFound})
	h.controller.StopDone(h.now, h.stops[0], call.OK, h.clock())
	h.answerHolds() // this hold was sent before the stop was answered
	h.pass(time.Millisecond)
	h.answerHolds()
	h.pass(time.Millisecond)
	h.answerHolds()
	qt.Assert(t, h.strays, qt.DeepEquals, []upstream.StrayEvent{upstream.StrayFound, upstream.StrayGone})
}
