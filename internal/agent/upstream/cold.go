package upstream

import "time"

// coldPace is the pace of an upstream that is slow from its start, until its own runs have told it: about 0.2 s of them. It is past
// what counts as slow beside others (1.7 times their median), so that work which would be late there goes elsewhere while there is
// room; how slow upstreams are at first is told nowhere. Where all are cold none is slow beside others.
const coldPace = 2

// noteCold forgets the pace when the upstream becomes cold, and when it has warmed up: it is another one from then on.
func (k *Controller) updateCold(now time.Time) {
	if cold := now.Before(k.coldUntil); cold != k.cold {
		k.cold = cold
		k.health.ForgetPace()
		k.markAllDirty()
	}
}

// pace is what entries are told of the upstream's pace; zero is unknown.
func (k *Controller) pace() float64 {
	if p := k.health.Pace(); p > 0 || !k.cold {
		return p
	}
	return coldPace
}
