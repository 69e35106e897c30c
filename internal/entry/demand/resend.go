package demand

import (
	"slices"
	"time"

	"hillreel/internal/core/route"
)

// After a loss of entries, their callers resubmit the jobs that were in progress, in addition to new ones: for half a
// second the load is up to 2.7 times the usual. Resubmitted jobs are late by then and would take capacity from jobs that
// can still be in time. A request does not say that it is a resubmission, but its caller waits for less time than others
// do.

// resendPause is the minimum time after which callers resubmit a job: the platform's pause of 1.3 s.
const resendPause = 1300 * time.Millisecond

const (
	// windowSize is the number of a queue's latest jobs from which the usual waiting time of its callers is estimated. It
	// is large enough to tell the lowest quarter, and small enough that an entry which has just started fills the window
	// within a second.
	windowSize = 32
	// minSamples is the number of jobs from which on the estimate is used.
	minSamples = 8
	// resentFraction: callers that wait for less than this fraction of the usual time are assumed to have submitted their
	// job before. Among 2,013 first requests of the users' callers with objectives below resendPause, none waited for less
	// than 0.70 of the usual time. A caller that resubmits has 1.3 to 2.8 s less of its 1.8 to 3.3 s. With 0.75, 4 in 100
	// first requests were classified as resubmissions.
	resentFraction = 0.65
)

// window holds the latest values of one property of a queue's jobs.
type window struct {
	// values holds up to windowSize values in order of arrival. Once it is full, next is the index of the oldest value,
	// which is overwritten next.
	values []time.Duration
	next   int
}

// add records a value.
func (w *window) add(d time.Duration) {
	if len(w.values) < windowSize {
		w.values = append(w.values, d)
		return
	}
	w.values[w.next] = d
	w.next = (w.next + 1) % windowSize
}

// quantile returns the value that the given fraction of the values does not exceed. The window must not be empty.
func (w *window) quantile(fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(w.values))
	return sorted[int(fraction*float64(len(sorted)))]
}

// queueStats holds, for the latest jobs of a queue, how long their callers were going to wait and what their objectives
// were.
type queueStats struct{ waits, objectives window }

// typicalWait returns the upper quartile of the callers' waiting times. It reflects first requests as long as more than a
// quarter of the requests are first ones. It returns zero, which means unknown, in two cases:
//   - The queue has seen too few jobs.
//   - The queue's jobs can still be in time, or nearly, when they are resubmitted. The waiting times of their callers
//     differ as much as the jobs do.
func (q *queueStats) typicalWait() time.Duration {
	if len(q.waits.values) < minSamples || q.objectives.quantile(0.5) >= resendPause {
		return 0
	}
	return q.waits.quantile(0.75)
}

// ResendDetector detects resubmitted jobs from how long the callers of each queue usually wait.
type ResendDetector struct{ queues map[route.Name]*queueStats }

// NewResendDetector returns a ResendDetector that has seen no jobs.
func NewResendDetector() *ResendDetector { return &ResendDetector{make(map[route.Name]*queueStats)} }

// Observe reports whether a new job with the given objective, whose caller waits for the given time, was probably submitted
// before and can no longer be in time. It adds the job to the queue's statistics.
func (d *ResendDetector) Observe(name route.Name, objective, callerWait time.Duration) bool {
	q := d.queues[name]
	if q == nil {
		q = &queueStats{}
		d.queues[name] = q
	}
	typical := q.typicalWait()
	q.waits.add(callerWait)
	q.objectives.add(objective)
	return objective < resendPause && callerWait < time.Duration(resentFraction*float64(typical))
}
