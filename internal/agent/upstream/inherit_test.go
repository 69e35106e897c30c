package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// TestNotedAheadOfStart: a task is started alone only once the agent's row has its run, or can't have it soon. Seen: a crash that neither its
// agent nor an entry lived to tell of counted for nothing, and the task was started once too often.
func TestNotedAheadOfStart(t *testing.T) {
	for _, c := range []struct {
		name  string
		noted bool
		ticks int
		want  int
	}{
		{"noted", true, 1, 1},
		{"not noted yet", false, 2, 0},
		{"the store is away", false, 6, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			run := b.orderUnnoted(one, 200*time.Millisecond)
			known, _ := b.keeper.Known()
			qt.Assert(t, known.Alone, qt.Equals, run.RunRef)
			if c.noted {
				b.keeper.AloneNoted(b.now, known.Alone)
			}
			for range c.ticks {
				b.tick()
			}
			qt.Assert(t, b.starts, qt.HasLen, c.want)
		})
	}
}

// TestInherited: the run that an earlier process of the agent has started alone was lost with its life if that is gone and nothing has told how
// the run ended.
func TestInherited(t *testing.T) {
	run := fleet.RunRef{Task: job.TaskID{Job: 9}, Run: 3}
	listed := call.Listed{Task: run.Task, Run: run.Run}
	former := ident.UpstreamLife{ID: "u-1"}
	next := func(b *bench) {
		b.keeper.Beat(b.now, lives.Beat{Upstream: fleet.Upstream{ID: "u-2", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 1, Clock: call.Clock(time.Minute)})
		for _, h := range b.holds[b.answered:] {
			held := call.Held{Answer: call.WrongInstance}
			if h.Instance == "u-2" {
				held = call.Held{Answer: call.OK, Clock: b.clock()}
			}
			b.keeper.HoldDone(b.now, h, held)
		}
		b.answered = len(b.holds)
	}
	for _, c := range []struct {
		name string
		life ident.UpstreamLife
		do   func(b *bench)
		lost int
	}{
		{"its life stands there", former, func(*bench) {}, 0},
		{"another life follows, and it was running", former, func(b *bench) { b.tick(listed); next(b) }, 1},
		{"another life follows, and it was not running", former, func(b *bench) { b.tick(); next(b) }, 0},
		{"another life stands there", ident.UpstreamLife{ID: "u-0"}, next, 1},
		{"it is told once", ident.UpstreamLife{ID: "u-0"}, func(b *bench) { next(b); b.keeper.Left(b.now, "u-2") }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.keeper.Inherit(c.life, run)
			c.do(b)
			qt.Assert(t, b.losses, qt.HasLen, 2*c.lost) // by the observer and by the entries
			for _, l := range b.losses {
				qt.Assert(t, l.Crashes("vm"), qt.DeepEquals, []fleet.Crash{{Task: run.Task, VM: "vm", Life: c.life}})
			}
		})
	}
	t.Run("its life has ended before", func(t *testing.T) {
		b := newBench(t, nil)
		next(b)
		b.keeper.Inherit(former, run)
		qt.Assert(t, b.losses, qt.HasLen, 2)
	})
	t.Run("none", func(t *testing.T) {
		b := newBench(t, nil)
		b.keeper.Inherit(ident.UpstreamLife{ID: "u-0"}, fleet.RunRef{})
		next(b)
		qt.Assert(t, b.losses, qt.HasLen, 0)
	})
}
