package upstream

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// question is an entry's question for the ends of jobs that it has taken over.
type endsQuery struct {
	entry  ident.Incarnation
	epoch  uint64
	number uint64
	jobs   map[job.ID]bool
}

// Noted handles an entry's word on ends of kept jobs: they are stored, or they count for nothing.
func (k *Controller) ResolveEnds(runs []fleet.RunRef, void bool) { k.ends.Resolve(runs, void) }

// Ask handles an entry that has taken jobs over: what still runs of them for others is stopped, and once nothing does,
// the entry is told of all ends that are withheld.
func (k *Controller) QueryEnds(now time.Time, entry ident.Incarnation, number uint64, jobs []job.ID) {
	s := k.sessions[entry]
	if s == nil || !s.linked {
		return
	}
	q := endsQuery{entry: entry, epoch: s.epoch, number: number, jobs: make(map[job.ID]bool, len(jobs))}
	for _, j := range jobs {
		q.jobs[j] = true
	}
	k.dropAlone(fleet.Superseded, func(w *pendingOrder) bool { return q.jobs[w.order.Job] && w.owner != entry })
	for _, r := range k.sortedRuns() {
		if !q.jobs[r.task.Job] {
			continue
		}
		if r.successor != nil && r.successor.owner != entry {
			k.refuse(*r.successor, fleet.Superseded)
			r.successor = nil
		}
		if r.owner != entry {
			k.stopRun(now, r, stopState{outcome: job.Stopped, reason: fleet.Superseded, cause: TakenOver, unwanted: true})
		}
	}
	k.endsQueries = append(k.endsQueries, q)
}

// answerQuestions answers the entries whose jobs have nothing running here any more.
func (k *Controller) answerEndsQueries() {
	var rest []endsQuery
	for _, q := range k.endsQueries {
		s := k.sessions[q.entry]
		switch {
		case s == nil || !s.linked || s.epoch != q.epoch:
		case !k.runsKnown || k.isQueryBlocked(q):
			rest = append(rest, q)
		default:
			for _, w := range k.ends.Reassign(q.jobs, q.entry) {
				k.sendEnd(q.entry, w.End)
			}
			k.entries.EndsSent(q.entry, q.number)
		}
	}
	k.endsQueries = rest
}

// runsFor tells whether a run of a question's jobs is, or may be, here for somebody else.
func (k *Controller) isQueryBlocked(q endsQuery) bool {
	for _, r := range k.runs {
		if q.jobs[r.task.Job] && r.owner != q.entry {
			return true
		}
	}
	for key := range k.strays {
		if q.jobs[key.Task.Job] {
			return true
		}
	}
	return false
}

// endedLate handles the listed end of a kept job's run that was given up: its task may have been placed again, so the end
// must count for nothing.
func (k *Controller) withholdLateEnd(now time.Time, f call.Finished) {
	if f.Result != call.ResultDone && f.Result != call.ResultFailed || k.without.Has(rule.WithholdEnds) {
		return
	}
	k.ends.Withhold(now, 0, fleet.End{Task: f.Task, Run: f.Run, Outcome: job.Lost, Kept: true}).Void()
}

// hasEnded tells whether an ordered task of a kept job has ended well here already, for an entry that has gone; then the
// order is answered with that end. If the task may have started elsewhere since, the end is void instead.
func (k *Controller) answerFromWithheldEnd(w pendingOrder) bool {
	ended := k.ends.FindDone(w.order.Task(w.index))
	if ended == nil {
		return false
	}
	ordered := w.ordered()
	if !ordered.Run.Follows(ended.End.Run) {
		ended.Void()
		return false
	}
	ended.Owner, ended.End.Run, ended.End.ID = w.owner, ordered.Run, ordered.ID
	k.sendEnd(w.owner, ended.End)
	return true
}
