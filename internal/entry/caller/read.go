package caller

import (
	"fmt"
	"time"

	"hillreel/api"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
)

const (
	// The latency objective of a job that names none is defaultTarget plus defaultStretch times the job's longest chain of work.
	defaultStretch = 2
	defaultTarget  = 100 * time.Millisecond
	// defaultAttempts is the number of attempts of a job that names none.
	defaultAttempts = 3
	// maxAttempts bounds the attempts that a job may name.
	maxAttempts = 100
)

// parseJob converts a job to a request. If the job is invalid, it returns the name of the offending field and a message.
func parseJob(b *api.Job) (r dispatch.Request, field, message string) {
	switch {
	case b.Service == "":
		return r, "service", "must be set"
	case len(b.Steps) == 0:
		return r, "steps", "must not be empty"
	case b.DeadlineMs < 0:
		return r, "deadline_ms", fmt.Sprintf("is %d, must not be negative", b.DeadlineMs)
	case b.ObjectiveMs < 0:
		return r, "objective_ms", fmt.Sprintf("is %d, must not be negative", b.ObjectiveMs)
	case b.Attempts < 0 || b.Attempts > maxAttempts:
		return r, "attempts", fmt.Sprintf("is %d, must be from 0 to %d", b.Attempts, maxAttempts)
	}
	spec := &job.Spec{Text: b.Spec, BestEffort: !b.Keep}
	for i := range b.Steps {
		step, field, message := parseStep(i, &b.Steps[i])
		if field != "" {
			return r, field, message
		}
		spec.Steps = append(spec.Steps, step)
	}
	queue := route.Route{
		Name: route.Name(b.Service), Service: ident.Service(b.Service), Target: defaultTarget, Stretch: defaultStretch,
		Priority: b.Priority, Attempts: defaultAttempts,
	}
	if b.Attempts > 0 {
		queue.Attempts = b.Attempts
	}
	if b.ObjectiveMs > 0 {
		queue.Target, queue.Stretch = time.Duration(b.ObjectiveMs)*time.Millisecond, 0
	}
	return dispatch.Request{Spec: spec, Route: queue}, "", ""
}

// parseStep converts the step at index number. If the step is invalid, it returns the name of the offending field and a message.
func parseStep(number int, s *api.Step) (out job.Step, field, message string) {
	at := func(name string) string { return fmt.Sprintf("steps[%d].%s", number, name) }
	switch {
	case s.Count < 1:
		return out, at("count"), fmt.Sprintf("is %d, must be at least 1", s.Count)
	case s.CPUMillis < 0:
		return out, at("cpu_millis"), fmt.Sprintf("is %d, must not be negative", s.CPUMillis)
	case s.MemMB < 0:
		return out, at("mem_mb"), fmt.Sprintf("is %d, must not be negative", s.MemMB)
	case s.GPU < 0:
		return out, at("gpu"), fmt.Sprintf("is %d, must not be negative", s.GPU)
	case s.EstimateMs > job.MaxEstimate.Milliseconds():
		return out, at("estimate_ms"), fmt.Sprintf("is %d, must be at most %d", s.EstimateMs, job.MaxEstimate.Milliseconds())
	case s.EstimateMs < 0:
		return out, at("estimate_ms"), fmt.Sprintf("is %d, must not be negative", s.EstimateMs)
	}
	for _, before := range s.After {
		if int(before) >= number {
			return out, at("after"), fmt.Sprintf("lists step %d, which is not before step %d", before, number)
		}
	}
	return job.Step{
		Count: s.Count, Each: job.Resources{CPU: s.CPUMillis, Mem: s.MemMB, GPU: s.GPU},
		Estimate: time.Duration(s.EstimateMs) * time.Millisecond, After: s.After, Requires: job.Label(s.Requires),
		Prefers: job.Label(s.Prefers), MaxPerUpstream: s.MaxPerUpstream,
	}, "", ""
}
