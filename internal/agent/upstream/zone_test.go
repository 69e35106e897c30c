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

// TestCordonedZone: the agent makes the final check for cordons. It refuses an order of an entry that doesn't know of the cordon as not
// started, and present runs go on to their ends.
func TestCordonedZone(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	qt.Assert(t, h.starts, qt.HasLen, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	h.controller.SetZone(upstream.ZoneCordoned)
	h.controller.Flush(h.now)
	qt.Assert(t, h.rooms[two].State, qt.Equals, fleet.Cordoned)
	h.controller.Order(h.now, two, fleet.Order{
		Seq: 1, Job: jobID + 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1}},
	})
	qt.Assert(t, h.starts, qt.HasLen, 1)
	qt.Assert(t, h.stops, qt.HasLen, 0)
	qt.Assert(t, h.ends[two], qt.HasLen, 1)
	qt.Assert(t, h.ends[two][0].Outcome, qt.Equals, job.NotStarted)
	qt.Assert(t, h.ends[two][0].Reason, qt.Equals, fleet.ZoneCordoned)
	qt.Assert(t, h.controller.RunCount(), qt.Equals, 1)

	h.controller.SetZone(upstream.ZoneOpen)
	h.controller.Flush(h.now)
	qt.Assert(t, h.rooms[two].State, qt.Equals, fleet.Ready)
	h.controller.Order(h.now, two, fleet.Order{
		Seq: 2, Job: jobID + 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 2}},
	})
	qt.Assert(t, h.starts, qt.HasLen, 2)
}

// TestCordonMeetsWaitingOrder: an order that waits for the end of an earlier run of its task is refused if that end comes after the
// cordon.
func TestCordonMeetsWaitingOrder(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
	h.order(two, 2)
	qt.Assert(t, h.ends[two], qt.HasLen, 0)
	h.controller.SetZone(upstream.ZoneCordoned)
	h.controller.StopDone(h.now, h.stops[0], call.OK, h.clock())
	for range 2 { // the first hold was sent before the stop was answered, and proves nothing
		h.pass(time.Millisecond)
		h.answerHolds()
	}
	qt.Assert(t, h.starts, qt.HasLen, 1)
	qt.Assert(t, h.ends[two], qt.HasLen, 1)
	qt.Assert(t, h.ends[two][0].Reason, qt.Equals, fleet.ZoneCordoned)
}

// TestCordonMeetsFencedStart: a start that the upstream has refused because of its token is not sent again after the cordon.
func TestCordonMeetsFencedStart(t *testing.T) {
	h := newHarness(t, nil)
	h.order(one, 1)
	h.controller.SetZone(upstream.ZoneCordoned)
	h.controller.StartDone(h.now, h.starts[0], call.Fenced, 0)
	qt.Assert(t, h.starts, qt.HasLen, 1)
	qt.Assert(t, h.ends[one], qt.HasLen, 1)
	qt.Assert(t, h.ends[one][0].Outcome, qt.Equals, job.NotStarted)
	qt.Assert(t, h.ends[one][0].Reason, qt.Equals, fleet.ZoneCordoned)
	qt.Assert(t, h.controller.RunCount(), qt.Equals, 0)
}

// TestUnknownZone: nothing is started before it is known which zones are cordoned.
func TestUnknownZone(t *testing.T) {
	h := newHarness(t, nil)
	h.controller.SetZone(upstream.ZoneUnknown)
	h.order(one, 1)
	qt.Assert(t, h.starts, qt.HasLen, 0)
	qt.Assert(t, h.ends[one][0].Reason, qt.Equals, fleet.NotAccepting)
	qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Clearing)
}

// TestCordonedSuspect: a suspect upstream gets no probes while its zone is cordoned.
func TestCordonedSuspect(t *testing.T) {
	h := newHarness(t, nil)
	for run := range job.Run(4) {
		h.order(one, run+1)
		h.controller.StartDone(h.now, h.starts[len(h.starts)-1], call.Declined, 0)
	}
	h.pass(time.Second)
	h.controller.Flush(h.now)
	qt.Assert(t, h.rooms[one].State == fleet.Probing || h.rooms[two].State == fleet.Probing, qt.IsTrue)
	h.controller.SetZone(upstream.ZoneCordoned)
	h.controller.Flush(h.now)
	qt.Assert(t, h.rooms[one].State, qt.Equals, fleet.Cordoned)
	qt.Assert(t, h.rooms[two].State, qt.Equals, fleet.Cordoned)
}
