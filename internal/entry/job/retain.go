package job

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// ageBucketMs groups jobs by mint time, so that forgetting costs nothing per job kept.
const ageBucketMs = 1000

// maxAckItems bounds one acknowledgement message.
const maxAckItems = 1000

type keptAnswer struct {
	key  ident.Key
	size int
}

func compareKeys(a, b ident.Key) int {
	return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Seq, b.Seq))
}

func (t *Table) remember(j *job) {
	b := j.id.MintedMs / ageBucketMs
	t.ages[b] = append(t.ages[b], j.key)
}

// moveWatermark never lowers the watermark, so a clock that jumps back can't reopen an id.
func (t *Table) moveWatermark() {
	t.watermark = max(t.watermark, t.opt.Now().Add(-t.opt.Retention).UnixMilli())
}

func (t *Table) expired(id ident.JobID) bool { return id.MintedMs <= t.watermark }

// forget drops jobs past the retention. One whose tasks still run is kept until it ends.
func (t *Table) forget() {
	limit := t.watermark / ageBucketMs
	var old []int64
	for b := range t.ages {
		if b < limit {
			old = append(old, b)
		}
	}
	slices.Sort(old)
	for _, b := range old {
		keys := t.ages[b]
		kept := keys[:0]
		for _, key := range keys {
			if !t.forgetJob(t.jobs[key]) {
				kept = append(kept, key)
			}
		}
		if len(kept) == 0 {
			delete(t.ages, b)
			continue
		}
		t.ages[b] = kept
	}
	for len(t.kept) > 0 && t.jobs[t.kept[0].key] == nil {
		t.dropFirstAnswer()
	}
	t.dropRosters()
}

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
	size := 0
	for _, ta := range j.answer.GetTasks() {
		size += len(ta.GetAnswer())
	}
	t.kept = append(t.kept, keptAnswer{j.key, size})
	t.keptBytes += size
	for t.keptBytes > t.opt.AnswerBytes {
		t.dropFirstAnswer()
	}
}

func (t *Table) dropFirstAnswer() {
	first := t.kept[0]
	t.kept = t.kept[1:]
	t.keptBytes -= first.size
	if old := t.jobs[first.key]; old != nil && first.size > 0 {
		old.answer = withoutAnswers(old.answer)
	}
}

// withoutAnswers copies, because a link may still be writing the old message.
func withoutAnswers(a *wire.Answer) *wire.Answer {
	c := proto.Clone(a).(*wire.Answer)
	for _, ta := range c.GetTasks() {
		ta.AnswerGone = ta.GetAnswerGone() || len(ta.GetAnswer()) > 0
		ta.Answer = nil
	}
	return c
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
