package timeout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/timeout"
)

// TestRaiseTo checks that a slowness seen in other answers of the peer counts at once, and that quick answers reduce the limit again.
func TestRaiseTo(t *testing.T) {
	a := timeout.New(5, 50*time.Millisecond, time.Second)
	a.Observe(10 * time.Millisecond)
	qt.Assert(t, a.Limit(), qt.Equals, 50*time.Millisecond)
	a.RaiseTo(150 * time.Millisecond)
	qt.Assert(t, a.Limit(), qt.Equals, 750*time.Millisecond)
	a.RaiseTo(time.Millisecond)
	qt.Assert(t, a.Limit(), qt.Equals, 750*time.Millisecond)
	for range 100 {
		a.Observe(5 * time.Millisecond)
	}
	qt.Assert(t, a.Limit(), qt.Equals, 50*time.Millisecond)
}

// TestAdaptive checks that the limit is somewhat longer than the usual answer: lost answers hardly raise it, and a peer whose answers all
// take longer does.
func TestAdaptive(t *testing.T) {
	for _, test := range []struct {
		name string
		// took is how long each answer takes; every lost-th answer is lost; with zero, none is.
		took time.Duration
		lost int
		want time.Duration
	}{
		{"quick", time.Millisecond, 0, 25 * time.Millisecond},
		{"quick, one in eighteen lost", time.Millisecond, 18, 25 * time.Millisecond},
		{"five times slower", 5 * time.Millisecond, 0, 100 * time.Millisecond},
		{"slower than the least limit", 40 * time.Millisecond, 0, 150 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := timeout.New(20, 25*time.Millisecond, 150*time.Millisecond)
			for i := range 200 {
				limit := a.Limit()
				if test.took > limit || test.lost > 0 && i%test.lost == 0 {
					a.ObserveTimeout(limit)
					continue
				}
				a.Observe(test.took)
			}
			got := a.Limit()
			qt.Assert(t, got > test.want*9/10 && got < test.want*12/10, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}
