package peers_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/peers"
)

func entries(n int) []peers.Candidate {
	out := make([]peers.Candidate, n)
	for i := range out {
		out[i].Address = fmt.Sprintf("10.0.%d.%d:7720", i/250, i%250)
	}
	return out
}

// TestFewEntriesAreAllChosen: up to the bound every entry is linked.
func TestFewEntriesAreAllChosen(t *testing.T) {
	for _, n := range []int{0, 1, 12} {
		qt.Assert(t, peers.Choose("agent", 12, entries(n)), qt.HasLen, n)
	}
}

// TestManyEntriesAreSpread: each agent links to so many, and each entry is linked by about as many agents.
func TestManyEntriesAreSpread(t *testing.T) {
	count := make(map[string]int)
	for a := range 900 {
		chosen := peers.Choose(fmt.Sprintf("side-zone-%d", a), 12, entries(100))
		qt.Assert(t, chosen, qt.HasLen, 12)
		for address := range chosen {
			count[address]++
		}
	}
	for address, n := range count {
		qt.Assert(t, n > 60 && n < 160, qt.IsTrue, qt.Commentf("%s: %d agents, 108 on average", address, n))
	}
	qt.Assert(t, count, qt.HasLen, 100)
}

// TestFailingEntriesAreReplaced: one that can't be reached stays chosen, and another is chosen besides; those that have
// asked are always chosen; and when an entry goes, the other choices stay.
func TestFailingEntriesAreReplaced(t *testing.T) {
	all := entries(40)
	before := peers.Choose("agent", 12, all)
	for i := range all {
		if before[all[i].Address] {
			all[i].Failing = true
			break
		}
	}
	after := peers.Choose("agent", 12, all)
	qt.Assert(t, after, qt.HasLen, 13)
	for address := range before {
		qt.Assert(t, after[address], qt.IsTrue)
	}
	for i := range all {
		all[i].Wanted = true
	}
	qt.Assert(t, peers.Choose("agent", 12, all), qt.HasLen, 40)
}
