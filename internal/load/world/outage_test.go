package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestOutage: all entries lose power for 1.4 s at the usual load, two thirds of the room. Their callers send what was under way again
// once they are back, twice as many jobs as usual come, and what can still be in time must not wait behind what can't: of the
// jobs sent from the outage on, 0.953 were served in time and 109 of 2,713 refused while all were treated alike (0.950 and 122 with those
// that were sent again merely behind the others), and 0.964 and 88 while these leave half of each upstream's room, but for jobs as
// long as callers' pause (0.978 and 47 with these, which can't be told where callers wait as long as their jobs are).
func TestOutage(t *testing.T) {
	const least, mostRefused = 0.96, 95
	served, refused := playFault(t, plan.Fault{Kind: plan.EntriesLost, Count: 4, At: countFrom, For: 1400 * time.Millisecond})
	qt.Check(t, served >= least, qt.IsTrue)
	qt.Check(t, refused <= mostRefused, qt.IsTrue)
}

// counted is from when on playFault counts jobs.
const countFrom = 6 * time.Second

// playFault plays the usual load with a fault, three seeds, and says which part of the jobs was served in time and how many were refused.
func playFault(t *testing.T, f plan.Fault) (served float64, refused int) {
	var inTime, asked int
	for seed := range uint64(3) {
		p := example(t)
		p.Seed, p.Length, p.Warmup = seed+1, 2*countFrom, countFrom
		p.Faults = []plan.Fault{f}
		all := play(t, p).All
		inTime, asked, refused = inTime+all.InTime, asked+all.Sent, refused+all.Refused
	}
	served = float64(inTime) / float64(asked)
	t.Logf("served %.3f in time of %d, refused %d", served, asked, refused)
	return served, refused
}
