package condition_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/condition"
	"hillreel/internal/core/fleet"
)

func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *condition.Facts)
		want   fleet.State
	}{
		{"sound", func(*condition.Facts) {}, fleet.Ready},
		{"the agent leaves", func(f *condition.Facts) { f.AgentLeaving = true }, fleet.Leaving},
		{"draining, cordoned", func(f *condition.Facts) { f.Draining, f.Cordoned = true, true }, fleet.Leaving},
		{"ended", func(f *condition.Facts) { f.SaidEnded = true }, fleet.Leaving},
		{"no heartbeat", func(f *condition.Facts) { f.Described = false }, fleet.Clearing},
		{"room not heard", func(f *condition.Facts) { f.RoomReported = false }, fleet.Clearing},
		{"not listed", func(f *condition.Facts) { f.Listed = false }, fleet.Clearing},
		{"not listed, silent", func(f *condition.Facts) { f.Listed, f.Silent = false, true }, fleet.Clearing},
		{"earlier lease", func(f *condition.Facts) { f.EarlierLease = true }, fleet.Clearing},
		{"silent, cordoned", func(f *condition.Facts) { f.Silent, f.Cordoned = true, true }, fleet.Unreachable},
		{"overdue", func(f *condition.Facts) { f.AnswerOverdue = true }, fleet.Unreachable},
		{"unknown runs, failing", func(f *condition.Facts) { f.UnknownRuns, f.Failing = true, true }, fleet.Clearing},
		{"stop unconfirmed", func(f *condition.Facts) { f.StopUnconfirmed = true }, fleet.Clearing},
		{"cordons unknown", func(f *condition.Facts) { f.CordonsUnknown = true }, fleet.Clearing},
		{"ends not stored, cordoned", func(f *condition.Facts) { f.EndsNotStored, f.Cordoned = true, true }, fleet.Clearing},
		{"cordoned, failing", func(f *condition.Facts) { f.Cordoned, f.Failing = true, true }, fleet.Cordoned},
		{"failing", func(f *condition.Facts) { f.Failing = true }, fleet.Suspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := condition.Facts{Described: true, RoomReported: true, Listed: true}
			c.change(&f)
			got, why := condition.Evaluate(f)
			qt.Assert(t, got, qt.Equals, c.want)
			qt.Assert(t, why, qt.Not(qt.Equals), "")
		})
	}
}
