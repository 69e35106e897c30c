package unconfirmed_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/unconfirmed"
)

var start = time.Unix(1000, 0)

func lost(id job.ID) fleet.Crash {
	return fleet.Crash{Task: job.TaskID{Job: id}, VM: "vm", Life: ident.UpstreamLife{ID: "u-1"}}
}

// report is an agent's report of its upstream.
type report struct {
	after   time.Duration
	vm      ident.UpstreamName
	up      ident.UpstreamID
	settled bool
}

func TestResolve(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []report
		want    int
	}{
		{"another upstream", []report{{time.Second, "vm", "u-2", false}}, 1},
		{"once only", []report{{time.Second, "vm", "u-2", false}, {time.Second, "vm", "u-3", true}}, 1},
		{"the same upstream", []report{{time.Second, "vm", "u-1", true}, {2 * time.Second, "vm", "u-2", true}}, 0},
		{"the same upstream at first, then another", []report{{time.Second, "vm", "u-1", false}, {2 * time.Second, "vm", "u-2", true}}, 1},
		{"another VM", []report{{time.Second, "other", "u-2", true}}, 0},
		{"a VM that is away for long", []report{{11 * time.Second, "other", "u-2", true}, {11 * time.Second, "vm", "u-2", true}}, 1},
		{"expired", []report{{121 * time.Second, "other", "u-2", true}, {121 * time.Second, "vm", "u-2", true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l unconfirmed.Crashes
			l.Add(start, lost(1), unconfirmed.Own)
			got := 0
			for _, r := range c.reports {
				got += len(l.Resolve(start.Add(r.after), 2, r.vm, ident.UpstreamLife{ID: r.up}, r.settled).Own)
			}
			qt.Assert(t, got, qt.Equals, c.want)
		})
	}
}

// TestAgentThatLived: the agent that had the run confirms nothing, another one on the VM does.
func TestAgentThatLived(t *testing.T) {
	for _, c := range []struct {
		name      string
		had, says ident.Incarnation
		want      int
	}{
		{"the same agent", 7, 7, 0},
		{"another agent", 7, 8, 1},
		{"not known which", 0, 8, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l unconfirmed.Crashes
			lost := lost(1)
			lost.Agent = c.had
			l.Add(start, lost, unconfirmed.Relayed)
			next := ident.UpstreamLife{ID: "u-2"}
			qt.Assert(t, l.Resolve(start, c.says, "vm", next, true).Relayed, qt.HasLen, c.want)
			qt.Assert(t, l.Resolve(start, 9, "vm", next, true).Relayed, qt.HasLen, 0)
		})
	}
}

// TestLastHeardCounts: of several reports of one crash, the one that has heard of the run last counts.
func TestLastHeardCounts(t *testing.T) {
	unknown, early, late := lost(1), lost(1), lost(1)
	early.Loss, early.Age = 7, 10*time.Millisecond
	late.Loss, late.Age = 8, 30*time.Millisecond
	for _, c := range []struct {
		name    string
		reports []fleet.Crash
		want    fleet.Crash
	}{
		{"the age becomes known", []fleet.Crash{unknown, early}, early},
		{"the age stays known", []fleet.Crash{early, unknown}, early},
		{"later", []fleet.Crash{early, late}, late},
		{"earlier", []fleet.Crash{late, early}, late},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l unconfirmed.Crashes
			for _, r := range c.reports {
				l.Add(start, r, unconfirmed.Relayed)
			}
			all, _ := l.Of(start, unknown.Task)
			qt.Assert(t, all, qt.DeepEquals, []fleet.Crash{c.want})
		})
	}
}

// TestBound: the number of unconfirmed crashes is limited.
func TestBound(t *testing.T) {
	var l unconfirmed.Crashes
	for i := range 5000 {
		l.Add(start, lost(job.ID(i)), unconfirmed.Own)
	}
	qt.Assert(t, len(l.Resolve(start, 2, "vm", ident.UpstreamLife{ID: "u-2"}, true).Own) <= 1024, qt.IsTrue)
}
