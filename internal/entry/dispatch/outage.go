package dispatch

import "time"

// outage is what is known of the pauses in which nothing came from some peers. What was lost on the way meanwhile comes later: a kernel sends it
// again after pauses that double.
type outage struct {
	// heard is when something came last; zero is never.
	lastHeard time.Time
	// from and to are the last pause, or the last few that came close together; zero is none.
	from, to time.Time
}

// begin says since when something could have come, unless something has.
func (o *outage) begin(now time.Time) {
	if o.lastHeard.IsZero() {
		o.lastHeard = now
	}
}

// hear notes that something came, after a pause or not.
func (o *outage) recordMessage(now time.Time, paused bool) {
	if paused {
		if !o.mayBeDelayed(o.lastHeard) {
			o.from = o.lastHeard // else what was lost before may have been lost again
		}
		o.to = now
	}
	o.lastHeard = now
}

// silent is for how long nothing has come; it is zero while nothing could have.
func (o *outage) silence(now time.Time) time.Duration {
	if o.lastHeard.IsZero() {
		return 0
	}
	return now.Sub(o.lastHeard)
}

// firstResend is after how long a kernel sends again what was lost on the way: at least 200 ms after it was sent, and a little more on slow ways.
const firstResend = 250 * time.Millisecond

// mayBeOld tells whether what comes now may have been sent long ago: the last pause of its kernel before it got through began while nothing did,
// and is as long as all before it and the first one.
func (o *outage) mayBeDelayed(now time.Time) bool {
	return !o.to.IsZero() && now.Sub(o.to) <= o.to.Sub(o.from)+firstResend+disconnectWait
}
