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

// TestCordonedZone: the agent is the last to decide. An order of an entry that has not heard of the cordon is refused as not begun, and
// what runs goes on to its end.
func TestCordonedZone(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	qt.Assert(t, b.starts, qt.HasLen, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.manager.SetZone(upstream.ZoneCordoned)
	b.manager.Flush(b.now)
	qt.Assert(t, b.rooms[two].State, qt.Equals, fleet.Cordoned)
	b.manager.Order(b.now, two, fleet.Order{
		Seq: 1, Job: jobID + 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 1}},
	})
	qt.Assert(t, b.starts, qt.HasLen, 1)
	qt.Assert(t, b.stops, qt.HasLen, 0)
	qt.Assert(t, b.ends[two], qt.HasLen, 1)
	qt.Assert(t, b.ends[two][0].Outcome, qt.Equals, job.NotStarted)
	qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.ZoneCordoned)
	qt.Assert(t, b.manager.RunCount(), qt.Equals, 1)

	b.manager.SetZone(upstream.ZoneOpen)
	b.manager.Flush(b.now)
	qt.Assert(t, b.rooms[two].State, qt.Equals, fleet.Ready)
	b.manager.Order(b.now, two, fleet.Order{
		Seq: 2, Job: jobID + 1, Each: job.Resources{CPU: 1000}, Estimate: time.Second, Tasks: []fleet.TaskRun{{Run: 2}},
	})
	qt.Assert(t, b.starts, qt.HasLen, 2)
}

// TestCordonMeetsWaitingOrder: an order that waits for the end of an earlier run of its task is refused when that comes after the cordon.
func TestCordonMeetsWaitingOrder(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.StartDone(b.now, b.starts[0], call.OK, b.clock())
	b.order(two, 2)
	qt.Assert(t, b.ends[two], qt.HasLen, 0)
	b.manager.SetZone(upstream.ZoneCordoned)
	b.manager.StopDone(b.now, b.stops[0], call.OK, b.clock())
	for range 2 { // the first answer was asked for before the stop was answered, and proves nothing
		b.pass(time.Millisecond)
		b.answerHolds()
	}
	qt.Assert(t, b.starts, qt.HasLen, 1)
	qt.Assert(t, b.ends[two], qt.HasLen, 1)
	qt.Assert(t, b.ends[two][0].Reason, qt.Equals, fleet.ZoneCordoned)
}

// TestCordonMeetsFencedStart: a start that the upstream has refused for its token's sake is not sent again after the cordon.
func TestCordonMeetsFencedStart(t *testing.T) {
	b := newHarness(t, nil)
	b.order(one, 1)
	b.manager.SetZone(upstream.ZoneCordoned)
	b.manager.StartDone(b.now, b.starts[0], call.Fenced, 0)
	qt.Assert(t, b.starts, qt.HasLen, 1)
	qt.Assert(t, b.ends[one], qt.HasLen, 1)
	qt.Assert(t, b.ends[one][0].Outcome, qt.Equals, job.NotStarted)
	qt.Assert(t, b.ends[one][0].Reason, qt.Equals, fleet.ZoneCordoned)
	qt.Assert(t, b.manager.RunCount(), qt.Equals, 0)
}

// TestUnknownZone: before anybody has said which zones are cordoned, nothing starts.
func TestUnknownZone(t *testing.T) {
	b := newHarness(t, nil)
	b.manager.SetZone(upstream.ZoneUnknown)
	b.order(one, 1)
	qt.Assert(t, b.starts, qt.HasLen, 0)
	qt.Assert(t, b.ends[one][0].Reason, qt.Equals, fleet.NotAccepting)
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Clearing)
}

// TestCordonedSuspect: an upstream under suspicion gets no probes while its zone is cordoned.
func TestCordonedSuspect(t *testing.T) {
	b := newHarness(t, nil)
	for run := range job.Run(4) {
		b.order(one, run+1)
		b.manager.StartDone(b.now, b.starts[len(b.starts)-1], call.Declined, 0)
	}
	b.pass(time.Second)
	b.manager.Flush(b.now)
	qt.Assert(t, b.rooms[one].State == fleet.Probing || b.rooms[two].State == fleet.Probing, qt.IsTrue)
	b.manager.SetZone(upstream.ZoneCordoned)
	b.manager.Flush(b.now)
	qt.Assert(t, b.rooms[one].State, qt.Equals, fleet.Cordoned)
	qt.Assert(t, b.rooms[two].State, qt.Equals, fleet.Cordoned)
}
