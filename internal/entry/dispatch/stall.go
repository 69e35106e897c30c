package dispatch

import (
	"slices"

	"hillreel/internal/core/ident"
)

// doubtfulAt is the number of upstreams at which a step's runs have stalled from which on the step's time is in doubt, not the upstreams.
const doubtfulAt = 2

// upstreamSet is a small set of upstreams.
type upstreamSet []ident.UpstreamID

// add adds an upstream.
func (s *upstreamSet) add(id ident.UpstreamID) {
	if !slices.Contains(*s, id) {
		*s = append(*s, id)
	}
}

// stallsBefore returns how many runs of a task have stalled before its next one. If the task's step has stalled at several upstreams and
// nowhere succeeded since, its tasks probably take longer than the job's caller says, and the highest number of all its tasks counts.
func (j *jobState) stallsBefore(k *task) uint32 {
	step := &j.steps[k.id.Step]
	if len(step.stalledAt) < doubtfulAt {
		return k.stalls
	}
	return step.mostStalls
}

// recordStall records that a run of the task was stopped at an upstream because it made no progress.
func (k *task) recordStall(upstream ident.UpstreamID) {
	k.stalls++
	step := &k.job.steps[k.id.Step]
	step.stalledAt.add(upstream)
	step.mostStalls = max(step.mostStalls, k.stalls)
}
