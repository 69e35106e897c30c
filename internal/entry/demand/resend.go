package demand

import (
	"slices"
	"time"

	"hillreel/internal/core/route"
)

// After a loss of entries, their callers send again what was under way, beside the new jobs: for half a second up to 2.7 times as many
// as usual come. What was sent again is late by then, and would take the room from jobs that can still be in time. A request
// doesn't say that it is a repetition, but its caller waits for less long than others do.

// resendPause is after how long callers send a job again at the earliest: the platform's pause of 1.3 s.
const resendPause = 1300 * time.Millisecond

const (
	// recentJobs is how many of a queue's last jobs say how long its callers usually wait: enough to tell a quarter of them,
	// and so few that an entry which has just started knows them within a second.
	windowSize = 32
	// leastJobs is from how many on they say anything.
	minSamples = 8
	// resentShare: callers that wait for less than this part of the usual time have sent their job before. Of the users' callers with
	// objectives below resendPause none waited for less than 0.70 of it at first (2,013 jobs); who sends again has 1.3 to
	// 2.8 s less, of 1.8 to 3.3 s. With 0.75, 4 in 100 first requests were taken for repeated ones.
	resentFraction = 0.65
)

// recent are the last values of one kind that a queue's jobs had.
type window struct {
	// values are in the order in which they came until there are recentJobs; from then on next is the place of the oldest.
	values []time.Duration
	next   int
}

// note takes in a value.
func (r *window) add(d time.Duration) {
	if len(r.values) < windowSize {
		r.values = append(r.values, d)
		return
	}
	r.values[r.next] = d
	r.next = (r.next + 1) % windowSize
}

// quantile is what a part of the values do not exceed; there must be values.
func (r *window) quantile(part float64) time.Duration {
	sorted := slices.Sorted(slices.Values(r.values))
	return sorted[int(part*float64(len(sorted)))]
}

// queue is how long a queue's callers were going to wait when they sent their last jobs, and what these jobs' objectives were.
type queueStats struct{ waits, objectives window }

// usual is what three quarters of the callers do not exceed: it holds for first requests as long as these are more than a quarter.
// It is zero while too little is known, and for queues whose jobs can still be in time when they are sent again, or nearly: their
// callers wait for times that differ as much as the jobs do.
func (q *queueStats) typicalWait() time.Duration {
	if len(q.waits.values) < minSamples || q.objectives.quantile(0.5) >= resendPause {
		return 0
	}
	return q.waits.quantile(0.75)
}

// Callers knows how long the callers of each queue usually wait.
type ResendDetector struct{ queues map[route.Name]*queueStats }

// NewCallers returns a Callers that has seen none.
func NewResendDetector() *ResendDetector { return &ResendDetector{make(map[route.Name]*queueStats)} }

// SentBefore tells whether a job that comes now, and whose caller waits so long, was probably sent before and can't be in time
// any more. It takes the job into account for those that follow.
func (c *ResendDetector) Observe(name route.Name, objective, patience time.Duration) bool {
	q := c.queues[name]
	if q == nil {
		q = &queueStats{}
		c.queues[name] = q
	}
	usual := q.typicalWait()
	q.waits.add(patience)
	q.objectives.add(objective)
	return objective < resendPause && patience < time.Duration(resentFraction*float64(usual))
}
