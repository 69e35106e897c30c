package witness_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/witness"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// running returns n runs.
func running(n int) []fleet.Crash {
	out := make([]fleet.Crash, n)
	for i := range out {
		out[i].Task.Index = uint32(i)
	}
	return out
}

// TestTake: the last report of an entry is returned once, and a report without runs removes the former one.
func TestTake(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports [][]fleet.Crash
		want    int
	}{
		{"no report", nil, 0},
		{"one report", [][]fleet.Crash{running(2)}, 2},
		{"the last one counts", [][]fleet.Crash{running(2), running(1)}, 1},
		{"all runs have ended", [][]fleet.Crash{running(2), nil}, 0},
		{"more runs than an entry can have", [][]fleet.Crash{running(1000)}, 64},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b witness.Book
			b.Replace(2, running(3))
			for _, r := range c.reports {
				b.Replace(1, r)
			}
			qt.Check(t, b.Take(1), qt.HasLen, c.want)
			qt.Check(t, b.Take(1), qt.HasLen, 0)
			qt.Check(t, b.Take(ident.Incarnation(2)), qt.HasLen, 3)
		})
	}
}
