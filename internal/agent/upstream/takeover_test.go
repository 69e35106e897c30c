package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// takeovers are the messages of a Keeper about jobs that one entry takes over from another.
type takeovers struct {
	held     map[ident.Incarnation][]job.ID
	wanted   []fleet.Takeover
	released []fleet.Released
}

func (x *takeovers) Holding(to, _ ident.Incarnation, jobs []job.ID) {
	if x.held == nil {
		x.held = make(map[ident.Incarnation][]job.ID)
	}
	x.held[to] = append(x.held[to], jobs...)
}
func (x *takeovers) Release(t fleet.Takeover)  { x.wanted = append(x.wanted, t) }
func (x *takeovers) Released(r fleet.Released) { x.released = append(x.released, r) }

// TestHoldingIsPassedOn: what one entry holds is told to all others.
func TestHoldingIsPassedOn(t *testing.T) {
	b := newHarness(t, nil)
	b.manager.Holding(b.now, one, []job.ID{jobID})
	qt.Assert(t, b.held, qt.DeepEquals, map[ident.Incarnation][]job.ID{two: {jobID}})
}

// TestHoldingIsToldLater: an entry that links later hears as well, unless the job is being taken over since.
func TestHoldingIsSentToLaterEntries(t *testing.T) {
	b := newHarness(t, nil)
	b.manager.Holding(b.now, one, []job.ID{jobID, jobID + 1})
	b.manager.Release(b.now, fleet.Takeover{Job: jobID + 1, Holder: one, NewHolder: two})
	b.held = nil
	b.manager.EntryLinked(b.now, 3)
	qt.Assert(t, b.held, qt.DeepEquals, map[ident.Incarnation][]job.ID{3: {jobID}})
	b.pass(11 * time.Second)
	b.held = nil
	b.manager.EntryLinked(b.now, two)
	qt.Assert(t, b.held, qt.HasLen, 0)
}

// TestTakeover guards against tasks that two entries run at once: an entry that takes a job over is told that nothing is left only once that is so,
// and the former holder can't order its tasks any more.
func TestTakeover(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	to := fleet.Takeover{Job: jobID, Holder: one, NewHolder: two}
	b.manager.Release(b.now, to)
	qt.Assert(t, b.wanted, qt.DeepEquals, []fleet.Takeover{to}, qt.Commentf("its holder is linked, and decides"))
	b.manager.EntryUnlinked(b.now, one, "broken")
	b.manager.Release(b.now, to)
	qt.Assert(t, b.released, qt.HasLen, 0, qt.Commentf("its run is still there"))
	b.manager.EntryGone(b.now, one, "refused")
	b.manager.Flush(b.now)
	b.manager.StopDone(b.now, b.stops[0], call.OK, b.clock())
	for range 3 {
		b.pass(time.Millisecond)
		b.answerHolds()
		b.manager.Flush(b.now)
	}
	b.manager.Release(b.now, to)
	qt.Assert(t, b.released, qt.DeepEquals, []fleet.Released{{Takeover: to}})

	b.manager.EntryLinked(b.now, one)
	b.manager.Flush(b.now)
	b.manager.Ping(b.now, one, b.rooms[one].Clock, 0)
	starts := len(b.starts)
	b.order(one, 2)
	qt.Assert(t, b.starts, qt.HasLen, starts)
	last := b.ends[one][len(b.ends[one])-1]
	qt.Assert(t, last.Outcome, qt.Equals, job.NotStarted)
	qt.Assert(t, last.Reason, qt.Equals, fleet.Superseded)
	b.order(two, 1)
	qt.Assert(t, b.starts, qt.HasLen, starts+1)
}
