package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestUpstreamsRestart: four of eleven upstreams crash at the usual load and start again under their ids a second later, as processes
// that a supervisor restarts do. Once they are back they must be worth what they were: of the jobs sent from two seconds after the crash
// on, 0.756 were served in time and 599 of 2,713 refused while their agents went on with the account of the former lives, and
// 0.995 and 11 with an account of the new ones.
func TestUpstreamsRestart(t *testing.T) {
	const least, mostRefused = 0.98, 30
	served, refused := playFault(t, plan.Fault{Kind: plan.UpstreamsRestart, Count: 4, At: countFrom - 2*time.Second, For: time.Second})
	qt.Check(t, served >= least, qt.IsTrue)
	qt.Check(t, refused <= mostRefused, qt.IsTrue)
}
