package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"hillreel/internal/core/ident"
	"hillreel/internal/link/wire"
)

// answerQueue holds answers in the order in which they were kept.
type answerQueue struct {
	items []answerItem
	bytes int
}

type answerItem struct {
	ref  taskRef
	size int
	at   time.Time
}

// forgetJob drops a job past its retention. One with a task that still runs is kept until it ends.
func (l *Ledger) forgetJob(key ident.Key) bool {
	j := l.jobs[key]
	for _, t := range j.tasks {
		if t.state == running {
			return false
		}
	}
	for index, t := range j.tasks {
		if t.state == queued {
			l.drop(j, index)
		}
	}
	delete(l.jobs, key)
	return true
}

func (l *Ledger) keepAnswer(ref taskRef, size int) {
	l.answers.items = append(l.answers.items, answerItem{ref, size, l.opt.Now()})
	l.answers.bytes += size
	for l.answers.bytes > l.opt.AnswerBytes {
		l.dropFirstAnswer()
	}
}

// dropOldAnswers drops acknowledged answers whose grace has passed, oldest first.
func (l *Ledger) dropOldAnswers() {
	before := l.opt.Now().Add(-l.opt.AnswerGrace)
	for len(l.answers.items) > 0 {
		first := l.answers.items[0]
		if first.at.After(before) || !l.acked(first.ref) {
			return
		}
		l.dropFirstAnswer()
	}
}

func (l *Ledger) acked(ref taskRef) bool {
	j := l.jobs[ref.key]
	return j == nil || j.tasks[ref.index] == nil || j.tasks[ref.index].acked
}

// dropFirstAnswer keeps the task's verdict; only the answer's bytes go.
func (l *Ledger) dropFirstAnswer() {
	first := l.answers.items[0]
	l.answers.items = l.answers.items[1:]
	l.answers.bytes -= first.size
	j := l.jobs[first.ref.key]
	if j == nil || j.tasks[first.ref.index] == nil {
		return
	}
	t := j.tasks[first.ref.index]
	if t.result == nil || len(t.result.GetAnswer()) == 0 {
		return
	}
	// A copy, because a link may still be writing the old message.
	r := proto.Clone(t.result).(*wire.Result)
	r.Answer, r.AnswerGone = nil, true
	t.result = r
}
