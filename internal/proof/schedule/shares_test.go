package schedule

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/shares"
)

// sharesFrom is the first seed of the worlds in which a share limits the team of all jobs. Entries tell each other their demand, and every
// second world has network partitions.
const sharesFrom = 20_000_000_000

// teamLimit is the part of the capacity that the team may use. Callers ask for several times as much.
const teamLimit = 0.2

// applyShares puts the share in force at an entry.
func (w *world) applyShares(e *entryProc) {
	if !w.profile.shares {
		return
	}
	e.table.SetEntries(2)
	e.table.SetRoutes(map[route.Name]ident.Service{publishRoute.Name: service})
	e.table.SetShares([]shares.Share{{Team: "publishers", Service: service, Routes: []route.Name{publishRoute.Name}, Weight: 1, Limit: teamLimit}})
}

// TestSharesRefuseOnlyWhatHasNotRun guards against jobs that start although their callers were told that their team's share is used up and
// that nothing of them has run, and against kept jobs that are refused after they were stored.
func TestSharesRefuseOnlyWhatHasNotRun(t *testing.T) {
	requireNoViolation(t, sharesFrom+*seed, longSchedules())
	const worlds = 40
	var overShare, kept, complete atomic.Int64
	onAllProcessors(worlds, func(i uint64) bool {
		w := runSchedule(sharesFrom+i, nil, faultCount(i))
		for _, s := range w.order {
			for _, a := range s.answers {
				switch {
				case a.Reason == verdict.OverShare && s.kept:
					kept.Add(1)
				case a.Reason == verdict.OverShare:
					overShare.Add(1)
				case a.State == verdict.Complete:
					complete.Add(1)
				}
			}
		}
		return true
	})
	t.Logf("%d jobs refused for their share, %d complete", overShare.Load(), complete.Load())
	qt.Assert(t, kept.Load(), qt.Equals, int64(0))
	qt.Assert(t, overShare.Load() > worlds && complete.Load() > worlds, qt.IsTrue)
}
