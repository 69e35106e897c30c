package ledger

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// admit finds or makes the job that a message speaks of. It answers expired ids and older generations
// itself and then returns nil.
func (l *Ledger) admit(from ident.Incarnation, k *wire.Key, mintedMs int64, g *wire.Generation) *job {
	key, gen := ident.KeyOf(k), ident.GenerationOf(g)
	j := l.jobs[key]
	if j == nil && l.ids.Expired(mintedMs) {
		l.counts.Expired++
		l.sender.Send(from, &wire.Msg{Kind: &wire.Msg_Expired{Expired: &wire.Expired{Key: k, Gen: g}}})
		return nil
	}
	if j == nil {
		j = &job{key: key, mintedMs: mintedMs, gen: gen, holder: from, tasks: make(map[uint32]*task)}
		l.jobs[key] = j
		l.ids.Add(mintedMs, key)
	}
	if gen.Less(j.gen) && l.opt.Omit.Holds(rule.SealGeneration) {
		l.counts.Fenced++
		l.sendFenced(from, j, gen)
		return nil
	}
	l.advance(j, gen, from)
	return j
}

// advance raises the job's generation and withdraws what older ones have queued.
func (l *Ledger) advance(j *job, gen ident.Generation, from ident.Incarnation) {
	if !l.opt.Omit.Holds(rule.NewestResults) {
		if j.past == nil {
			j.past = make(map[ident.Incarnation]bool)
		}
		j.past[j.holder], j.past[from] = true, true
	}
	old := j.gen
	if j.gen.Less(gen) {
		j.gen = gen
		if l.opt.Omit.Holds(rule.NewestResults) {
			// The older holder may wait for results that now go elsewhere, and send nothing from which
			// it would learn that.
			l.sendFenced(j.holder, j, old)
		}
	}
	invariant.Check(!j.gen.Less(old), invariant.GenerationOnlyGrow, func() logrus.Fields {
		return logrus.Fields{"job": j.key}
	})
	j.holder = from
	for index, t := range j.tasks {
		if t.state == queued && t.gen.Less(j.gen) {
			l.drop(j, index)
		}
	}
}

func (l *Ledger) sendFenced(to ident.Incarnation, j *job, gen ident.Generation) {
	l.sender.Send(to, &wire.Msg{Kind: &wire.Msg_Fenced{Fenced: &wire.Fenced{
		Key: j.key.Wire(), Gen: gen.Wire(), Newest: j.gen.Wire(),
	}}})
}

func (l *Ledger) handleStart(from ident.Incarnation, s *wire.Start) {
	if ident.Incarnation(s.GetAgent()) != l.opt.Incarnation {
		l.refuse(from, s, verdict.WrongIncarnation)
		return
	}
	j := l.admit(from, s.GetKey(), s.GetMintedMs(), s.GetGen())
	if j == nil {
		return
	}
	t := j.tasks[s.GetIndex()]
	if s.GetAsk() {
		l.answerAsk(from, s, t)
		return
	}
	if t != nil && !restarts(t, s) {
		if s.GetRepeatable() {
			// The run that goes on here serves the newer attempt as well.
			t.attempt = max(t.attempt, s.GetAttempt())
		}
		l.repeatResult(from, t)
		return
	}
	if why := l.obstacle(j, ident.Service(s.GetService())); why != "" {
		l.refuse(from, s, why)
		return
	}
	l.accept(j, s)
}

func (l *Ledger) accept(j *job, s *wire.Start) {
	j.count, j.digest = s.GetCount(), s.GetBodyDigest()
	t := &task{
		state: queued, start: s, gen: ident.GenerationOf(s.GetGen()), attempt: s.GetAttempt(), enqueued: l.opt.Now(),
	}
	if earlier := j.tasks[s.GetIndex()]; earlier != nil {
		t.before = earlier.result
	}
	j.tasks[s.GetIndex()] = t
	l.queue = append(l.queue, taskRef{j.key, s.GetIndex()})
	l.queued++
	l.counts.Accepted++
	l.pump()
}

// restarts tells whether s asks for a new attempt of a repeatable task that has ended.
func restarts(t *task, s *wire.Start) bool {
	return s.GetRepeatable() && t.state == ended && s.GetAttempt() > t.attempt
}

// answerAsk tells what became of an attempt and starts nothing. An attempt that is not known here never
// will be: what was sent on an older link is dropped.
func (l *Ledger) answerAsk(from ident.Incarnation, s *wire.Start, t *task) {
	if t == nil || t.attempt < s.GetAttempt() {
		l.refuse(from, s, verdict.NeverArrived)
		return
	}
	l.repeatResult(from, t)
}

// repeatResult sends an ended task's result again. A task still queued or running reports when it ends.
func (l *Ledger) repeatResult(from ident.Incarnation, t *task) {
	if t.state == ended {
		l.sender.Send(from, &wire.Msg{Kind: &wire.Msg_Result{Result: t.result}})
	}
}

// obstacle says why no new task of j may start here, or "".
func (l *Ledger) obstacle(j *job, s ident.Service) verdict.Reason {
	if why := l.forbidden(s); why != "" {
		return why
	}
	switch {
	case j.decision != nil:
		return verdict.Withdrawn
	case l.running >= l.opt.Slots && l.queued >= l.opt.QueueLimit:
		return verdict.QueueFull
	}
	return ""
}

func (l *Ledger) refuse(to ident.Incarnation, s *wire.Start, why verdict.Reason) {
	l.counts.Refused++
	r := notRun(ident.KeyOf(s.GetKey()), s.GetIndex(), s.GetAttempt(), why)
	l.sender.Send(to, &wire.Msg{Kind: &wire.Msg_Result{Result: r}})
}

func (l *Ledger) handleWithdraw(from ident.Incarnation, w *wire.Withdraw) {
	out := &wire.Withdrawn{Key: w.GetKey(), Gen: w.GetGen()}
	reply := &wire.Msg{Kind: &wire.Msg_Withdrawn{Withdrawn: out}}
	if l.jobs[ident.KeyOf(w.GetKey())] == nil && !l.ids.Expired(w.GetMintedMs()) {
		// Nothing of it arrived, and links deliver in order: no record is needed to refuse it later.
		l.sender.Send(from, reply)
		return
	}
	j := l.admit(from, w.GetKey(), w.GetMintedMs(), w.GetGen())
	if j == nil {
		return
	}
	for _, index := range slices.Sorted(maps.Keys(j.tasks)) {
		t := j.tasks[index]
		if len(w.GetIndexes()) > 0 && !slices.Contains(w.GetIndexes(), index) {
			continue
		}
		if t.state == queued {
			l.drop(j, index)
			out.Dropped = append(out.Dropped, &wire.TaskRef{Index: index, Attempt: t.attempt})
		}
	}
	l.sender.Send(from, reply)
}

func (l *Ledger) handleSeal(from ident.Incarnation, s *wire.Seal) {
	j := l.admit(from, s.GetKey(), s.GetMintedMs(), s.GetGen())
	if j == nil {
		return
	}
	l.counts.Sealed++
	out := &wire.Sealed{
		Key: s.GetKey(), Gen: s.GetGen(), Count: j.count, BodyDigest: j.digest, Decision: j.decision,
	}
	for _, index := range slices.Sorted(maps.Keys(j.tasks)) {
		t := j.tasks[index]
		if t.state == ended {
			out.Ended = append(out.Ended, t.result)
			continue
		}
		out.Running = append(out.Running, &wire.TaskRef{Index: index, Attempt: t.attempt})
	}
	l.sender.Send(from, &wire.Msg{Kind: &wire.Msg_Sealed{Sealed: out}})
}

// handleRecord keeps the first decision told and answers with the one that is kept.
func (l *Ledger) handleRecord(from ident.Incarnation, r *wire.Record) {
	j := l.admit(from, r.GetKey(), r.GetMintedMs(), r.GetGen())
	if j == nil {
		return
	}
	if j.decision == nil {
		j.decision = r.GetDecision()
		l.counts.Recorded++
	}
	for index, t := range j.tasks {
		if t.state == queued {
			l.drop(j, index)
		}
	}
	l.sender.Send(from, &wire.Msg{Kind: &wire.Msg_Recorded{Recorded: &wire.Recorded{
		Key: r.GetKey(), Gen: r.GetGen(), Decision: j.decision,
	}}})
}

func (l *Ledger) handleAck(a *wire.Ack) {
	for _, item := range a.GetItems() {
		j := l.jobs[ident.KeyOf(item.GetKey())]
		if j == nil {
			continue
		}
		if t := j.tasks[item.GetIndex()]; t != nil && t.state == ended {
			t.acked = true
		}
	}
}
