package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestAllLost guards against a loss of all VMs whose callers are served nevertheless, or from which the deployment does not recover.
func TestAllLost(t *testing.T) {
	for _, test := range []struct {
		name string
		load float64
	}{{"0.9 times the load", 0.9}, {"1.1 times the load", 1.1}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := example(t)
			p.Jobs = p.Jobs[:2] // without the long ones
			p.Load, p.Length, p.Warmup = test.load, 16*time.Second, 2*time.Second
			const from, lasts = 6 * time.Second, 1200 * time.Millisecond
			p.Faults = []plan.Fault{{Kind: plan.AllLost, At: from, For: lasts}}
			r := play(t, p)
			// Nobody answers while all VMs are down, and callers send again after 1.3 s, which is beyond the objective of all these jobs.
			down := r.Seconds[from/time.Second]
			qt.Check(t, down.InTime, qt.Equals, 0)
			const recovered = 12 // the second by which all jobs that were sent before the outage have ended
			var inTime, sent int
			for _, tally := range r.Seconds[recovered:] {
				inTime, sent = inTime+tally.InTime, sent+tally.Sent
			}
			t.Logf("in time of the second of the loss %d of %d, after recovery %d of %d", down.InTime, down.Sent, inTime, sent)
			qt.Check(t, 20*inTime >= 19*sent, qt.IsTrue)
		})
	}
}
