package upstream

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// endsQuery is an entry's query for the ends of jobs that it has taken over.
type endsQuery struct {
	entry  ident.Incarnation
	epoch  uint64
	number uint64
	jobs   map[job.ID]bool
}

// ResolveEnds handles an entry's message on ends of kept jobs: they are stored or, if void is true, must count for nothing.
func (u *Controller) ResolveEnds(runs []fleet.RunRef, void bool) { u.ends.Resolve(runs, void) }

// QueryEnds handles the query of an entry that has taken jobs over. Runs of these jobs that belong to other entries are stopped. Once
// none of them remains, the entry is sent all withheld ends of the jobs.
func (u *Controller) QueryEnds(now time.Time, entry ident.Incarnation, number uint64, jobs []job.ID) {
	s := u.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	q := endsQuery{entry: entry, epoch: s.epoch, number: number, jobs: make(map[job.ID]bool, len(jobs))}
	for _, j := range jobs {
		q.jobs[j] = true
	}
	u.dropAlone(fleet.Superseded, func(p *pendingOrder) bool { return q.jobs[p.order.Job] && p.owner != entry })
	for _, r := range u.sortedRuns() {
		if !q.jobs[r.task.Job] {
			continue
		}
		if r.successor != nil && r.successor.owner != entry {
			u.refuse(*r.successor, fleet.Superseded)
			r.successor = nil
		}
		if r.owner != entry {
			u.stopRun(now, r, stopState{outcome: job.Stopped, reason: fleet.Superseded, cause: TakenOver, unwanted: true})
		}
	}
	u.endsQueries = append(u.endsQueries, q)
}

// answerEndsQueries answers the queries for whose jobs nothing runs here any more.
func (u *Controller) answerEndsQueries() {
	var rest []endsQuery
	for _, q := range u.endsQueries {
		s := u.sessions[q.entry]
		switch {
		case s == nil || !s.linked || s.epoch != q.epoch:
		case !u.runsKnown || u.isQueryBlocked(q):
			rest = append(rest, q)
		default:
			for _, w := range u.ends.Reassign(q.jobs, q.entry) {
				u.sendEnd(q.entry, w.End)
			}
			u.entries.EndsSent(q.entry, q.number)
		}
	}
	u.endsQueries = rest
}

// isQueryBlocked reports whether a run of the queried jobs is, or may be, here for another entry.
func (u *Controller) isQueryBlocked(q endsQuery) bool {
	for _, r := range u.runs {
		if q.jobs[r.task.Job] && r.owner != q.entry {
			return true
		}
	}
	for key := range u.strays {
		if q.jobs[key.Task.Job] {
			return true
		}
	}
	return false
}

// withholdLateEnd handles the listed end of a kept job's run that was given up before: its task may have been placed again, so that the
// end must count for nothing.
func (u *Controller) withholdLateEnd(now time.Time, f call.Finished) {
	if f.Result != call.ResultDone && f.Result != call.ResultFailed || u.without.Has(rule.WithholdEnds) {
		return
	}
	u.ends.Withhold(now, 0, fleet.End{Task: f.Task, Run: f.Run, Outcome: job.Lost, Kept: true}).Void()
}

// answerFromWithheldEnd reports whether the ordered task of a kept job has already ended well here, under an earlier order. If so, it
// answers the order with that end. If the task may have been started elsewhere since, it makes the end void instead.
func (u *Controller) answerFromWithheldEnd(p pendingOrder) bool {
	ended := u.ends.FindDone(p.order.Task(p.index))
	if ended == nil {
		return false
	}
	ordered := p.ordered()
	if !ordered.Run.Follows(ended.End.Run) {
		ended.Void()
		return false
	}
	ended.Owner, ended.End.Run, ended.End.ID = p.owner, ordered.Run, ordered.ID
	u.sendEnd(p.owner, ended.End)
	return true
}
