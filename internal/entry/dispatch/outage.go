package dispatch

import "time"

// outage records the intervals in which no message came from some set of peers. Messages lost during such an interval
// arrive later, because the kernel retransmits them with exponential backoff.
type outage struct {
	// lastHeard is the time of the last message; the zero time means none.
	lastHeard time.Time
	// from and to delimit the last interval of silence, or the last few that followed each other closely; zero times mean
	// none.
	from, to time.Time
}

// begin sets the time since which messages could have arrived, unless one has arrived already.
func (o *outage) begin(now time.Time) {
	if o.lastHeard.IsZero() {
		o.lastHeard = now
	}
}

// recordMessage records that a message arrived. afterSilence tells whether it followed an interval of silence.
func (o *outage) recordMessage(now time.Time, afterSilence bool) {
	if afterSilence {
		if !o.mayBeDelayed(o.lastHeard) {
			o.from = o.lastHeard // otherwise what was lost before may have been lost again
		}
		o.to = now
	}
	o.lastHeard = now
}

// silence returns how long no message has arrived. It is zero if none could have arrived yet.
func (o *outage) silence(now time.Time) time.Duration {
	if o.lastHeard.IsZero() {
		return 0
	}
	return now.Sub(o.lastHeard)
}

// firstResend is the time after which a kernel first retransmits lost data: at least 200 ms, and a little more on slow
// paths.
const firstResend = 250 * time.Millisecond

// mayBeDelayed reports whether a message that arrives now may have been sent long ago. Retransmission intervals double: the
// last one before data gets through begins during the silence, and is as long as all intervals before it and the first one
// together.
func (o *outage) mayBeDelayed(now time.Time) bool {
	return !o.to.IsZero() && now.Sub(o.to) <= o.to.Sub(o.from)+firstResend+disconnectWait
}
