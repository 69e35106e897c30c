package schedule

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
)

// claimsFrom is the first seed of the worlds in which entries claim room for jobs that wait. They have the faults of the other worlds in
// turn, and more jobs, so that there is often too little room.
const claimsFrom = 30_000_000_000

// claimingEntries is the number of entries from which on entries claim room, and as many there are.
const claimingEntries = 2

// claimJobFactor multiplies the number of jobs.
const claimJobFactor = 3

// claimKinds lists the first seeds of the worlds whose faults the worlds with claims have.
var claimKinds = []uint64{
	1, impatientFrom, restartsFrom, cordonsFrom, crashesFrom, vmFaultsFrom, partitionsFrom, callerPartitionsFrom, lateCallsFrom, cpuStarvationFrom,
}

// claimsProfile returns the profile of the n-th world with claims.
func claimsProfile(n uint64) profile {
	kinds := uint64(len(claimKinds))
	p := profileOf(claimKinds[n%kinds] + n/kinds)
	p.claims, p.jobFactor = true, claimJobFactor
	return p
}

// checkNothingReserved checks that no room is kept from an entry once all jobs have ended: neither for a claim that nobody needs nor for
// an entry that has ended.
func (w *world) checkNothingReserved() {
	if !w.profile.claims {
		return
	}
	for _, e := range w.entries {
		if !e.alive || e.frozen {
			continue
		}
		for _, u := range e.table.Upstreams() {
			if u.State == fleet.Ready && u.FreeCPU != u.TotalCPU {
				w.violate("%s sees %d of %d free at %s, where nothing runs", e.name, u.FreeCPU, u.TotalCPU, u.ID)
			}
		}
	}
}

// TestSchedulesWithClaims runs schedules of all kinds in which entries claim room. Claims are lost with their links and their processes, come
// late, and belong to former lives of entries, agents and upstreams; no task may run twice for that, and every schedule comes to rest.
func TestSchedulesWithClaims(t *testing.T) {
	requireNoViolation(t, claimsFrom+*seed, longSchedules())
}

// TestClaimsAreExercised checks that the schedules with claims reserve room, use it, and let reservations lapse.
func TestClaimsAreExercised(t *testing.T) {
	var received, reserved, used, lapsed atomic.Int64
	onAllProcessors(40, func(i uint64) (more bool) {
		s := claimsFrom + i
		for _, a := range runSchedule(s, nil, faultCount(s)).agents {
			c := a.controller.ClaimCounts()
			received.Add(c.Received)
			reserved.Add(c.Reserved)
			used.Add(c.Used)
			lapsed.Add(c.Lapsed)
		}
		return true
	})
	t.Logf("received %d, reserved %d, used %d, lapsed %d", received.Load(), reserved.Load(), used.Load(), lapsed.Load())
	qt.Assert(t, used.Load() > 100, qt.IsTrue)
	qt.Assert(t, lapsed.Load() > 10, qt.IsTrue)
}
