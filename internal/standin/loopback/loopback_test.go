package loopback_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/standin/loopback"
)

// TestDrawRepeatsNothing: of 300 addresses that are drawn at random from two million, two are the same in one run of fifty, and
// the second server can't listen.
func TestDrawRepeatsNothing(t *testing.T) {
	const addresses = 100_000
	seen := make(map[string]bool)
	for range addresses {
		seen[loopback.Draw(loopback.Embedded, 7400)] = true
	}
	qt.Assert(t, seen, qt.HasLen, addresses)
}
