package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// LostRun is a run that was at an upstream when the upstream was lost.
type LostRun struct {
	fleet.RunRef
	// Age is how old the run was when the upstream last answered; zero if the upstream has not answered since the start.
	Age time.Duration
	// MaxAge is the greatest possible age of the run at the last answer, if the agent stood still since then; zero otherwise.
	MaxAge time.Duration
	// Alone: as far as is known, no other run was started shortly before this one or since.
	Alone bool
}

// Loss is the loss of an upstream with its runs, as far as its agent can tell: the upstream gave no answer until the lease of the runs
// lapsed, or another life has answered in its place.
type Loss struct {
	Life ident.UpstreamLife
	// Number distinguishes the losses of one life.
	Number fleet.LossNumber
	Why    fleet.Reason
	// Planned: the upstream had announced that it drains or has ended.
	Planned bool
	// SilentFor is how long the upstream had not answered.
	SilentFor time.Duration
	// Runs lists the runs at the upstream, sorted by their tasks.
	Runs []LostRun
}

// Crashes returns the crashes that the loss of the upstream on vm attributes to tasks; none if the loss was planned.
func (l *Loss) Crashes(vm ident.UpstreamName) []fleet.Crash {
	if l.Planned {
		return nil
	}
	out := make([]fleet.Crash, 0, len(l.Runs))
	for _, r := range l.Runs {
		out = append(out, fleet.Crash{Task: r.Task, VM: vm, Life: l.Life, Loss: l.Number, Age: r.Age, MaxAge: r.MaxAge, Alone: r.Alone, OnlyTask: r.Alone && len(l.Runs) == 1})
	}
	return out
}

// recordAnswer records that the present life has answered a call. If that life was reported as lost, the report was wrong: the life was
// only unreachable, and no task had crashed it.
func (u *Controller) recordAnswer(now, sent time.Time, wait time.Duration) {
	u.lastAnswerAt = now
	u.reportSuspects()
	switch {
	case now.Sub(sent) <= wait+lateAnswer:
		u.lastAliveAt = now
	case sent.After(u.lastAliveAt):
		u.lastAliveAt = sent // the answer may have waited in this process since then
	}
	if u.lastLoss.Life == u.life {
		u.entries.LossRefuted(u.lastLoss)
		u.lastLoss = fleet.Refutation{}
	}
}

// lateAnswer is the delay of an answer above which this process may have stood still in the meantime.
const lateAnswer = 100 * time.Millisecond

// answerSlack is the longest delay of an answer from an upstream that is alive.
const answerSlack = 30 * time.Millisecond

// answerOverdue returns the longest time between two answers of an upstream that is alive: holds follow each other without a pause, and
// each is answered when its wait is over.
func (u *Controller) answerOverdue() time.Duration {
	return u.timing.KeepAlive/holdWaitDivisor + answerSlack
}

// reportLoss reports the loss of a life with the runs that are there. It leaves out runs that were ordered when an answer was already
// overdue: the life was lost before they came, and not because of them.
func (u *Controller) reportLoss(now time.Time, life ident.UpstreamLife, why fleet.Reason) {
	if len(u.runs) == 0 {
		return
	}
	l := Loss{Life: life, Number: fleet.LossNumber(now.UnixMilli()), Why: why, Planned: u.draining || u.saidEnded, SilentFor: now.Sub(u.lastAnswerAt)}
	for _, r := range u.sortedRuns() {
		if r.startedAt.Sub(u.lastAnswerAt) > u.answerOverdue() {
			continue
		}
		l.Runs = append(l.Runs, u.lostRun(r))
	}
	u.lastLoss = fleet.Refutation{Life: life, UpTo: l.Number}
	u.observer.UpstreamLost(l)
	u.entries.UpstreamLost(l)
}

// lostRun returns a run with its age at the time when the upstream was last known to be alive. An answer that came while this process
// stood still only proves that the upstream was alive at some time after the call was sent.
func (u *Controller) lostRun(r *run) LostRun {
	age, maxAge := max(u.lastAliveAt.Sub(r.startedAt), 0), max(u.lastAnswerAt.Sub(r.startedAt), 0)
	if maxAge == age {
		return LostRun{r.ref(), age, 0, r.wasAlone(age)}
	}
	return LostRun{r.ref(), age, maxAge, false}
}
