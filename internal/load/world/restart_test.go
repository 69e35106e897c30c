package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/plan"
)

// TestUpstreamsRestart guards against agents that keep the state of an upstream's former life after it has restarted. Four of
// eleven upstreams crash at the usual load and restart under the same ids a second later, as processes under a supervisor do. Of
// the 2,713 jobs sent later than two seconds after the crash, 0.756 are served in time and 599 refused if agents keep the former
// state, and 0.995 and 11 if they start with new state.
func TestUpstreamsRestart(t *testing.T) {
	const minServed, maxRefused = 0.98, 30
	served, refused := playFault(t, plan.Fault{Kind: plan.UpstreamsRestart, Count: 4, At: countFrom - 2*time.Second, For: time.Second})
	qt.Check(t, served >= minServed, qt.IsTrue)
	qt.Check(t, refused <= maxRefused, qt.IsTrue)
}
