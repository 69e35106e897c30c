package world_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/load/world"
)

// TestWorstRefused guards against a figure that hides a kind of entry that refuses more often than the whole.
func TestWorstRefused(t *testing.T) {
	tally := func(sent, refused int) *world.Tally { return &world.Tally{Sent: sent, Refused: refused} }
	for _, test := range []struct {
		name  string
		all   *world.Tally
		parts []*world.Tally
		want  float64
	}{
		{"nothing refused", tally(100, 0), []*world.Tally{tally(50, 0), tally(50, 0)}, 1},
		{"alike", tally(100, 10), []*world.Tally{tally(50, 5), tally(50, 5)}, 1},
		{"one refuses all", tally(100, 10), []*world.Tally{tally(75, 0), tally(25, 10)}, 4},
		{"one is not asked", tally(100, 10), []*world.Tally{tally(100, 10), tally(0, 0)}, 1},
	} {
		r := world.Result{All: test.all}
		qt.Check(t, r.WorstRefused(test.parts), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
