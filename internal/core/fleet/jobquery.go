package fleet

import (
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
)

// JobQuery asks another entry about a job.
type JobQuery struct {
	Job job.ID
	// Cancel is set if the entry must also end what it has of the job, and must not take the job for a while.
	Cancel bool
	// Cancelled is set if the store has the kept job as cancelled. The entry must not act for it any more.
	Cancelled bool
	// Refusing is set if the asking entry is about to refuse the job for good. An entry that can't rule out that the job is stored later, by a
	// write that got no answer, replies verdict.Unresolved.
	Refusing bool
}

// JobReply is an entry's reply to a JobQuery.
type JobReply struct {
	// State is the job's state. It is verdict.Unknown if the entry has nothing of the job, and verdict.Unresolved if the entry can't tell.
	State verdict.State
	// Shared is set if another entry may have the job as well.
	Shared bool
}

// CanTell reports whether the entry knows what it has of the job.
func (r JobReply) CanTell() bool { return r.State != "" && r.State != verdict.Unresolved }

// SettledBy reports whether a reply answers the query, whatever other entries reply.
func (q JobQuery) SettledBy(r JobReply) bool {
	return r.CanTell() && r.State != verdict.Unknown && (!q.Cancel || !r.Shared)
}
