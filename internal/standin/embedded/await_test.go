package embedded

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStaysLinked guards against a cluster that counts as up after a single successful check: an entry still counts a link for a
// while after its agent has abandoned it.
func TestStaysLinked(t *testing.T) {
	always := func(int) bool { return true }
	for _, test := range []struct {
		name string
		// linked is the result of the n-th check, counted from 1.
		linked func(n int) bool
		limit  time.Duration
		want   bool
	}{
		{"from the first check on", always, time.Second, true},
		{"never", func(int) bool { return false }, 2 * stablePeriod, false},
		{"intermittently", func(n int) bool { return n%4 != 0 }, 3 * stablePeriod, false},
		{"once early, then for good", func(n int) bool { return n == 1 || n > 5 }, 2 * time.Second, true},
		{"limit shorter than the stable period", always, stablePeriod / 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			checks := 0
			lastMissing := time.Now()
			got := staysLinked(func() bool {
				checks++
				if !test.linked(checks) {
					lastMissing = time.Now()
					return false
				}
				return true
			}, time.Now().Add(test.limit))
			qt.Assert(t, got, qt.Equals, test.want)
			if got {
				qt.Assert(t, time.Since(lastMissing) >= stablePeriod, qt.IsTrue)
			}
		})
	}
}
