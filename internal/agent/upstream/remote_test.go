package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
)

// TestPaceWithoutRemoteness guards against an upstream that is taken for slow because its runs are away from their data: entries avoid it
// then, and move runs away. A run that is slower than its remoteness explains still shows.
func TestPaceWithoutRemoteness(t *testing.T) {
	for _, test := range []struct {
		name   string
		factor float64
		// took is the time for each percent of a run whose estimate is a second.
		took     time.Duration
		want     float64
		reported bool
	}{
		{"near", 0, 10 * time.Millisecond, 1, false},
		{"remote by 1.5", 1.5, 15 * time.Millisecond, 1, false},
		{"remote by 3", 3, 30 * time.Millisecond, 1, false},
		{"slow", 0, 30 * time.Millisecond, 3, true},
		{"remote by 1.5, and slow", 1.5, 30 * time.Millisecond, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.controller.Order(h.now, one, fleet.Order{
				Seq: 1, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, RemoteFactor: test.factor, Tasks: []fleet.TaskRun{{Run: 1}},
			})
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			for percent := 1; percent <= 50; percent++ {
				h.pass(test.took)
				h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
				h.answerHolds(call.Running{Task: task, Run: 1, Percent: percent})
				h.controller.Flush(h.now)
			}
			pace := h.idleFor(timing.KeepAlive)
			qt.Assert(t, pace > test.want-0.01 && pace < test.want+0.01, qt.IsTrue, qt.Commentf("%v", pace))
			qt.Assert(t, len(h.progress) > 0, qt.Equals, test.reported)
			if test.reported {
				left := h.progress[len(h.progress)-1].Left
				qt.Assert(t, left >= 50*test.took && left < 60*test.took, qt.IsTrue, qt.Commentf("%v", left))
			}
		})
	}
}

// TestRemoteRunStalls: a run away from its data may go without progress for longer.
func TestRemoteRunStalls(t *testing.T) {
	for _, test := range []struct {
		name   string
		factor float64
		idle   time.Duration
		stops  int
	}{
		{"near", 0, 350 * time.Millisecond, 1},
		{"remote, within its time", 3, 350 * time.Millisecond, 0},
		{"remote, beyond its time", 3, time.Second, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.controller.Order(h.now, one, fleet.Order{
				Seq: 1, Job: jobID, Each: job.Resources{CPU: 1000}, Estimate: time.Second, RemoteFactor: test.factor, Tasks: []fleet.TaskRun{{Run: 1}},
			})
			h.controller.StartDone(h.now, h.starts[0], call.OK, h.clock())
			for range test.idle / (50 * time.Millisecond) {
				h.pass(50 * time.Millisecond)
				h.controller.Ping(h.now, one, h.rooms[one].Clock, 1)
				h.answerHolds(call.Running{Task: task, Run: 1})
				h.controller.Flush(h.now)
			}
			qt.Assert(t, h.stops, qt.HasLen, test.stops)
		})
	}
}
