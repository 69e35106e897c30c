package upstream

import "time"

// paceLasts is for how long the pace of an upstream counts after its last run. It may have recovered, and no run would tell, since
// work goes to faster ones while they have room; one that is still slow is tried this often.
const idlePaceTTL = 5 * time.Second

// reviewPace forgets the pace of an upstream that has had nothing to do for a while: entries rate it like most others then, and its
// next run tells. They hear of it with the next keep-alive.
func (k *Controller) reviewPace(now time.Time) {
	if len(k.runs) == 0 && now.Sub(k.idleSince) >= idlePaceTTL {
		k.health.ForgetPace()
	}
}
