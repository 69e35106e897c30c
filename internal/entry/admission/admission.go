// Package admission decides how long a job waits for room until it is refused, and when it goes among others that wait.
//
// It takes what a job asks for and how the entry stands, and never lets a caller wait for longer than it could be served in time, but for
// kept jobs, which are not refused.
package admission

import "time"

// Wish is what a job asks for.
type Job struct {
	// Objective is the time within which it is to end, Chain the estimated time of its longest chain of steps.
	Objective, CriticalPath time.Duration
	// Left is how long its caller still waits; zero is for ever.
	CallerWait time.Duration
	// Tasks is how many it has.
	Tasks int
	// Kept: it outlives its callers, and is not refused for want of room. SentBefore: its caller was told before to come back.
	Kept, Resent bool
}

// State is how the entry stands.
type State struct {
	// Pace is the median of the upstreams' paces.
	Pace float64
	// Pressure is how much more than what fits was lately asked for, from 0 to 1.
	Pressure float64
	// Ready: an upstream takes work.
	Ready bool
}

// Wait is a decision: for how long a job waits until it is refused, and within which time it should go, by which those that wait are ordered.
type Decision struct{ MaxWait, PlaceWithin time.Duration }

// RefusedRetry is when a refused caller may come back: as long as a burst's queue takes to drain, about the
// objective of the longest kind of job that either user sends.
const RefusedRetry = time.Second

const (
	// waitShare: a job waits for room for the fourth part of its objective, which a burst's queue takes to drain.
	waitDivisor = 4
	// answerTime is what of an objective goes to networks and to handling a job: 3 ms each way to callers, and as much
	// for two hops inside.
	answerTime = 10 * time.Millisecond
	// pressedWait is how long a job waits at least where more is asked than fits for long. A longer wait brings nobody room there: it
	// decides who gets it, those who may wait longest; and 25 ms of queue keep all room in use.
	minWait = 25 * time.Millisecond
	// placeEach is how much earlier than another a job goes for each of its tasks. An entry finds room for one more task each
	// few milliseconds while upstreams are full, and a job is as late as its last task.
	leadPerTask = 3 * time.Millisecond
	// estimateError is how much longer than estimated a run may take: estimates are off by 40%.
	estimateError = 1.5
)

// Decide decides how long a job waits.
func Decide(w Job, s State) Decision {
	wait := firstWait(w, s)
	d := Decision{MaxWait: wait, PlaceWithin: wait - leadTime(w)}
	switch {
	case w.Kept:
		d.MaxWait = max(wait, w.Objective/waitDivisor)
	case w.Resent:
		d.MaxWait = max(wait, resentWait(w, s))
	}
	return d
}

// patience is how long a job that was not sent before waits for room.
func firstWait(w Job, s State) time.Duration {
	share := w.Objective / waitDivisor
	if !s.Ready {
		// After an outage upstreams come back within moments: as long as the job can be in time, it waits for them.
		spare := w.Objective - time.Duration(s.Pace*float64(w.CriticalPath)) - answerTime
		return max(spare, share)
	}
	least := min(share, minWait)
	return share - time.Duration(s.Pressure*float64(share-least))
}

// lead is by how much a job goes ahead of others for its width: at most as long as it may wait on a calm day.
func leadTime(w Job) time.Duration {
	return min(time.Duration(w.Tasks)*leadPerTask, w.Objective/waitDivisor)
}

// again is how long a job that was sent before waits for room behind others: as long as its refusal would tell its caller to stay
// away, if it can end before its caller leaves.
func resentWait(w Job, s State) time.Duration {
	spare := w.CallerWait - time.Duration(estimateError*s.Pace*float64(w.CriticalPath)) - answerTime
	return min(RefusedRetry, spare)
}
