package caller

import (
	"fmt"
	"time"

	"hillreel/api"
	"hillreel/internal/core/job"
)

// readStep checks one step. A problem is told by its field and a message.
func readStep(number int, s *api.Step) (out job.Step, field, message string) {
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
