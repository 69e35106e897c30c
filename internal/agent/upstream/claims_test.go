package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/reservation"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// claim makes an entry claim room for one task of a core.
func (h *harness) claim(e ident.Incarnation, dueIn time.Duration) {
	h.controller.Claim(h.now, e, fleet.Claim{Tasks: 1, Each: job.Resources{CPU: 1000}, DueIn: dueIn, ValidFor: time.Second})
	h.controller.Flush(h.now)
}

// newFullHarness returns a harness whose upstream runs two tasks of the first entry, the first of which h.end ends.
func newFullHarness(t *testing.T) *harness {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.orderBeside(one, 1)
	h.pass(20 * time.Millisecond)
	h.controller.Flush(h.now)
	h.pass(20 * time.Millisecond)
	h.controller.Flush(h.now)
	return h
}

// tellAll passes the time in which all entries are told of the room, without letting a reservation lapse.
func (h *harness) tellAll() {
	for range 3 {
		h.pass(3 * time.Millisecond)
		h.controller.Flush(h.now)
	}
}

// TestRoomIsReservedForClaim checks that the room of a run that ends goes to the entry with the best claim, which is told at once, and
// which alone may use it.
func TestRoomIsReservedForClaim(t *testing.T) {
	h := newFullHarness(t)
	h.claim(one, 20*time.Millisecond)
	h.claim(two, 10*time.Millisecond)
	h.end(call.ResultDone)
	h.controller.Flush(h.now)
	core := job.Resources{CPU: 1000}
	qt.Assert(t, h.rooms[two].Reserved, qt.Equals, core)
	qt.Assert(t, h.rooms[two].Free, qt.Equals, core)
	h.tellAll()
	qt.Assert(t, h.rooms[one].Reserved, qt.Equals, job.Resources{})
	qt.Assert(t, h.rooms[one].Free, qt.Equals, job.Resources{})

	starts := len(h.starts)
	h.order(one, 2)
	qt.Assert(t, h.starts, qt.HasLen, starts)
	refusal := h.ends[one][len(h.ends[one])-1]
	qt.Assert(t, refusal.Outcome, qt.Equals, job.NotStarted)
	qt.Assert(t, refusal.Reason, qt.Equals, fleet.NoRoom)
	h.order(two, 3)
	qt.Assert(t, h.starts, qt.HasLen, starts+1)
	h.pass(10 * time.Millisecond)
	h.controller.Flush(h.now)
	qt.Assert(t, h.rooms[two].Reserved, qt.Equals, job.Resources{})
	qt.Assert(t, h.controller.ClaimCounts(), qt.Equals, reservation.Counts{Received: 2, Reserved: 1, Used: 1})
}

// TestReservationEnds checks what gives reserved room to the other entry.
func TestReservationEnds(t *testing.T) {
	for _, test := range []struct {
		name    string
		happens func(h *harness)
	}{
		{"it lapses", func(h *harness) { h.pass(10 * time.Millisecond) }},
		{"the entry withdraws its claim", func(h *harness) { h.controller.Claim(h.now, two, fleet.Claim{}) }},
		{"the entry's session ends", func(h *harness) { h.controller.EntryUnlinked(h.now, two, "closed") }},
		{"a new session of the entry", func(h *harness) { h.controller.EntryLinked(h.now, two) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newFullHarness(t)
			h.claim(two, 0)
			h.end(call.ResultDone)
			h.controller.Flush(h.now)
			qt.Assert(t, h.rooms[two].Reserved, qt.Equals, job.Resources{CPU: 1000})
			h.tellAll()
			qt.Assert(t, h.rooms[one].Free, qt.Equals, job.Resources{})
			test.happens(h)
			h.controller.Flush(h.now)
			for range 4 {
				h.pass(5 * time.Millisecond)
				h.controller.Flush(h.now)
			}
			qt.Assert(t, h.rooms[one].Free, qt.Equals, job.Resources{CPU: 1000})
			starts := len(h.starts)
			h.order(one, 2)
			qt.Assert(t, h.starts, qt.HasLen, starts+1)
		})
	}
}

// TestNothingIsReserved checks when claims get no room.
func TestNothingIsReserved(t *testing.T) {
	for _, test := range []struct {
		name    string
		happens func(h *harness)
	}{
		{"the entry isn't linked", func(h *harness) {
			h.controller.Claim(h.now, 3, fleet.Claim{Tasks: 1, Each: job.Resources{CPU: 1000}, ValidFor: time.Second})
		}},
		{"a task is to be started alone", func(h *harness) {
			h.seq++
			h.controller.Order(h.now, one, fleet.Order{
				Seq: h.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Run: 1, AloneFor: time.Second}},
			})
			h.claim(two, 0)
		}},
		{"the upstream drains", func(h *harness) {
			h.controller.Heartbeat(h.now, lives.Heartbeat{
				Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 2, Draining: true,
				Clock: call.Clock(time.Minute),
			})
			h.claim(two, 0)
		}},
		{"the agent leaves", func(h *harness) { h.controller.Leave(); h.claim(two, 0) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			test.happens(h)
			h.controller.Flush(h.now)
			h.tellAll()
			qt.Assert(t, h.rooms[two].Reserved, qt.Equals, job.Resources{})
			qt.Assert(t, h.controller.ClaimCounts().Reserved, qt.Equals, int64(0))
		})
	}
}

// TestReservationOfShrunkUpstream checks that an upstream that shrinks keeps no room reserved that it doesn't have.
func TestReservationOfShrunkUpstream(t *testing.T) {
	for _, test := range []struct {
		name string
		beat lives.Heartbeat
		// starts is whether an order of the entry is started.
		starts bool
	}{
		{"nothing", lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 2000}}, Sequence: 2}, true},
		{"it shrinks", lives.Heartbeat{Upstream: fleet.Upstream{ID: "u-1", Service: "publish", Total: job.Resources{CPU: 500}}, Sequence: 2}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.claim(two, 0)
			qt.Assert(t, h.rooms[two].Reserved, qt.Equals, job.Resources{CPU: 1000})
			test.beat.Clock = h.clock()
			h.controller.Heartbeat(h.now, test.beat)
			h.controller.Flush(h.now)
			h.order(two, 1)
			qt.Assert(t, len(h.starts) == 1, qt.Equals, test.starts)
			for range 3 {
				h.pass(10 * time.Millisecond)
				h.controller.Flush(h.now)
			}
			qt.Assert(t, h.rooms[two].Reserved, qt.Equals, job.Resources{})
		})
	}
}

// TestClaimsKeepWithinRoom guards against an upstream that gets more than its room: an order for larger tasks than the entry had claimed
// uses up more room than was reserved, and claims may be of any size.
func TestClaimsKeepWithinRoom(t *testing.T) {
	for _, test := range []struct {
		name string
		// one and two are what the tasks of the entries' claims need.
		one, two int64
	}{
		{"larger tasks than claimed, while room gathers for another", 500, 1500},
		{"a claim for less than nothing", -1000, 500},
		{"another's claim for less than nothing", 500, -1000},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			for i, each := range []int64{test.one, test.two} {
				h.controller.Claim(h.now, ident.Incarnation(i+1), fleet.Claim{
					Tasks: 4, Each: job.Resources{CPU: each}, Begun: i == 0, DueIn: -time.Second, ValidFor: time.Second,
				})
				h.controller.Flush(h.now)
			}
			h.seq++
			h.controller.Order(h.now, one, fleet.Order{
				Seq: h.seq, Job: jobID, Each: job.Resources{CPU: 1000}, Tasks: []fleet.TaskRun{{Index: 0, Run: 1}, {Index: 1, Run: 1}, {Index: 2, Run: 1}},
			})
			h.controller.Flush(h.now)
			qt.Assert(t, len(h.starts) <= 2, qt.IsTrue, qt.Commentf("%d tasks of a core on two cores", len(h.starts)))
			qt.Assert(t, job.Resources{}.Fits(h.rooms[one].Free), qt.IsTrue)
		})
	}
}
