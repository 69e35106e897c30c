package upstream

import "time"

// coldPace is the pace reported for an upstream in its warm-up, until its own runs show its pace, which takes about 0.2 s of run time. It
// lies above the limit at which an upstream counts as slow (1.7 times the median of all), so that work which would end late here goes to
// other upstreams while they have room. No upstream reports how slow it is in its warm-up. If all upstreams are warming up, none counts
// as slow.
const coldPace = 2

// updateCold discards the pace when the warm-up begins and when it ends: a pace from before says nothing about the time after.
func (u *Controller) updateCold(now time.Time) {
	if cold := now.Before(u.coldUntil); cold != u.cold {
		u.cold = cold
		u.health.ForgetPace()
		u.markAllDirty()
	}
}

// pace returns the pace that is reported to entries; zero if it is unknown.
func (u *Controller) pace() float64 {
	if p := u.health.Pace(); p > 0 || !u.cold {
		return p
	}
	return coldPace
}
