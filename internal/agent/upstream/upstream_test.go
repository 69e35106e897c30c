package upstream_test

import (
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

var timing = fleet.Timing{
	Silence: 400 * time.Millisecond, Lease: 400 * time.Millisecond, StopBudget: 200 * time.Millisecond,
	KeepAlive: 100 * time.Millisecond,
}

// bench drives a Keeper by hand.
type bench struct {
	t      *testing.T
	now    time.Time
	keeper *upstream.Keeper
	starts []call.Start
	stops  []call.Stop
	holds  []call.Hold
	// answered counts the holds that were answered.
	answered int
	ends     map[ident.Incarnation][]fleet.End
	rooms    map[ident.Incarnation]fleet.Room
	resumed  []fleet.RunRef
	progress []fleet.Progress
	asked    []uint64
	// told counts messages about room.
	told int
	seq  uint64
}

func (b *bench) Start(c call.Start)                         { b.starts = append(b.starts, c) }
func (b *bench) Stop(c call.Stop)                           { b.stops = append(b.stops, c) }
func (b *bench) Hold(c call.Hold)                           { b.holds = append(b.holds, c) }
func (b *bench) Upstream(ident.Incarnation, fleet.Upstream) {}
func (b *bench) Room(to ident.Incarnation, r fleet.Room)    { b.rooms[to] = r; b.told++ }
func (b *bench) End(to ident.Incarnation, e fleet.End)      { b.ends[to] = append(b.ends[to], e) }
func (b *bench) Settled(ident.Incarnation)                  {}
func (b *bench) Asked(_ ident.Incarnation, number uint64)   { b.asked = append(b.asked, number) }
func (b *bench) Progress(_ ident.Incarnation, runs []fleet.Progress) {
	b.progress = append(b.progress, runs...)
}
func (b *bench) Resumed(_ ident.Incarnation, runs []fleet.RunRef) {
	b.resumed = append(b.resumed, runs...)
}
func (b *bench) Ended(ident.Incarnation, fleet.End)      {}
func (b *bench) State(_, _ fleet.State, _ string)        {}
func (b *bench) Orphaned(ident.Incarnation, int, string) {}
func (b *bench) Unsure(job.TaskID, job.Run)              {}

// The entries and the job that the tests use.
const (
	one, two = ident.Incarnation(1), ident.Incarnation(2)
	jobID    = job.ID(7)
)

var task = job.TaskID{Job: jobID}

// newBench returns a Keeper whose upstream has room for two tasks, with two entries linked and heard.
func newBench(t *testing.T, without rule.Set) *bench {
	b := &bench{
		t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room),
	}
	b.keeper = upstream.New(timing, without, b.now, b, b, b)
	b.pass(10 * time.Millisecond)
	b.keeper.Beat(b.now, upstream.Beat{
		Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Minute),
	})
	b.look()
	for _, e := range []ident.Incarnation{one, two} {
		b.keeper.Linked(b.now, e)
		b.keeper.Flush(b.now)
		b.keeper.Ping(b.now, e, b.rooms[e].Clock, 0)
	}
	return b
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// look answers all holds that wait.
func (b *bench) look(running ...call.Listed) {
	waiting := b.holds[b.answered:]
	b.answered = len(b.holds)
	for _, c := range waiting {
		b.keeper.HoldDone(b.now, c, call.Held{Answer: call.OK, Clock: b.clock(), Running: running})
	}
}

// clock is the upstream's.
func (b *bench) clock() call.Clock {
	return call.Clock(time.Minute) + call.Clock(b.now.Sub(time.Unix(1000, 0)))
}

func (b *bench) order(e ident.Incarnation, run job.Run) {
	b.seq++
	b.keeper.Order(b.now, e, fleet.Order{
		Seq: b.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: run}},
	})
	b.keeper.Flush(b.now)
}

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
			b := newBench(t, test.without)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, b.starts[0].Until)
			b.order(two, 2)
			qt.Assert(t, b.starts, qt.HasLen, test.starts)
			if test.without != nil {
				return
			}
			qt.Assert(t, b.stops, qt.HasLen, 1)
			b.keeper.StopDone(b.now, b.stops[0], call.OK, b.starts[0].Until)
			b.pass(time.Millisecond)
			b.look() // was sent before the stop was answered: proves nothing
			qt.Assert(t, b.starts, qt.HasLen, 1)
			b.pass(time.Millisecond)
			b.look()
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
	b := newBench(t, nil)
	b.order(one, 1)
	b.keeper.StartDone(b.now, b.starts[0], call.Unanswered, 0)
	b.keeper.StopTask(b.now, one, task, 1, fleet.OnRequest)
	for range 20 {
		for _, c := range b.stops {
			b.keeper.StopDone(b.now, c, call.OK, 0)
		}
		b.stops = nil
		b.pass(60 * time.Millisecond)
		b.look()
		b.pass(40 * time.Millisecond)
		b.keeper.Ping(b.now, one, b.rooms[one].Clock, 0)
		b.keeper.Tick(b.now)
		b.keeper.Flush(b.now)
	}
	qt.Assert(t, b.keeper.Runs(), qt.Equals, 0)
}

// TestRefusals: an order that can't be taken is refused at once, with a reason, and room is as before.
func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name  string
		setUp func(b *bench)
		want  fleet.Reason
	}{
		{"not heard for too long", func(b *bench) { b.pass(timing.Silence) }, fleet.StaleSession},
		{"heard only now, but of long ago", func(b *bench) { b.pass(timing.Silence); b.keeper.Ping(b.now, one, time.Millisecond, 0) }, fleet.StaleSession},
		{"leaving", func(b *bench) { b.keeper.Leave() }, fleet.NotAccepting},
		{"upstream draining", func(b *bench) {
			b.keeper.Beat(b.now, upstream.Beat{Upstream: fleet.Upstream{ID: "u-1"}, Sequence: 2, Draining: true})
		}, fleet.NotAccepting},
		{"upstream unreachable", func(b *bench) {
			for range 2 {
				b.keeper.HoldDone(b.now, b.holds[len(b.holds)-1], call.Held{Answer: call.Unanswered})
			}
		}, fleet.NotAccepting},
		{"something unknown runs there", func(b *bench) { b.look(call.Listed{Task: job.TaskID{Job: 99}, Run: 1}) }, fleet.NotAccepting},
		{"full", func(b *bench) {
			for i := range uint32(2) {
				b.keeper.Order(b.now, two, fleet.Order{Job: 50, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Index: i, Run: 1}}})
			}
		}, fleet.NoRoom},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			test.setUp(b)
			b.order(one, 1)
			qt.Assert(t, b.ends[one], qt.DeepEquals, []fleet.End{{Task: task, Run: 1, Outcome: job.NotStarted, Reason: test.want}})
		})
	}
}

// TestFailingUpstreamIsLeftAlone: after three failures in a row the upstream gets one task at a time as a probe,
// from one entry, and after good probes it takes all again. Failures of jobs that have failed elsewhere don't count.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	b := newBench(t, nil)
	n := uint64(0)
	end := func(j job.ID, earlier uint32, how call.How) {
		from := one
		if b.rooms[two].State == fleet.Probing {
			from = two
		}
		b.keeper.Order(b.now, from, fleet.Order{Job: j, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Run: 1, Failures: earlier}}})
		b.keeper.StartDone(b.now, b.starts[len(b.starts)-1], call.OK, 0)
		n++
		b.pass(time.Millisecond)
		b.keeper.HoldDone(b.now, b.holds[len(b.holds)-1], call.Held{
			Answer: call.OK, Clock: b.clock(), Finished: []call.Finished{{N: n, Task: job.TaskID{Job: j}, Run: 1, How: how}},
		})
		b.pass(50 * time.Millisecond)
		for _, e := range []ident.Incarnation{one, two} {
			b.keeper.Ping(b.now, e, b.rooms[e].Clock, 0)
		}
		b.keeper.Flush(b.now)
	}
	for i := range 5 {
		end(job.ID(100+i), 1, call.HowFailed)
	}
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
	for i := range 3 {
		end(job.ID(200+i), 0, call.HowFailed)
	}
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Suspect)
	qt.Assert(t, b.rooms[two].State, qt.Equals, fleet.Suspect)
	probing := func() (count int) {
		for range 4 {
			b.pass(100 * time.Millisecond)
			for _, e := range []ident.Incarnation{one, two} {
				b.keeper.Ping(b.now, e, b.rooms[e].Clock, 0)
			}
			b.keeper.Flush(b.now)
		}
		for _, e := range []ident.Incarnation{one, two} {
			if b.rooms[e].State == fleet.Probing {
				count++
			}
		}
		return count
	}
	qt.Assert(t, probing(), qt.Equals, 1)
	for i := range 4 {
		end(job.ID(300+i), 0, call.HowDone)
	}
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
	qt.Assert(t, b.rooms[two].State, qt.Equals, fleet.Ready)
}

// TestStalledRunIsStopped: a run without progress is stopped and reported as stalled; one that gets on is not.
func TestStalledRunIsStopped(t *testing.T) {
	for _, test := range []struct {
		name    string
		percent func(step int) int
		stops   int
	}{
		{"stands still from the start", func(int) int { return 0 }, 1},
		{"stands still half way", func(step int) int { return min(step*10, 50) }, 1},
		{"gets on slowly", func(step int) int { return step }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, 0)
			for step := range 20 {
				b.pass(50 * time.Millisecond)
				b.keeper.Ping(b.now, one, b.rooms[one].Clock, 0)
				b.look(call.Listed{Task: task, Run: 1, Percent: test.percent(step)})
				b.keeper.Flush(b.now)
			}
			qt.Assert(t, b.stops, qt.HasLen, test.stops)
		})
	}
}

// TestUnansweredHoldsLetTheLeaseLapse: while the upstream does not answer, holds leave the lease as it is; once it
// has surely lapsed, the runs are given up, so that they can run elsewhere. Holds that went on extending it put
// that off for as long as the upstream was mute.
func TestUnansweredHoldsLetTheLeaseLapse(t *testing.T) {
	b := newBench(t, nil)
	b.order(one, 1)
	b.keeper.StartDone(b.now, b.starts[0], call.OK, 0)
	var took time.Duration
	for took = 0; b.keeper.Runs() > 0 && took < 3*time.Second; took += 10 * time.Millisecond {
		b.pass(10 * time.Millisecond)
		b.keeper.Ping(b.now, one, b.rooms[one].Clock, 0)
		if c := b.holds[len(b.holds)-1]; b.now.Sub(c.Sent) >= 250*time.Millisecond {
			b.keeper.HoldDone(b.now, c, call.Held{Answer: call.Unanswered})
		}
		b.keeper.Tick(b.now)
		b.keeper.Flush(b.now)
	}
	qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("took %v", took))
	qt.Assert(t, b.ends[one][0].Outcome, qt.Equals, job.Lost)
	qt.Assert(t, b.ends[one][0].Reason, qt.Equals, fleet.LeaseLapsed)
}

// TestOldReadingsKeepNothing: what an entry echoes counts from when the agent sent it, and an order of an entry that
// was not heard lately starts nothing. The random schedules reach this only with slow links, so it stands here.
func TestOldReadingsKeepNothing(t *testing.T) {
	for _, test := range []struct {
		name    string
		without rule.Set
		starts  int
	}{
		{"in force", nil, 0},
		{"echo counted from its arrival", rule.Without(rule.EchoedClock), 1},
		{"orders of silent entries taken", rule.Without(rule.FreshSession), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.without)
			old := b.rooms[one].Clock
			b.pass(timing.Silence + timing.KeepAlive)
			b.keeper.Flush(b.now)
			b.keeper.Ping(b.now, one, old+time.Microsecond, 0)
			b.order(one, 1)
			qt.Assert(t, b.starts, qt.HasLen, test.starts)
		})
	}
}

// TestLeasesLapseWhenAStopFails: an unwanted run whose stop gets no answer is there no longer than the lease after
// the budget: holds stop extending it. A caller that has gone sends its job to another entry, as one whose entry is
// lost does; the run of such a job went on for as long as stops were lost (schedule 1077).
func TestLeasesLapseWhenAStopFails(t *testing.T) {
	lost := func(b *bench) { b.keeper.Unlinked(b.now, one, "broken"); b.keeper.Gone(b.now, one, "refused") }
	asked := func(b *bench) { b.keeper.StopTask(b.now, one, task, 1, fleet.OnRequest) }
	for _, test := range []struct {
		name    string
		without rule.Set
		stop    func(b *bench)
		answer  bool
		extends bool
	}{
		{"entry lost", nil, lost, false, false},
		{"caller gone", nil, asked, false, false},
		{"the stop was answered", nil, asked, true, true},
		{"left out", rule.Without(rule.LapseBudget), lost, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.without)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, 0)
			test.stop(b)
			if test.answer {
				b.keeper.StopDone(b.now, b.stops[0], call.OK, 0)
			}
			b.pass(timing.StopBudget)
			b.keeper.Tick(b.now)
			b.look(call.Listed{Task: task, Run: 1, Percent: 50})
			qt.Assert(t, b.holds[len(b.holds)-1].Until > 0, qt.Equals, test.extends)
		})
	}
}

// TestUnansweredStartIsLookedInto: a start without an answer is settled by a look at once, under a higher token, though
// a hold that waits for an end is under way; a look that answers after a newer one does not bring ended runs back.
func TestUnansweredStartIsLookedInto(t *testing.T) {
	for _, test := range []struct {
		name    string
		running bool
		ends    int
	}{
		{"it never arrived", false, 1},
		{"it runs", true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.order(one, 1)
			before := b.starts[0].Token
			b.keeper.StartDone(b.now, b.starts[0], call.Unanswered, 0)
			look := b.holds[len(b.holds)-1]
			qt.Assert(t, look.Look, qt.IsTrue)
			qt.Assert(t, look.Token > before, qt.IsTrue)
			b.pass(time.Millisecond)
			if test.running {
				b.look(call.Listed{Task: task, Run: 1, Percent: 1})
			} else {
				look.Sent = b.now
				b.answered = len(b.holds)
				b.keeper.HoldDone(b.now, look, call.Held{Answer: call.OK, Clock: b.clock()})
			}
			qt.Assert(t, b.ends[one], qt.HasLen, test.ends)
		})
	}
}

// TestRecall: an agent that starts knows its upstream from the store, and need not wait for a heartbeat. The first
// call tells whether that life still lives, and which tokens it has seen.
func TestRecall(t *testing.T) {
	up := fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}
	for _, test := range []struct {
		name   string
		answer call.Held
		known  bool
		ready  bool
	}{
		{"it lives and has seen no token", call.Held{Answer: call.OK, Clock: call.Clock(time.Minute)}, true, true},
		{"it lives and has seen tokens", call.Held{Answer: call.Fenced, Clock: call.Clock(time.Minute)}, true, true},
		{"another life answers", call.Held{Answer: call.WrongInstance}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &bench{t: t, now: time.Unix(1000, 0), ends: make(map[ident.Incarnation][]fleet.End), rooms: make(map[ident.Incarnation]fleet.Room)}
			b.keeper = upstream.New(timing, nil, b.now, b, b, b)
			b.keeper.Recall(b.now, up)
			qt.Assert(t, b.holds[0].Token, qt.Equals, call.Token(0))
			b.pass(time.Millisecond)
			b.keeper.HoldDone(b.now, b.holds[0], test.answer)
			b.answered = 1
			_, known := b.keeper.Known()
			qt.Assert(t, known, qt.Equals, test.known)
			if !test.ready {
				return
			}
			qt.Assert(t, b.holds[len(b.holds)-1].Token >= call.Token(time.Minute.Milliseconds()), qt.IsTrue)
			b.pass(time.Millisecond)
			b.look()
			b.keeper.Linked(b.now, one)
			b.keeper.Flush(b.now)
			qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Ready)
		})
	}
}

// TestRoomMessagesAreBounded: whatever changes, an agent sends no more than so many messages a second, however many
// entries are linked, and each of them hears of it within the keep-alive interval.
func TestRoomMessagesAreBounded(t *testing.T) {
	for _, test := range []struct{ entries, most int }{{2, 250}, {12, 400}, {60, 660}} {
		b := newBench(t, nil)
		for e := range ident.Incarnation(test.entries) {
			if e+1 > two {
				b.keeper.Linked(b.now, e+1)
			}
		}
		b.keeper.Flush(b.now)
		b.told = 0
		for i := range 1000 {
			b.pass(time.Millisecond)
			b.keeper.Beat(b.now, upstream.Beat{
				Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: int64(2000 + i)}}, Sequence: uint64(2 + i),
			})
			b.keeper.Flush(b.now)
		}
		qt.Assert(t, b.told <= test.most, qt.IsTrue, qt.Commentf("%d messages to %d entries", b.told, test.entries))
		for e, r := range b.rooms {
			qt.Assert(t, r.Free.CPU >= 2890, qt.IsTrue, qt.Commentf("entry %v has heard of %d", e, r.Free.CPU))
		}
	}
}

// TestAgentThatLeavesTakesNothing: not even when its upstream begins a new life meanwhile; an upstream that drained does.
func TestAgentThatLeavesTakesNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(b *bench)
		want  fleet.State
	}{
		{"the agent leaves", func(b *bench) { b.keeper.Leave() }, fleet.Leaving},
		{"the former life drained", func(b *bench) {
			b.keeper.Beat(b.now, upstream.Beat{Upstream: fleet.Upstream{ID: "u-1"}, Sequence: 2, Draining: true})
		}, fleet.Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			test.leave(b)
			b.keeper.Beat(b.now, upstream.Beat{
				Upstream: fleet.Upstream{ID: "u-2", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Second),
			})
			old := b.holds[b.answered:]
			b.answered = len(b.holds)
			for _, c := range old {
				b.keeper.HoldDone(b.now, c, call.Held{Answer: call.WrongInstance})
			}
			b.look()
			b.keeper.Flush(b.now)
			qt.Assert(t, b.rooms[one].State, qt.Equals, test.want)
		})
	}
}

// TestLinkThatIsResetCostsNoRun: an entry that is back within the silence goes on with its runs; one that is not, or
// that has surely ended, has them stopped. Incident inc-941c: links that were reset cost all runs on them.
func TestLinkThatIsResetCostsNoRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		then    func(b *bench)
		stops   int
		resumes int
	}{
		{"back soon", func(b *bench) { b.pass(100 * time.Millisecond) }, 0, 1},
		{"back late", func(b *bench) { b.pass(timing.Silence); b.keeper.Tick(b.now) }, 1, 0},
		{"back late, and no tick since", func(b *bench) { b.pass(timing.Silence) }, 1, 0},
		{"ended", func(b *bench) { b.keeper.Gone(b.now, one, "refused") }, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, 0)
			b.keeper.Unlinked(b.now, one, "link_down")
			qt.Assert(t, b.stops, qt.HasLen, 0)
			test.then(b)
			b.keeper.Linked(b.now, one)
			qt.Assert(t, b.resumed, qt.HasLen, test.resumes)
			b.keeper.Tick(b.now)
			qt.Assert(t, b.stops, qt.HasLen, test.stops)
		})
	}
}

// TestSlowUpstreamTellsItsEntries: once the upstream is slow beside others, entries hear how long their runs will still
// take. Before, a run that had begun there ended late, whatever room there was elsewhere.
func TestSlowUpstreamTellsItsEntries(t *testing.T) {
	for _, test := range []struct {
		name   string
		median float64
		// percent is the progress in each 50 ms of a run estimated at 1 s.
		percent int
		told    bool
	}{
		{"as fast as others", 1, 5, false},
		{"slow", 1, 1, true},
		{"slow as all others are", 5, 1, false},
		{"others unknown", 0, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.order(one, 1)
			b.keeper.StartDone(b.now, b.starts[0], call.OK, 0)
			for i := range 10 {
				b.pass(50 * time.Millisecond)
				b.keeper.Ping(b.now, one, b.rooms[one].Clock, test.median)
				b.look(call.Listed{Task: task, Run: 1, Percent: (i + 1) * test.percent})
				b.keeper.Flush(b.now)
			}
			qt.Assert(t, len(b.progress) > 0, qt.Equals, test.told)
			if test.told {
				last := b.progress[len(b.progress)-1]
				qt.Assert(t, last.RunRef, qt.Equals, fleet.RunRef{Task: task, Run: 1})
				qt.Assert(t, last.Left > 3*time.Second && last.Left < 6*time.Second, qt.IsTrue, qt.Commentf("%v", last.Left))
			}
		})
	}
}
