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

// TestEndingTellsOfItsStop: whoever hears of the end of a run also hears why it was stopped, since when, when the upstream first
// answered, and who has ordered its task anew.
func TestEndingDescribesItsStop(t *testing.T) {
	stopped := func(cause upstream.StopCause, unwanted bool) *upstream.Stop {
		s := &upstream.Stop{Cause: cause, AskedAgo: 30 * time.Millisecond, AnsweredAgo: 20 * time.Millisecond, IsAnswered: true, Unwanted: unwanted}
		if unwanted {
			s.UnwantedFor = s.AskedAgo
		}
		return s
	}
	for _, test := range []struct {
		name string
		stop func(b *harness)
		how  call.Result
		want upstream.Ending
	}{
		{"nobody asks", func(*harness) {}, call.ResultDone, upstream.Ending{}},
		{"its entry", func(b *harness) { b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest) }, call.ResultStopped, upstream.Ending{
			Stop: stopped("on_request", true),
		}},
		{"its entry, for another place", func(b *harness) { b.manager.StopTask(b.now, one, ordered(1), fleet.Moved) }, call.ResultStopped, upstream.Ending{
			Stop: stopped("moved", false),
		}},
		{"its entry, and it ends well meanwhile", func(b *harness) { b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest) }, call.ResultDone, upstream.Ending{
			Stop: stopped("on_request", true),
		}},
		{"its entry has gone", func(b *harness) {
			b.manager.EntryUnlinked(b.now, one, "link_down")
			b.manager.EntryGone(b.now, one, "refused")
		}, call.ResultStopped, upstream.Ending{
			Stop: stopped("refused", true), OwnerUnlinked: true,
		}},
		{"its entry is out of hearing", func(b *harness) { b.manager.EntryUnlinked(b.now, one, "link_down") }, call.ResultDone, upstream.Ending{OwnerUnlinked: true}},
		{"another entry has taken its job over", func(b *harness) { b.manager.QueryEnds(b.now, two, 1, []job.ID{jobID}) }, call.ResultStopped, upstream.Ending{
			Stop: stopped(upstream.TakenOver, true),
		}},
		{"another entry has ordered its task", func(b *harness) { b.order(two, 2) }, call.ResultStopped, upstream.Ending{
			Stop: stopped(upstream.SentAgain, false), Successor: two,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
			b.pass(50 * time.Millisecond)
			test.stop(b)
			b.pass(10 * time.Millisecond)
			for _, c := range b.stops {
				b.manager.StopDone(b.now, c, call.OK, b.clock())
			}
			b.pass(20 * time.Millisecond)
			b.end(test.how)
			qt.Assert(t, b.endings, qt.HasLen, 1)
			got := b.endings[0]
			qt.Assert(t, got.Owner, qt.Equals, one)
			qt.Assert(t, got.StartedAgo, qt.Equals, 80*time.Millisecond)
			qt.Assert(t, got.Stop, qt.DeepEquals, test.want.Stop)
			qt.Assert(t, got.Successor, qt.Equals, test.want.Successor)
			qt.Assert(t, got.OwnerUnlinked, qt.Equals, test.want.OwnerUnlinked)
		})
	}
}

// TestEndingOfStopWithoutAnswer: a stop that the upstream has not answered is told as such, and from when on it was urgent.
func TestEndingOfStopWithoutAnswer(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.manager.StopTask(b.now, one, ordered(1), fleet.Moved)
	b.pass(25 * time.Millisecond)
	b.manager.StopTask(b.now, one, ordered(1), fleet.OnRequest)
	b.pass(15 * time.Millisecond)
	b.end(call.ResultStopped)
	qt.Assert(t, b.endings, qt.HasLen, 1)
	qt.Assert(t, b.endings[0].Stop, qt.DeepEquals, &upstream.Stop{
		Cause: "moved", AskedAgo: 40 * time.Millisecond, Unwanted: true, UnwantedFor: 15 * time.Millisecond,
	})
}

// TestUnconfirmedEnds: when a link ends, those ends are told that the entry may not have heard of: it has returned no reading of the agent's
// clock that was sent after them.
func TestUnconfirmedEnds(t *testing.T) {
	for _, test := range []struct {
		name string
		// echoes: the entry returns the newest reading after the end.
		echoes bool
		start  call.Answer
		want   []job.Outcome
	}{
		{"confirmed", true, call.OK, nil},
		{"not confirmed", false, call.OK, []job.Outcome{job.Done}},
		{"not started", false, call.Full, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], test.start, b.clock())
			b.pass(50 * time.Millisecond)
			b.end(call.ResultDone)
			b.manager.Flush(b.now)
			b.pass(10 * time.Millisecond)
			if test.echoes {
				b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
			}
			for range 2 {
				b.manager.EntryUnlinked(b.now, one, "link_down")
			}
			var got []job.Outcome
			for _, e := range b.unconfirmed {
				got = append(got, e.Outcome)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestLatenessIsTold: by how much the runs of a silent entry are given up late, and a lease is taken for lapsed.
func TestOrphaningLatenessIsReported(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(b *harness)
		late []time.Duration
	}{
		{"silent, in time", func(b *harness) { b.pass(timing.Silence); b.manager.Tick(b.now) }, []time.Duration{0}},
		{"silent, late", func(b *harness) { b.pass(timing.Silence + 70*time.Millisecond); b.manager.Tick(b.now) }, []time.Duration{70 * time.Millisecond}},
		{"refused at once", func(b *harness) {
			b.manager.EntryUnlinked(b.now, one, "link_down")
			b.manager.EntryGone(b.now, one, "refused")
		}, []time.Duration{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.order(one, 1)
			b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
			test.do(b)
			qt.Assert(t, b.lateness, qt.DeepEquals, test.late)
		})
	}
}

// TestLapseIsTold: with how late it was noticed.
func TestLapseIsReported(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	for range 2 {
		b.manager.HoldDone(b.now, b.holds[len(b.holds)-1], call.HoldResult{Answer: call.Unanswered})
	}
	b.pass(timing.Lease) // the lease, by a clock that may run slow, and the time to kill are not over
	b.manager.Tick(b.now)
	qt.Assert(t, b.lateness, qt.DeepEquals, []time.Duration{0}) // its entry has fallen silent
	b.pass(time.Second)
	b.manager.Tick(b.now)
	qt.Assert(t, b.lateness, qt.HasLen, 2)
	want := time.Duration(float64(timing.Lease+time.Second)/fleet.MaxClockRatio) - timing.Lease - 50*time.Millisecond
	qt.Assert(t, (b.lateness[1]-want).Abs() < 2*time.Millisecond, qt.IsTrue, qt.Commentf("%v, not %v", b.lateness[1], want))
}

// TestStraysAreTold: a run that nobody here has ordered is told once when it is found, and once when it has gone.
func TestStraysAreReported(t *testing.T) {
	b := newHarness(t, nil)
	stray := call.Running{Task: task, Run: 3}
	b.answerHolds(stray)
	b.answerHolds(stray)
	qt.Assert(t, b.strays, qt.DeepEquals, []upstream.StrayEvent{upstream.StrayFound})
	b.manager.StopDone(b.now, b.stops[0], call.OK, b.clock())
	b.answerHolds() // was sent before the stop was answered
	b.pass(time.Millisecond)
	b.answerHolds()
	b.pass(time.Millisecond)
	b.answerHolds()
	qt.Assert(t, b.strays, qt.DeepEquals, []upstream.StrayEvent{upstream.StrayFound, upstream.StrayGone})
}
