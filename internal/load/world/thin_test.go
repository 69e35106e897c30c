package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestThinLinks: entries whose link carries 2 Mbit/s, with texts of 1.2 kB as the podcast producers send them, one of which takes
// 5 ms. Each agent that gets a task of a job needs the text, so that a wide job is late where many texts go out one after the other.
// With texts as they are 0.747 are served in time, of the wide jobs 0.510, with 1.03 orders for
// each run; with texts compressed 0.980 and 0.933, and 1.05 orders.
func TestThinLinks(t *testing.T) {
	p := example(t)
	p.Length, p.Warmup, p.Delays.EntryLinkMbits = 20*time.Second, 4*time.Second, 2
	for i := range p.Jobs {
		p.Jobs[i].TextBytes = 1200
	}
	r := play(t, p)
	perRun := float64(r.Messages.Orders) / float64(r.Runs)
	t.Logf("%.2f orders for each run", perRun)
	qt.Check(t, perRun <= 1.1, qt.IsTrue)
	check(t, "all", r.All, 0.96)
	for i := range p.Jobs {
		check(t, p.Jobs[i].Name, r.Kinds[i], 0.91)
	}
}
