package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// TestProbesInTurn guards against jobs that never begin because one job that comes first in the queue takes all probes: all upstreams are
// suspect, and its tasks are long or stall wherever they run.
func TestProbesInTurn(t *testing.T) {
	for _, test := range []struct {
		name string
		// end is how each run of the first job ends; it goes on if that is empty.
		end job.Outcome
	}{{"long", ""}, {"stalls", job.Stalled}, {"fails to start", job.NotStarted}} {
		t.Run(test.name, func(t *testing.T) {
			const first, small, agents = job.ID(1), 4, 2
			b := newHarness(t, agents)
			for i := range ident.Incarnation(agents) {
				b.room(1+i, fleet.Suspect, 2000, 0)
			}
			b.submit(first, 1, 10, time.Second, time.Hour)
			for i := range job.ID(small) {
				b.submit(first+1+i, 2, 1, time.Second, time.Hour)
			}
			begun := make(map[job.ID]bool)
			seen := 0
			for round := range 10 {
				agent := ident.Incarnation(1 + round%agents)
				b.room(agent, fleet.Probing, 2000, uint64(len(b.orders)))
				for _, o := range b.orders[seen:] {
					begun[o.Job] = true
					b.room(o.agent, fleet.Suspect, 1000, o.Seq)
					switch {
					case o.Job != first:
						b.end(o, 0, job.Done, "")
					case test.end != "":
						b.end(o, 0, test.end, fleet.NoProgress)
					}
				}
				seen = len(b.orders)
				b.pass(100 * time.Millisecond)
			}
			qt.Check(t, begun, qt.HasLen, 1+small)
		})
	}
}

// TestProbeGoesToAnyJob guards against probes that nobody takes: a job leaves them only to jobs that fit, and takes one again once it has left
// them for a while.
func TestProbeGoesToAnyJob(t *testing.T) {
	for _, test := range []struct {
		name string
		// cpu is the size of the other job's task; zero is no other job.
		cpu int64
	}{{"no other job", 0}, {"the other job does not fit", 4000}} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, 2)
			for i := range ident.Incarnation(2) {
				b.room(1+i, fleet.Suspect, 2000, 0)
			}
			b.submit(1, 1, 10, time.Second, time.Hour)
			if test.cpu > 0 {
				b.submitSize(2, test.cpu)
			}
			b.room(1, fleet.Probing, 2000, 0)
			b.room(2, fleet.Probing, 2000, 0)
			qt.Check(t, b.ordersOf(1), qt.HasLen, 2)
		})
	}
}
