package embedded

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStaysLinked: one look that finds the set linked does not do, since an entry counts links for a while that their agents
// have given up.
func TestStaysLinked(t *testing.T) {
	always := func(int) bool { return true }
	for _, test := range []struct {
		name string
		// linked is what a look finds, by its number.
		linked func(look int) bool
		limit  time.Duration
		want   bool
	}{
		{"from the first look on", always, time.Second, true},
		{"never", func(int) bool { return false }, 2 * stablePeriod, false},
		{"now and then", func(look int) bool { return look%4 != 0 }, 3 * stablePeriod, false},
		{"once early, then for good", func(look int) bool { return look == 1 || look > 5 }, 2 * time.Second, true},
		{"too late to tell", always, stablePeriod / 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			looks := 0
			lastMissing := time.Now()
			got := staysLinked(func() bool {
				looks++
				if !test.linked(looks) {
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
