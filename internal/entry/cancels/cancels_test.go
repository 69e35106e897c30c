package cancels_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/job"
	"hillreel/internal/entry/cancels"
)

// TestHas checks that a cancelled job is remembered for ten seconds from its newest cancellation on.
func TestHas(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// added are the times of the cancellations, after is the time of the check.
		added []time.Duration
		after time.Duration
		want  bool
	}{
		{"never cancelled", nil, 0, false},
		{"at once", []time.Duration{0}, 0, true},
		{"just before the end", []time.Duration{0}, 10*time.Second - 1, true},
		{"at the end", []time.Duration{0}, 10 * time.Second, false},
		{"cancelled again", []time.Duration{0, 6 * time.Second}, 12 * time.Second, true},
		{"cancelled again, long after", []time.Duration{0, 6 * time.Second}, 16 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := cancels.New()
			for _, at := range test.added {
				j.Add(now.Add(at), 7)
				j.Add(now.Add(at), 8)
			}
			qt.Assert(t, j.Has(now.Add(test.after), 7), qt.Equals, test.want)
			qt.Assert(t, j.Has(now.Add(test.after), 9), qt.IsFalse)
		})
	}
}

// TestBound guards against cancellations that take ever more memory: the oldest ones are forgotten first.
func TestBound(t *testing.T) {
	now := time.Unix(1000, 0)
	j := cancels.New()
	for id := range job.ID(60_000) {
		j.Add(now, id)
	}
	qt.Assert(t, j.Has(now, 9_999), qt.IsFalse)
	qt.Assert(t, j.Has(now, 10_000), qt.IsTrue)
	qt.Assert(t, j.Has(now, 59_999), qt.IsTrue)
}
