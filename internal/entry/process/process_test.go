package process

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/settings"
)

// TestConfigPolls guards against configuration polls that grow with the number of entries. In a region of few entries, each polls as often
// as the settings say. With more entries, all of them together poll no more often, and no poll waits longer than those of other tables.
func TestConfigPolls(t *testing.T) {
	set, err := settings.Load("")
	qt.Assert(t, err, qt.IsNil)
	least := set.Platform.ConfigWait
	perSecond := func(n int) float64 { return float64(n) / configWait(set, n).Seconds() }
	for _, n := range []int{0, 1, 3, 6} {
		qt.Assert(t, configWait(set, n), qt.Equals, least)
	}
	for _, n := range []int{8, 50, 92, 184} {
		qt.Assert(t, perSecond(n) <= 1.01*pollsPerWait/least.Seconds(), qt.IsTrue, qt.Commentf("%d entries: %.1f", n, perSecond(n)))
		qt.Assert(t, perSecond(2*n) <= 2.05*perSecond(n), qt.IsTrue)
	}
	qt.Assert(t, configWait(set, 2000) <= max(set.Platform.ListWait, least), qt.IsTrue)
	qt.Assert(t, configWait(set, 2000) > 20*time.Second, qt.IsTrue)
}
