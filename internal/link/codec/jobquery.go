package codec

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// JobQuery encodes a query to another entry; number tells the queries of one session apart.
func JobQuery(number uint64, q fleet.JobQuery) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_JobQuery{JobQuery: &wire.JobQuery{Number: number, Job: uint64(q.Job), Cancel: q.Cancel, Cancelled: q.Cancelled, Refusing: q.Refusing}}}
}

// ReadJobQuery decodes a query of another entry, and its number.
func ReadJobQuery(m *wire.JobQuery) (number uint64, q fleet.JobQuery) {
	return m.GetNumber(), fleet.JobQuery{Job: job.ID(m.GetJob()), Cancel: m.GetCancel(), Cancelled: m.GetCancelled(), Refusing: m.GetRefusing()}
}

// JobReply encodes the reply to the query with a number.
func JobReply(number uint64, r fleet.JobReply) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_JobReply{JobReply: &wire.JobReply{Number: number, State: string(r.State), Shared: r.Shared}}}
}

// ReadJobReply decodes a reply and the number of its query.
func ReadJobReply(m *wire.JobReply) (number uint64, r fleet.JobReply) {
	return m.GetNumber(), fleet.JobReply{State: verdict.State(m.GetState()), Shared: m.GetShared()}
}
