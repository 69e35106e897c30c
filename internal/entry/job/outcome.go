package job

import (
	"google.golang.org/protobuf/proto"

	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// outcome is the answer to a job that has ended, packed: it is kept for the whole retention and seldom
// asked for again. As protobuf bytes it takes less than half of what the Go values do.
type outcome struct {
	state  verdict.State
	packed []byte
	// answerBytes counts the bytes of the tasks' own answers in it.
	answerBytes int
}

func pack(a *wire.Answer) *outcome {
	o := &outcome{state: verdict.State(a.GetState())}
	for _, ta := range a.GetTasks() {
		o.answerBytes += len(ta.GetAnswer())
	}
	// It can't fail: all strings in it came from valid messages or from constants.
	o.packed, _ = proto.Marshal(a)
	return o
}

// answer unpacks what callers are told.
func (o *outcome) answer() *wire.Answer {
	a := &wire.Answer{}
	if err := proto.Unmarshal(o.packed, a); err != nil {
		return &wire.Answer{State: string(verdict.Unresolved), Verdict: string(verdict.MayHaveRun), Message: err.Error()}
	}
	return a
}

// withoutAnswers keeps the verdicts and drops the tasks' own answers.
func (o *outcome) withoutAnswers() *outcome {
	a := o.answer()
	for _, ta := range a.GetTasks() {
		ta.AnswerGone = ta.GetAnswerGone() || len(ta.GetAnswer()) > 0
		ta.Answer = nil
	}
	return pack(a)
}
