package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// LostRun is a run that was at an upstream when it was lost.
type LostRun struct {
	fleet.RunRef
	// Age is how long the run had been there when the upstream last answered; zero if it has not answered since.
	Age time.Duration
	// Until is how long it had been there at most, where the agent stood still since; zero otherwise.
	MaxAge time.Duration
	// Alone: nothing had been started shortly before it or since, as far as that can be told.
	Alone bool
}

// Loss is the end of an upstream that runs were at, as far as its agent can tell: it has given no answer until their lease lapsed, or
// another life has answered in its place.
type Loss struct {
	Life ident.UpstreamLife
	// Number tells it from other losses of the same life.
	Number fleet.LossNumber
	Why    fleet.Reason
	// Planned: the upstream had said that it leaves.
	Planned bool
	// Silent is for how long the upstream had given no answer.
	SilentFor time.Duration
	// Runs lists the runs that were there, in the order of their tasks.
	Runs []LostRun
}

// Crashes lists what the loss of the upstream on a VM says of tasks; a planned one says nothing.
func (l *Loss) Crashes(vm ident.UpstreamName) []fleet.Crash {
	if l.Planned {
		return nil
	}
	out := make([]fleet.Crash, 0, len(l.Runs))
	for _, a := range l.Runs {
		out = append(out, fleet.Crash{Task: a.Task, VM: vm, Life: l.Life, Loss: l.Number, Age: a.Age, MaxAge: a.MaxAge, Alone: a.Alone, OnlyTask: a.Alone && len(l.Runs) == 1})
	}
	return out
}

// heard notes that the present life has answered a call. If it was taken for lost, it was merely out of reach, and has crashed under
// nothing.
func (k *Controller) recordAnswer(now, sent time.Time, wait time.Duration) {
	k.lastAnswerAt = now
	switch {
	case now.Sub(sent) <= wait+lateAnswer:
		k.lastAliveAt = now
	case sent.After(k.lastAliveAt):
		k.lastAliveAt = sent // its answer may have waited here since
	}
	if k.lastLoss.Life == k.life {
		k.entries.LossRefuted(k.lastLoss)
		k.lastLoss = fleet.Refutation{}
	}
}

// lateAnswer is by how much later than it should an answer may come before this process may have stood still meanwhile.
const lateAnswer = 100 * time.Millisecond

// slowAnswer is how much later than it should an answer of an upstream that lives may come.
const answerSlack = 30 * time.Millisecond

// answerOverdue is for how long an upstream that lives gives no answer at most: one hold follows the other, and each is answered after its wait.
func (k *Controller) answerOverdue() time.Duration {
	return k.timing.KeepAlive/holdWaitDivisor + answerSlack
}

// noteLoss tells of the loss of a life with the runs that are there, but for those that were ordered when it had fallen silent already:
// it was lost before, and not under them.
func (k *Controller) reportLoss(now time.Time, life ident.UpstreamLife, why fleet.Reason) {
	if len(k.runs) == 0 {
		return
	}
	l := Loss{Life: life, Number: fleet.LossNumber(now.UnixMilli()), Why: why, Planned: k.draining || k.saidEnded, SilentFor: now.Sub(k.lastAnswerAt)}
	for _, r := range k.sortedRuns() {
		if r.startedAt.Sub(k.lastAnswerAt) > k.answerOverdue() {
			continue
		}
		l.Runs = append(l.Runs, k.lostRun(r))
	}
	k.lastLoss = fleet.Refutation{Life: life, UpTo: l.Number}
	k.observer.UpstreamLost(l)
	k.entries.UpstreamLost(l)
}

// lostRun tells how old a run was when the upstream is known to have lived last. An answer that came while this process stood still says only that it
// lived after the question.
func (k *Controller) lostRun(r *run) LostRun {
	age, until := max(k.lastAliveAt.Sub(r.startedAt), 0), max(k.lastAnswerAt.Sub(r.startedAt), 0)
	if until == age {
		return LostRun{r.ref(), age, 0, r.wasAlone(age)}
	}
	return LostRun{r.ref(), age, until, false}
}
