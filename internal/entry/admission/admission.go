// Package admission decides how long a job waits for capacity before it is refused, and its place among waiting jobs.
//
// The decision depends on the job's requirements and the entry's state. No caller waits longer than its job could still be
// served in time. Kept jobs are an exception, since they are not refused.
package admission

import "time"

// Job holds the properties of a job that the decision depends on.
type Job struct {
	// Objective is the time within which the job should end. CriticalPath is the estimated time of its longest chain of
	// steps.
	Objective, CriticalPath time.Duration
	// CallerWait is how much longer the job's caller waits; zero means no limit.
	CallerWait time.Duration
	Tasks      int
	// Kept is set for a job that outlives its callers and is not refused for lack of capacity. Resent is set if the caller
	// has probably submitted the job before.
	Kept, Resent bool
}

// State holds the properties of the entry that the decision depends on.
type State struct {
	// Pace is the median of the upstreams' paces.
	Pace float64
	// Pressure is how much recent demand has exceeded capacity, from 0 to 1.
	Pressure float64
	// Ready is set if an upstream accepts work.
	Ready bool
}

// Decision is the result of Decide. MaxWait is how long the job waits before it is refused. PlaceWithin is the time within
// which it should be placed; waiting jobs are ordered by it.
type Decision struct{ MaxWait, PlaceWithin time.Duration }

// RefusedRetry is when a refused caller may try again. It is the time that a burst's queue takes to drain, about the
// objective of the longest kind of job that either user sends.
const RefusedRetry = time.Second

const (
	// waitDivisor: a job waits for capacity for one fourth of its objective, the time that a burst's queue takes to drain.
	waitDivisor = 4
	// answerTime is the part of an objective that networks and the handling of a job need: 3 ms each way to the caller, and
	// as much for two internal hops.
	answerTime = 10 * time.Millisecond
	// minWait is the minimum time that a job waits while demand exceeds capacity for long. A longer wait would not gain
	// anyone capacity. It would only favor the jobs that may wait longest. A queue of 25 ms keeps all capacity in use.
	minWait = 25 * time.Millisecond
	// leadPerTask is how much earlier a job is placed for each of its tasks. While upstreams are full, an entry finds
	// capacity for one more task every few milliseconds, and a job is as late as its last task.
	leadPerTask = 3 * time.Millisecond
	// estimateError is the factor by which a run may exceed its estimate: estimates are off by 40%.
	estimateError = 1.5
)

// Decide returns how long a job waits for capacity and when it should be placed.
func Decide(j Job, s State) Decision {
	wait := firstWait(j, s)
	d := Decision{MaxWait: wait, PlaceWithin: wait - leadTime(j)}
	switch {
	case j.Kept:
		d.MaxWait = max(wait, j.Objective/waitDivisor)
	case j.Resent:
		d.MaxWait = max(wait, resentWait(j, s))
	}
	return d
}

// firstWait returns how long a job that was not resent waits for capacity.
func firstWait(j Job, s State) time.Duration {
	share := j.Objective / waitDivisor
	if !s.Ready {
		// After an outage upstreams become ready again within moments. The job waits for them for as long as it can still
		// be in time.
		spare := j.Objective - time.Duration(s.Pace*float64(j.CriticalPath)) - answerTime
		return max(spare, share)
	}
	minimum := min(share, minWait)
	return share - time.Duration(s.Pressure*float64(share-minimum))
}

// leadTime returns how much earlier than others a job is placed because of its number of tasks. It is at most the time that
// the job waits without pressure.
func leadTime(j Job) time.Duration {
	return min(time.Duration(j.Tasks)*leadPerTask, j.Objective/waitDivisor)
}

// resentWait returns how long a resent job waits for capacity behind the others: as long as a refusal would tell its caller
// to stay away, provided that the job can end before its caller leaves.
func resentWait(j Job, s State) time.Duration {
	spare := j.CallerWait - time.Duration(estimateError*s.Pace*float64(j.CriticalPath)) - answerTime
	return min(RefusedRetry, spare)
}
