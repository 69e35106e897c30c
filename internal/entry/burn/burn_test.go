package burn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/config/object"
	"hillreel/internal/core/ident"
	"hillreel/internal/entry/burn"
)

// TestBurn checks the burn rates of two budgets, the end of windows, and the contributors, with 20% slow jobs and later only incomplete ones.
func TestBurn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := burn.New(func() time.Time { return now }, func() []object.Objective {
		return []object.Objective{{Service: "publish", WithinIdeal: 2, FastShare: 0.9, CompleteShare: 0.99}}
	})
	job := func(complete bool, took time.Duration, upstreams ...ident.UpstreamID) {
		r.RecordJob(burn.Job{Service: "publish", Complete: complete, Took: took, Longest: time.Second, Upstreams: upstreams})
	}
	for range 80 {
		job(true, time.Second)
	}
	for range 20 {
		job(true, 3*time.Second)
	}
	r.RecordJob(burn.Job{Service: "other"})
	rates := r.Report()[0].Rates
	qt.Assert(t, rates[0].Jobs, qt.Equals, 100)
	qt.Assert(t, rates[0].Fast > 1.99 && rates[0].Fast < 2.01, qt.IsTrue, qt.Commentf("20%% of jobs were slow, 10%% are allowed: %v", rates[0].Fast))
	qt.Assert(t, rates[0].Complete, qt.Equals, 0.0)

	now = now.Add(10 * time.Minute)
	for range 100 {
		job(false, time.Second, "u7")
	}
	s := r.Report()[0]
	qt.Assert(t, s.Rates[0].Jobs, qt.Equals, 100, qt.Commentf("the first jobs are older than the 5 minutes"))
	qt.Assert(t, s.Rates[1].Jobs, qt.Equals, 200)
	qt.Assert(t, s.Rates[1].Complete > 49 && s.Rates[1].Complete < 51, qt.IsTrue, qt.Commentf("%v", s.Rates[1].Complete))
	qt.Assert(t, s.Contributors, qt.HasLen, 1)
	qt.Assert(t, s.Contributors[0], qt.Equals, burn.Contributor{Kind: "upstream", Name: "u7", Bad: 100, Share: 100.0 / 120})

	now = now.Add(7 * time.Hour)
	qt.Assert(t, r.Report()[0].Rates[3].Jobs, qt.Equals, 0)
}
