package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// TestHotRack: a rack of two upstreams, which hold four tasks of 360 ms, is asked for 1.5 times over, and four upstreams of another rack
// have room for the rest. Tasks wait for room near their data as long as they should gain by it, so that the rack stays busy, and no job is
// late or refused. The rack can run two jobs in three.
func TestHotRack(t *testing.T) {
	const (
		jobs     = 120
		interval = 60 * time.Millisecond
		estimate = 360 * time.Millisecond
		factor   = 1.5
		tick     = 20 * time.Millisecond
	)
	b := newRacks(t, factor, []float64{1, 1, 1, 1, 1, 1}, []job.Label{"r-1", "r-1", "r-2", "r-2", "r-2", "r-2"})
	free, seqs := make(map[ident.Incarnation]int64), make(map[ident.Incarnation]uint64)
	for id := ident.Incarnation(1); id <= 6; id++ {
		free[id] = 2000
	}
	submitted, endsAt := make(map[job.ID]time.Time), make(map[int]time.Time)
	seen, ended, near := 0, 0, 0
	var total, longest time.Duration
	step := func() {
		b.pass(tick)
		for i, o := range b.orders {
			if at, ok := endsAt[i]; ok && !b.now.Before(at) {
				delete(endsAt, i)
				b.end(o, 0, job.Done, "")
				free[o.agent] += 1000
				b.paced(o.agent, free[o.agent], 1, seqs[o.agent])
				took := b.now.Sub(submitted[o.Job])
				total, longest, ended = total+took, max(longest, took), ended+1
			}
		}
		for ; seen < len(b.orders); seen++ {
			o := b.orders[seen]
			runs := estimate
			if o.agent > 2 {
				runs = time.Duration(factor * float64(estimate))
			} else {
				near++
			}
			endsAt[seen], seqs[o.agent] = b.now.Add(runs), o.Seq
			free[o.agent] -= 1000
		}
	}
	for id := job.ID(1); id <= jobs; id++ {
		b.submitNear(id, "r-1", estimate)
		submitted[id] = b.now
		for range interval / tick {
			step()
		}
	}
	for range time.Second / tick {
		step()
	}
	qt.Assert(t, ended, qt.Equals, jobs)
	for c, a := range b.answers {
		qt.Assert(t, a.State, qt.Equals, verdict.Complete, qt.Commentf("job %v", c))
	}
	t.Logf("near %d of %d, mean %v, longest %v", near, jobs, total/jobs, longest)
	qt.Assert(t, longest <= 100*time.Millisecond+1600*estimate/1000, qt.IsTrue, qt.Commentf("%v", longest))
	qt.Assert(t, near >= jobs*6/10, qt.IsTrue, qt.Commentf("%d", near))
}

// TestWaitNearData: upstream 1 is near the data and full, upstream 2 is away from it and has room. The run takes 400 ms near the data, and
// is in time elsewhere if it starts there within 100 ms.
func TestWaitNearData(t *testing.T) {
	for _, test := range []struct {
		name  string
		state fleet.State
		// nearAfter is when upstream 1 has room; zero is never.
		nearAfter time.Duration
		waits     time.Duration
		goesTo    ident.Incarnation
	}{
		{"room near the data in time", fleet.Ready, 40 * time.Millisecond, 40 * time.Millisecond, 1},
		{"no room near the data", fleet.Ready, 0, 80 * time.Millisecond, 2},
		{"nothing near the data takes work", fleet.Leaving, 0, 0, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRacks(t, 1.6, []float64{1, 1}, []job.Label{"r-1", "r-2"})
			b.room(1, test.state, 0, 0)
			b.submitNear(7, "r-1", 400*time.Millisecond)
			// Another job without data in one rack takes the room that the first declines.
			b.table.Submit(b.now, dispatch.Request{
				Job: 8, Route: queue, Caller: 8, Deadline: b.now.Add(time.Minute),
				Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second}}},
			})
			first := func() (ident.Incarnation, bool) {
				for _, o := range b.orders {
					if o.Job == 7 {
						return o.agent, true
					}
				}
				return 0, false
			}
			for waited := time.Duration(0); waited < test.waits; waited += 20 * time.Millisecond {
				_, placed := first()
				qt.Assert(t, placed, qt.IsFalse, qt.Commentf("after %v", waited))
				b.pass(20 * time.Millisecond)
				if test.nearAfter > 0 && waited+20*time.Millisecond >= test.nearAfter {
					b.paced(1, 1000, 1, 0)
				}
			}
			at, _ := first()
			qt.Assert(t, at, qt.Equals, test.goesTo)
			qt.Assert(t, b.orders, qt.HasLen, 2)
			qt.Assert(t, b.table.NearWaits() > 0, qt.Equals, test.waits > 0)
		})
	}
}

// TestWaitersForDataHoldUpNobody: however many tasks wait for room near their data, others take the room that they decline.
func TestWaitersForDataHoldUpNobody(t *testing.T) {
	const waiters, other = 5, job.ID(99)
	b := newRacks(t, 1.7, []float64{1, 1, 1, 1, 1}, []job.Label{"r-1", "r-1", "r-1", "r-1", "r-2"})
	for id := ident.Incarnation(1); id <= 4; id++ {
		b.paced(id, 0, 1, 0)
	}
	for id := job.ID(1); id <= waiters; id++ {
		b.submitNear(id, "r-1", 400*time.Millisecond)
	}
	qt.Assert(t, b.orders, qt.HasLen, 0)
	b.submitNear(other, "", 400*time.Millisecond)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.orders[0].Job, qt.Equals, other)
}
