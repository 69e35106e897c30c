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
func TestEndingTellsOfItsStop(t *testing.T) {
	stopped := func(cause upstream.StopCause, unwanted bool) *upstream.Stop {
		s := &upstream.Stop{Cause: cause, Asked: 30 * time.Millisecond, Answered: 20 * time.Millisecond, Acked: true, Unwanted: unwanted}
		if unwanted {
			s.Pressing = s.Asked
		}
		return s
	}
	for _, test := range []struct {
		name string
		stop func(b *bench)
		how  call.How
		want upstream.Ending
	}{
		{"nobody asks", func(*bench) {}, call.HowDone, upstream.Ending{}},
		{"its entry", func(b *bench) { b.keeper.StopTask(b.now, one, ordered(1), fleet.OnRequest) }, call.HowStopped, upstream.Ending{
			Stop: stopped("on_request", true),
		}},
		{"its entry, for another place", func(b *bench) { b.keeper.StopTask(b.now, one, ordered(1), fleet.Moved) }, call.HowStopped, upstream.Ending{
			Stop: stopped("moved", false),
		}},
		{"its entry, and it ends well meanwhile", func(b *bench) { b.keeper.StopTask(b.now, one, ordered(1), fleet.OnRequest) }, call.HowDone, upstream.Ending{
			Stop: stopped("on_request", true),
		}},
		{"its entry has gone", func(b *bench) { b.keeper.Unlinked(b.now, one, "link_down"); b.keeper.Gone(b.now, one, "refused") }, call.HowStopped, upstream.Ending{
			Stop: stopped("refused", true), Unheard: true,
		}},
		{"its entry is out of hearing", func(b *bench) { b.keeper.Unlinked(b.now, one, "link_down") }, call.HowDone, upstream.Ending{Unheard: true}},
		{"another entry has taken its job over", func(b *bench) { b.keeper.Ask(b.now, two, 1, []job.ID{jobID}) }, call.HowStopped, upstream.Ending{
			Stop: stopped(upstream.TakenOver, true),
		}},
		{"another entry has ordered its task", func(b *bench) { b.order(two, 2) }, call.HowStopped, upstream.Ending{
			Stop: stopped(upstream.SentAgain, false), Next: two,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, b.clock())
			b.pass(50 * time.Millisecond)
			test.stop(b)
			b.pass(10 * time.Millisecond)
			for _, c := range b.stops {
				b.keeper.StopDone(b.now, c, call.OK, b.clock())
			}
			b.pass(20 * time.Millisecond)
			b.end(test.how)
			qt.Assert(t, b.endings, qt.HasLen, 1)
			got := b.endings[0]
			qt.Assert(t, got.Owner, qt.Equals, one)
			qt.Assert(t, got.Begun, qt.Equals, 80*time.Millisecond)
			qt.Assert(t, got.Stop, qt.DeepEquals, test.want.Stop)
			qt.Assert(t, got.Next, qt.Equals, test.want.Next)
			qt.Assert(t, got.Unheard, qt.Equals, test.want.Unheard)
		})
	}
}

// TestEndingOfStopWithoutAnswer: a stop that the upstream has not answered is told as such, and from when on it was urgent.
func TestEndingOfStopWithoutAnswer(t *testing.T) {
	b := newBench(t, nil)
	b.order(one, 1)
	b.keeper.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.keeper.StopTask(b.now, one, ordered(1), fleet.Moved)
	b.pass(25 * time.Millisecond)
	b.keeper.StopTask(b.now, one, ordered(1), fleet.OnRequest)
	b.pass(15 * time.Millisecond)
	b.end(call.HowStopped)
	qt.Assert(t, b.endings, qt.HasLen, 1)
	qt.Assert(t, b.endings[0].Stop, qt.DeepEquals, &upstream.Stop{
		Cause: "moved", Asked: 40 * time.Millisecond, Unwanted: true, Pressing: 15 * time.Millisecond,
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
			b := newBench(t, nil)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], test.start, b.clock())
			b.pass(50 * time.Millisecond)
			b.end(call.HowDone)
			b.keeper.Flush(b.now)
			b.pass(10 * time.Millisecond)
			if test.echoes {
				b.keeper.Ping(b.now, one, b.rooms[one].Clock, 0)
			}
			for range 2 {
				b.keeper.Unlinked(b.now, one, "link_down")
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
func TestLatenessIsTold(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(b *bench)
		late []time.Duration
	}{
		{"silent, in time", func(b *bench) { b.pass(timing.Silence); b.keeper.Tick(b.now) }, []time.Duration{0}},
		{"silent, late", func(b *bench) { b.pass(timing.Silence + 70*time.Millisecond); b.keeper.Tick(b.now) }, []time.Duration{70 * time.Millisecond}},
		{"refused at once", func(b *bench) { b.keeper.Unlinked(b.now, one, "link_down"); b.keeper.Gone(b.now, one, "refused") }, []time.Duration{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, b.clock())
			test.do(b)
			qt.Assert(t, b.late, qt.DeepEquals, test.late)
		})
	}
}

// TestLapseIsTold: with how late it was noticed.
func TestLapseIsTold(t *testing.T) {
	b := newBench(t, nil)
	b.order(one, 1)
	b.keeper.StartDone(b.now, b.starts[0], call.OK, b.clock())
	for range 2 {
		b.keeper.HoldDone(b.now, b.holds[len(b.holds)-1], call.Held{Answer: call.Unanswered})
	}
	b.pass(timing.Lease) // the lease, by a clock that may run slow, and the time to kill are not over
	b.keeper.Tick(b.now)
	qt.Assert(t, b.late, qt.DeepEquals, []time.Duration{0}) // its entry has fallen silent
	b.pass(time.Second)
	b.keeper.Tick(b.now)
	qt.Assert(t, b.late, qt.HasLen, 2)
	want := time.Duration(float64(timing.Lease+time.Second)/fleet.SlowClock) - timing.Lease - 50*time.Millisecond
	qt.Assert(t, (b.late[1]-want).Abs() < 2*time.Millisecond, qt.IsTrue, qt.Commentf("%v, not %v", b.late[1], want))
}

// TestStraysAreTold: a run that nobody here has ordered is told once when it is found, and once when it has gone.
func TestStraysAreTold(t *testing.T) {
	b := newBench(t, nil)
	stray := call.Listed{Task: task, Run: 3}
	b.look(stray)
	b.look(stray)
	qt.Assert(t, b.strays, qt.DeepEquals, []upstream.StrayEvent{upstream.StrayFound})
	b.keeper.StopDone(b.now, b.stops[0], call.OK, b.clock())
	b.look() // was sent before the stop was answered
	b.pass(time.Millisecond)
	b.look()
	b.pass(time.Millisecond)
	b.look()
	qt.Assert(t, b.strays, qt.DeepEquals, []upstream.StrayEvent{upstream.StrayFound, upstream.StrayGone})
}
