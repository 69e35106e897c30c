package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/dispatch"
)

// submitSize submits a job of one task that requires some CPU.
func (b *harness) submitSize(id job.ID, cpu int64) {
	b.table.Submit(b.now, dispatch.Request{
		Job: id, Route: queue, Caller: dispatch.CallerID(id), Deadline: b.now.Add(time.Minute),
		Spec: &job.Spec{Text: "x", BestEffort: true, Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: cpu}, Estimate: short}}},
	})
}

// TestSmallJobsPassWideOnes: a job for which there is room is placed however many jobs wait ahead of it for more room,
// until the first of them should be placed. Room that none of them could ever use is never left to them.
func TestSmallJobsPassWideOnes(t *testing.T) {
	for _, test := range []struct {
		name string
		// wide jobs, each of a task of wideCPU, wait for the time waited before a job of 500 comes that fits.
		wide    int
		wideCPU int64
		waited  time.Duration
		placed  bool
	}{
		{"behind one", 1, 2000, 0, true},
		{"behind eight", 8, 2000, 0, true},
		{"shortly before the wide ones should be placed", 8, 2000, 100 * time.Millisecond, true},
		{"once one should be placed", 8, 2000, 104 * time.Millisecond, false},
		{"once one should be placed that is not much larger", 8, 900, 104 * time.Millisecond, true},
		{"once one should be placed that could never be placed there", 8, 2001, 104 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.room(1, fleet.Ready, 600, 0)
			for i := range test.wide {
				b.submitSize(job.ID(i+1), test.wideCPU)
			}
			b.now = b.now.Add(test.waited)
			b.submitSize(100, 500)
			if !test.placed {
				qt.Assert(t, b.orders, qt.HasLen, 0)
				return
			}
			qt.Assert(t, b.orders, qt.HasLen, 1)
			qt.Assert(t, b.orders[0].Job, qt.Equals, job.ID(100))
		})
	}
}

// TestHoldEnds: room is left to a wide job for no longer than it waits.
func TestHoldEnds(t *testing.T) {
	b := newHarness(t, 1)
	b.room(1, fleet.Ready, 600, 0)
	b.submitSize(1, 2000)
	b.now = b.now.Add(104 * time.Millisecond)
	b.submitSize(2, 500)
	qt.Assert(t, b.orders, qt.HasLen, 0)
	b.now = b.now.Add(2 * time.Millisecond)
	b.table.Tick(b.now)
	qt.Assert(t, b.orders, qt.HasLen, 1)
	qt.Assert(t, b.orders[0].Job, qt.Equals, job.ID(2))
}
