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

// TestFewEntriesAreAllChosen checks that an agent links to all entries if there are no more than the bound.
func TestFewEntriesAreAllChosen(t *testing.T) {
	for _, n := range []int{0, 1, 12} {
		qt.Assert(t, peers.Choose("agent", 12, entries(n)), qt.HasLen, n)
	}
}

// TestManyEntriesAreSpread checks that each agent links to as many entries as the bound allows, and each entry to a similar number of agents.
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

// TestFailingEntriesAreReplaced checks that a failing entry stays chosen and another is chosen in addition, that the other choices do not
// change, and that all entries that have asked for the agent are chosen.
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
