package doubt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/doubt"
)

var start = time.Unix(1000, 0)

func lost(id job.ID) fleet.Crash {
	return fleet.Crash{Task: job.TaskID{Job: id}, VM: "vm", Life: ident.UpstreamLife{ID: "u-1"}}
}

// look is what an agent tells of an upstream.
type look struct {
	after   time.Duration
	vm      ident.UpstreamName
	stands  ident.UpstreamID
	settled bool
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name  string
		looks []look
		want  int
	}{
		{"another stands there", []look{{time.Second, "vm", "u-2", false}}, 1},
		{"once only", []look{{time.Second, "vm", "u-2", false}, {time.Second, "vm", "u-3", true}}, 1},
		{"the same lives", []look{{time.Second, "vm", "u-1", true}, {2 * time.Second, "vm", "u-2", true}}, 0},
		{"the same is told of, and then another", []look{{time.Second, "vm", "u-1", false}, {2 * time.Second, "vm", "u-2", true}}, 1},
		{"another VM", []look{{time.Second, "other", "u-2", true}}, 0},
		{"forgotten", []look{{11 * time.Second, "other", "u-2", true}, {11 * time.Second, "vm", "u-2", true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l doubt.List
			l.Add(start, lost(1))
			got := 0
			for _, k := range c.looks {
				got += len(l.Decide(start.Add(k.after), k.vm, k.stands, k.settled))
			}
			qt.Assert(t, got, qt.Equals, c.want)
		})
	}
}

// TestBound: what is in doubt has a bound.
func TestBound(t *testing.T) {
	var l doubt.List
	for i := range 5000 {
		l.Add(start, lost(job.ID(i)))
	}
	qt.Assert(t, len(l.Decide(start, "vm", "u-2", true)) <= 1024, qt.IsTrue)
}
