package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// cordonEvery is the mean pause between two requests of the operators.
	cordonInterval = 800 * time.Millisecond
	// cordonBound is how long after a request, when all faults are over, nothing may start in the zone any more: the platform's
	// bound on configuration, 5 s.
	cordonBound = 5 * time.Second
	// afterCordon is how many jobs are sent then, one after the other.
	jobsAfterCordon = 20
)

// evacuate asks that nothing more be sent to a zone, or takes that back, or puts a row of another writer beside such requests.
func (s *cluster) changeEvacuations(rng *rand.Rand) string {
	zone := zoneOf(rng.IntN(zones))
	switch rng.IntN(8) {
	case 0, 1, 2:
		s.store.Evacuate(zone)
		return "evacuate " + zone
	case 3, 4, 5:
		s.store.TakeBack(zone)
		return "take " + zone + " back"
	case 6:
		s.store.TakeBack(zone)
		s.store.Evacuate(zone)
		s.store.Forget()
		return "take " + zone + " back, evacuate it again and forget the history"
	}
	s.store.Put("op", "evacuate/"+zone, []byte("\xff"))
	return "an unreadable request to evacuate " + zone
}

// leaveOneZone takes back all requests but one, and returns its zone.
func (s *cluster) leaveOneZoneEvacuated(rng *rand.Rand) string {
	for i := range zones {
		s.store.TakeBack(zoneOf(i))
	}
	zone := zoneOf(rng.IntN(zones))
	s.store.Evacuate(zone)
	return zone
}

// startsIn counts the starts in a zone.
func (s *cluster) startsIn(zone string) int {
	n := 0
	for i, a := range s.agents {
		if a.zone == zone {
			n += s.ledger.StartsAtNamed(upstreamName(i))
		}
	}
	return n
}

// checkEvacuated checks, when all faults are over, that nothing starts in the zone that is left evacuated, and that work comes back to it
// when the request is taken back.
func (s *cluster) checkEvacuated(zone string) []string {
	time.Sleep(cordonBound)
	before := s.startsIn(zone)
	if why := probeIdle(s, jobsAfterCordon); why != "" {
		return []string{"with " + zone + " evacuated: " + why}
	}
	if n := s.startsIn(zone) - before; n > 0 {
		return []string{fmt.Sprintf("%d starts in %s, which is evacuated", n, zone)}
	}
	s.store.TakeBack(zone)
	for until := time.Now().Add(cordonBound); s.startsIn(zone) == before; {
		if time.Now().After(until) {
			return []string{"nothing starts in " + zone + " after it was taken back"}
		}
		if why := probeIdle(s, 1); why != "" {
			return []string{"after " + zone + " was taken back: " + why}
		}
	}
	return nil
}
