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

// The objective of a job that names none, and the attempts.
const (
	defaultStretch  = 2
	defaultTarget   = 100 * time.Millisecond
	defaultAttempts = 3
	maxAttempts     = 100
)

// read checks a job. A problem is told by its field and a message.
func parseJob(b *api.Job) (r dispatch.Request, field, message string) {
	switch {
	case b.Service == "":
		return r, "service", "must be set"
	case len(b.Steps) == 0:
		return r, "steps", "must not be empty"
	case b.DeadlineMs < 0:
		return r, "deadline_ms", "must not be negative"
	case b.ObjectiveMs < 0:
		return r, "objective_ms", "must not be negative"
	case b.Attempts < 0 || b.Attempts > maxAttempts:
		return r, "attempts", "must be 0 to 100"
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

// readStep checks one step. A problem is told by its field and a message.
func parseStep(number int, s *api.Step) (out job.Step, field, message string) {
	at := func(name string) string { return fmt.Sprintf("steps[%d].%s", number, name) }
	switch {
	case s.Count < 1:
		return out, at("count"), "must be at least 1"
	case s.CPUMillis < 0:
		return out, at("cpu_millis"), "must not be negative"
	case s.MemMB < 0:
		return out, at("mem_mb"), "must not be negative"
	case s.GPU < 0:
		return out, at("gpu"), "must not be negative"
	case s.EstimateMs < 0:
		return out, at("estimate_ms"), "must not be negative"
	}
	for _, before := range s.After {
		if int(before) >= number {
			return out, at("after"), fmt.Sprintf("%d is no earlier step", before)
		}
	}
	return job.Step{
		Count: s.Count, Each: job.Resources{CPU: s.CPUMillis, Mem: s.MemMB, GPU: s.GPU},
		Estimate: time.Duration(s.EstimateMs) * time.Millisecond, After: s.After, Requires: job.Label(s.Requires),
		Prefers: job.Label(s.Prefers), MaxPerUpstream: s.MaxPerUpstream,
	}, "", ""
}
