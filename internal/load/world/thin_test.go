package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestThinLinks guards against jobs with many tasks that are late because an entry's network link is slow. The links carry 2 Mbit/s,
// and the texts have 1.2 kB like those of the podcast producers, so that sending one takes 5 ms. Each agent that gets a task of a
// job needs the text, and the link sends the texts one after another.
//
// With uncompressed texts 0.747 of all jobs and 0.510 of the jobs with many tasks are served in time, with 1.03 orders per run;
// with compressed texts 0.980 and 0.933, with 1.05 orders per run.
func TestThinLinks(t *testing.T) {
	p := example(t)
	p.Length, p.Warmup, p.Delays.EntryLinkMbits = 20*time.Second, 4*time.Second, 2
	for i := range p.Jobs {
		p.Jobs[i].TextBytes = 1200
	}
	r := play(t, p)
	perRun := float64(r.Messages.Orders) / float64(r.Runs)
	t.Logf("%.2f orders per run", perRun)
	qt.Check(t, perRun <= 1.1, qt.IsTrue)
	check(t, "all", r.All, 0.96)
	for i := range p.Jobs {
		check(t, p.Jobs[i].Name, r.Kinds[i], 0.91)
	}
}
