package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/retry"
)

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name string
		end  retry.End
		want retry.Action
	}{
		{"done", retry.End{Outcome: job.Done, Kept: true, Reason: fleet.AgentSilent}, retry.Done},
		{"failed once", retry.End{Outcome: job.Failed, Failures: 1, MaxAttempts: 3}, retry.Retry},
		{"failed too often", retry.End{Outcome: job.Failed, Failures: 3, MaxAttempts: 3}, retry.FailJob},
		{"lost after failures", retry.End{Outcome: job.Lost, Failures: 3, MaxAttempts: 3}, retry.Retry},
		{"lost with its agent", retry.End{Outcome: job.Lost, Reason: fleet.AgentSilent}, retry.Retry},
		{"kept, lost with its agent", retry.End{Outcome: job.Lost, Reason: fleet.AgentSilent, Kept: true}, retry.AwaitStore},
		{"kept, its crash not stored", retry.End{Outcome: job.Lost, Kept: true, StoreFirst: true}, retry.AwaitStore},
		{"stopped", retry.End{Outcome: job.Stopped, Kept: true}, retry.Retry},
	} {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, retry.Decide(c.end), qt.Equals, c.want) })
	}
}

func TestShouldMove(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name             string
		took, left, anew time.Duration
		want             bool
	}{
		{"in time where it is", second / 2, second / 4, second / 10, false},
		{"in time only elsewhere", second / 2, second, second / 4, true},
		{"late either way", second / 2, second, second, false},
		{"late instead of useless", second, 3 * second, second, true},
		{"in time except for the time to stop", second / 2, second, second / 2, false},
	} {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, retry.ShouldMove(c.took, second, c.left, c.anew), qt.Equals, c.want) })
	}
}
