package loopback_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/standin/loopback"
)

// TestDrawRepeatsNothing guards against two servers with the same address, the second of which cannot listen. If addresses were
// independent random draws from two million, 300 draws would contain a duplicate in one run of fifty.
func TestDrawRepeatsNothing(t *testing.T) {
	const addresses = 100_000
	seen := make(map[string]bool)
	for range addresses {
		seen[loopback.Draw(loopback.Embedded, 7400)] = true
	}
	qt.Assert(t, seen, qt.HasLen, addresses)
}
