// Package drive submits a workload's jobs at their times, whatever the answers do, and measures them.
package drive

import (
	"context"
	"sync"
	"time"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/load/measure"
	"hillreel/internal/load/workload"
)

// Options configure a run.
type Options struct {
	Slots     int
	RoundTrip time.Duration
	// Patience is how long one job is waited for.
	Patience time.Duration
	// Cancel says which jobs are cancelled shortly after they were submitted; it may be nil.
	Cancel func(j *workload.Job) bool
	// Each is called after each answer; it may be nil.
	Each func(j *workload.Job, a *api.Answer)
}

// cancelAfter is how long after its submission a job is cancelled.
const cancelAfter = 30 * time.Millisecond

// Run submits all jobs and returns once each has its answer or has run out of patience.
func Run(ctx context.Context, c *client.Client, jobs []workload.Job, o Options, into *measure.Result) {
	start := time.Now()
	var wg sync.WaitGroup
	for i := range jobs {
		j := &jobs[i]
		select {
		case <-time.After(time.Until(start.Add(j.At))):
		case <-ctx.Done():
			wg.Wait()
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			one(ctx, c, j, o, start.Add(j.At), into)
		}()
	}
	wg.Wait()
}

func one(ctx context.Context, c *client.Client, j *workload.Job, o Options, arrival time.Time, into *measure.Result) {
	ctx, cancel := context.WithTimeout(ctx, o.Patience)
	defer cancel()
	id, err := c.NextID(ctx, j.Service)
	if err != nil {
		into.Lose()
		return
	}
	if o.Cancel != nil && o.Cancel(j) {
		time.AfterFunc(cancelAfter, func() { c.Cancel(ctx, id) }) //nolint:errcheck // Submit hears the outcome
	}
	a, err := c.Submit(ctx, id, j.Job)
	if err != nil {
		into.Lose()
		return
	}
	into.Add(j, time.Since(arrival), j.Ideal(o.Slots, o.RoundTrip), a)
	if o.Each != nil {
		o.Each(j, a)
	}
}
