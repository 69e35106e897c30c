package upstream

import "time"

// idlePaceTTL is how long the pace of an upstream stays valid after its last run. The upstream may have recovered since, but no run would
// show it, because work goes to faster upstreams while these have room. An upstream that is still slow is tried at this interval.
const idlePaceTTL = 5 * time.Second

// reviewPace discards the pace of an upstream that has been idle for idlePaceTTL. Entries then rate it like most others, until its next
// run shows the pace. They learn of that with the next keep-alive.
func (u *Controller) reviewPace(now time.Time) {
	if len(u.runs) == 0 && now.Sub(u.idleSince) >= idlePaceTTL {
		u.health.ForgetPace()
	}
}
