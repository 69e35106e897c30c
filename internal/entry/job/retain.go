package job

import (
	"cmp"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// maxAckItems bounds one acknowledgement message.
const maxAckItems = 1000

type keptAnswer struct {
	key  ident.Key
	size int
}

func compareKeys(a, b ident.Key) int {
	return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Seq, b.Seq))
}

func (t *Table) expired(id ident.JobID) bool { return t.ids.Expired(id.MintedMs) }

// forget drops jobs past the retention.
func (t *Table) forget() {
	t.ids.Tick(func(key ident.Key) bool { return t.forgetJob(t.jobs[key]) })
	for len(t.kept) > 0 && t.jobs[t.kept[0].key] == nil {
		t.dropFirstAnswer()
	}
	t.dropRosters()
}

// forgetJob drops one job. One whose tasks still run is kept until it ends.
func (t *Table) forgetJob(j *job) bool {
	switch j.mode {
	case active, stopping:
		return false
	case ended:
	default:
		for _, w := range j.waiters {
			w.req.Answer(t.progressAnswer(j, verdict.Unresolved, verdict.Expired))
		}
	}
	delete(t.blocked, j.key)
	delete(t.unsettled, j.key)
	delete(t.jobs, j.key)
	return true
}

// keepAnswer bounds the bytes of the answers kept; the oldest lose theirs and keep their verdicts.
func (t *Table) keepAnswer(j *job) {
	t.kept = append(t.kept, keptAnswer{j.key, j.outcome.answerBytes})
	t.keptBytes += j.outcome.answerBytes
	for t.keptBytes > t.opt.AnswerBytes {
		t.dropFirstAnswer()
	}
}

func (t *Table) dropFirstAnswer() {
	first := t.kept[0]
	t.kept = t.kept[1:]
	t.keptBytes -= first.size
	if old := t.jobs[first.key]; old != nil && first.size > 0 {
		old.outcome = old.outcome.withoutAnswers()
	}
}

// flushAcks tells the agents which results have arrived, one message an agent.
func (t *Table) flushAcks() {
	for inc, items := range t.acks {
		for len(items) > 0 {
			n := min(len(items), maxAckItems)
			t.toAgent(inc, &wire.Msg{Kind: &wire.Msg_Ack{Ack: &wire.Ack{Items: items[:n]}}})
			items = items[n:]
		}
		delete(t.acks, inc)
	}
}
