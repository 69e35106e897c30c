package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// cordonInterval is the mean pause between two evacuation requests.
	cordonInterval = 800 * time.Millisecond
	// cordonBound is the time within which a request must take effect when all faults are over: after it, nothing may start in an
	// evacuated zone. It is the platform's bound for configuration changes, 5 s.
	cordonBound = 5 * time.Second
	// jobsAfterCordon is the number of jobs sent after cordonBound, one after another, to check the evacuation.
	jobsAfterCordon = 20
)

// changeEvacuations requests or cancels the evacuation of a zone, or overwrites the request with an unreadable row of another writer. It
// returns a description for the log.
func (cl *cluster) changeEvacuations(rng *rand.Rand) string {
	zone := zoneOf(rng.IntN(zones))
	switch rng.IntN(8) {
	case 0, 1, 2:
		cl.store.Evacuate(zone)
		return "evacuate " + zone
	case 3, 4, 5:
		cl.store.TakeBack(zone)
		return "cancel " + zone + "'s evacuation"
	case 6:
		cl.store.TakeBack(zone)
		cl.store.Evacuate(zone)
		cl.store.Forget()
		return "cancel " + zone + "'s evacuation, evacuate it again and drop the history"
	}
	cl.store.Put("op", "evacuate/"+zone, []byte("\xff"))
	return "write an unreadable request to evacuate " + zone
}

// leaveOneZoneEvacuated cancels all evacuations, evacuates one zone, and returns its name.
func (cl *cluster) leaveOneZoneEvacuated(rng *rand.Rand) string {
	for i := range zones {
		cl.store.TakeBack(zoneOf(i))
	}
	zone := zoneOf(rng.IntN(zones))
	cl.store.Evacuate(zone)
	return zone
}

// startsIn returns how many runs have started in a zone.
func (cl *cluster) startsIn(zone string) int {
	n := 0
	for i, a := range cl.agents {
		if a.zone == zone {
			n += cl.ledger.StartsAtNamed(upstreamName(i))
		}
	}
	return n
}

// checkEvacuated checks, when all faults are over, that nothing starts in the evacuated zone, and that runs start there again after the
// evacuation is cancelled. It returns the problems found.
func (cl *cluster) checkEvacuated(zone string) []string {
	time.Sleep(cordonBound)
	before := cl.startsIn(zone)
	if why := probeIdle(cl, jobsAfterCordon); why != "" {
		return []string{"with " + zone + " evacuated: " + why}
	}
	if n := cl.startsIn(zone) - before; n > 0 {
		return []string{fmt.Sprintf("%d starts in %s, which is evacuated", n, zone)}
	}
	cl.store.TakeBack(zone)
	for until := time.Now().Add(cordonBound); cl.startsIn(zone) == before; {
		if time.Now().After(until) {
			return []string{"nothing starts in " + zone + " after its evacuation was cancelled"}
		}
		if why := probeIdle(cl, 1); why != "" {
			return []string{"after the evacuation of " + zone + " was cancelled: " + why}
		}
	}
	return nil
}
