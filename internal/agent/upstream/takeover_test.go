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

// takeovers records the messages of a Controller about jobs that one entry takes over from another.
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

// TestHoldingIsPassedOn: the jobs that one entry holds are sent to all other entries.
func TestHoldingIsPassedOn(t *testing.T) {
	h := newHarness(t, nil)
	h.controller.Holding(h.now, one, []job.ID{jobID})
	qt.Assert(t, h.held, qt.DeepEquals, map[ident.Incarnation][]job.ID{two: {jobID}})
}

// TestHoldingIsSentToLaterEntries: an entry that links later is also sent which jobs others hold, except jobs that are being taken over
// since.
func TestHoldingIsSentToLaterEntries(t *testing.T) {
	h := newHarness(t, nil)
	h.controller.Holding(h.now, one, []job.ID{jobID, jobID + 1})
	h.controller.Release(h.now, fleet.Takeover{Job: jobID + 1, Holder: one, NewHolder: two})
	h.held = nil
	h.controller.EntryLinked(h.now, 3)
	qt.Assert(t, h.held, qt.DeepEquals, map[ident.Incarnation][]job.ID{3: {jobID}})
	h.pass(11 * time.Second)
	h.held = nil
	h.controller.EntryLinked(h.now, two)
	qt.Assert(t, h.held, qt.HasLen, 0)
}

// TestTakeover guards against tasks that two entries run at once: an entry that takes a job over is told that nothing of it is left only
// once that is true, and the former holder can't order the job's tasks any more.
func TestTakeover(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	to := fleet.Takeover{Job: jobID, Holder: one, NewHolder: two}
	h.controller.Release(h.now, to)
	qt.Assert(t, h.wanted, qt.DeepEquals, []fleet.Takeover{to}, qt.Commentf("its holder is linked, and decides"))
	h.controller.EntryUnlinked(h.now, one, "broken")
	h.controller.Release(h.now, to)
	qt.Assert(t, h.released, qt.HasLen, 0, qt.Commentf("its run is still there"))
	h.controller.EntryGone(h.now, one, "refused")
	h.controller.Flush(h.now)
	h.controller.StopDone(h.now, h.stops[0], call.OK, h.clock())
	for range 3 {
		h.pass(time.Millisecond)
		h.answerHolds()
		h.controller.Flush(h.now)
	}
	h.controller.Release(h.now, to)
	qt.Assert(t, h.released, qt.DeepEquals, []fleet.Released{{Takeover: to}})

	h.controller.EntryLinked(h.now, one)
	h.controller.Flush(h.now)
	h.controller.Ping(h.now, one, h.rooms[one].Clock, 0)
	starts := len(h.starts)
	h.order(one, 2)
	qt.Assert(t, h.starts, qt.HasLen, starts)
	last := h.ends[one][len(h.ends[one])-1]
	qt.Assert(t, last.Outcome, qt.Equals, job.NotStarted)
	qt.Assert(t, last.Reason, qt.Equals, fleet.Superseded)
	h.order(two, 1)
	qt.Assert(t, h.starts, qt.HasLen, starts+1)
}
