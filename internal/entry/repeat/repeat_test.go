package repeat_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/repeat"
)

func TestAfter(t *testing.T) {
	for _, c := range []struct {
		name string
		end  repeat.Ended
		want repeat.Action
	}{
		{"done", repeat.Ended{Outcome: job.Done, Kept: true, Reason: fleet.AgentSilent}, repeat.Done},
		{"failed once", repeat.Ended{Outcome: job.Failed, Failures: 1, Attempts: 3}, repeat.Again},
		{"failed too often", repeat.Ended{Outcome: job.Failed, Failures: 3, Attempts: 3}, repeat.JobFails},
		{"lost after failures", repeat.Ended{Outcome: job.Lost, Failures: 3, Attempts: 3}, repeat.Again},
		{"lost with its agent", repeat.Ended{Outcome: job.Lost, Reason: fleet.AgentSilent}, repeat.Again},
		{"kept, lost with its agent", repeat.Ended{Outcome: job.Lost, Reason: fleet.AgentSilent, Kept: true}, repeat.Doubtful},
		{"kept, its crash not stored", repeat.Ended{Outcome: job.Lost, Kept: true, StoreFirst: true}, repeat.Doubtful},
		{"stopped", repeat.Ended{Outcome: job.Stopped, Kept: true}, repeat.Again},
	} {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, repeat.After(c.end), qt.Equals, c.want) })
	}
}

func TestPays(t *testing.T) {
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
		{"just in time but for the stop", second / 2, second, second / 2, false},
	} {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, repeat.Pays(c.took, second, c.left, c.anew), qt.Equals, c.want) })
	}
}
