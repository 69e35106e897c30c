package unconfirmed_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/unconfirmed"
)

var start = time.Unix(1000, 0)

func lost(id job.ID) fleet.Crash {
	return fleet.Crash{Task: job.TaskID{Job: id}, VM: "vm", Life: ident.UpstreamLife{ID: "u-1"}}
}

// look is what an agent tells of an upstream.
type report struct {
	after   time.Duration
	vm      ident.UpstreamName
	up      ident.UpstreamID
	settled bool
}

func TestResolve(t *testing.T) {
	for _, c := range []struct {
		name  string
		looks []report
		want  int
	}{
		{"another stands there", []report{{time.Second, "vm", "u-2", false}}, 1},
		{"once only", []report{{time.Second, "vm", "u-2", false}, {time.Second, "vm", "u-3", true}}, 1},
		{"the same lives", []report{{time.Second, "vm", "u-1", true}, {2 * time.Second, "vm", "u-2", true}}, 0},
		{"the same is told of, and then another", []report{{time.Second, "vm", "u-1", false}, {2 * time.Second, "vm", "u-2", true}}, 1},
		{"another VM", []report{{time.Second, "other", "u-2", true}}, 0},
		{"forgotten", []report{{11 * time.Second, "other", "u-2", true}, {11 * time.Second, "vm", "u-2", true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l unconfirmed.Crashes
			l.Add(start, lost(1))
			got := 0
			for _, k := range c.looks {
				got += len(l.Resolve(start.Add(k.after), k.vm, k.up, k.settled))
			}
			qt.Assert(t, got, qt.Equals, c.want)
		})
	}
}

// TestBound: what is in doubt has a bound.
func TestBound(t *testing.T) {
	var l unconfirmed.Crashes
	for i := range 5000 {
		l.Add(start, lost(job.ID(i)))
	}
	qt.Assert(t, len(l.Resolve(start, "vm", "u-2", true)) <= 1024, qt.IsTrue)
}
