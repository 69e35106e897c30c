package inquiry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/kept/inquiry"
)

const (
	agentA, agentB = ident.Incarnation(11), ident.Incarnation(12)
	settle         = time.Second
)

// agents are two that are linked; it notes the questions to each.
type agents map[ident.Incarnation][]uint64

func (a agents) Linked() []ident.Incarnation { return []ident.Incarnation{agentA, agentB} }

func (a agents) Ask(agent ident.Incarnation, number uint64, _ []job.ID) {
	a[agent] = append(a[agent], number)
}

// TestEndOfQuestion: a question ends once, when each agent has answered it, is out of hearing, or was silent for too long.
func TestQueryCompletion(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		without rule.Set
		do      func(q *inquiry.Inquiry)
		ends    int
	}{
		{"nothing", nil, func(*inquiry.Inquiry) {}, 0},
		{"one answers", nil, func(q *inquiry.Inquiry) { q.HandleAnswer(start, agentA, 1) }, 0},
		{"another question is answered", nil, func(q *inquiry.Inquiry) {
			q.HandleAnswer(start, agentA, 2)
			q.HandleAnswer(start, agentB, 2)
		}, 0},
		{"both answer", nil, func(q *inquiry.Inquiry) {
			q.HandleAnswer(start, agentA, 1)
			q.HandleAnswer(start, agentB, 1)
			q.Tick(start)
		}, 1},
		{"one answers, the other is lost", nil, func(q *inquiry.Inquiry) {
			q.HandleAnswer(start, agentA, 1)
			q.HandleAgentLost(start, agentB)
		}, 1},
		{"just before the limit", nil, func(q *inquiry.Inquiry) { q.Tick(start.Add(settle - 1)) }, 0},
		{"at the limit", nil, func(q *inquiry.Inquiry) { q.Tick(start.Add(settle)) }, 1},
		{"forgotten", nil, func(q *inquiry.Inquiry) {
			q.Clear()
			q.Tick(start.Add(settle))
		}, 0},
		{"nobody is asked", rule.Without(rule.AskFirst), func(*inquiry.Inquiry) {}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			ends := 0
			q := inquiry.New(agents{}, settle, test.without)
			q.Ask(start, []job.ID{7}, func(time.Time) { ends++ })
			test.do(q)
			qt.Assert(t, ends, qt.Equals, test.ends)
		})
	}
}

// TestAskAgain: what follows from an answer may ask again; that is a question of its own.
func TestAskFromCallback(t *testing.T) {
	now, asked, second := time.Unix(1000, 0), agents{}, false
	q := inquiry.New(asked, settle, nil)
	q.Ask(now, []job.ID{7}, func(now time.Time) {
		q.Ask(now, []job.ID{7}, func(time.Time) { second = true })
	})
	q.HandleAgentLost(now, agentB)
	q.HandleAnswer(now, agentA, 1)
	qt.Assert(t, asked[agentA], qt.DeepEquals, []uint64{1, 2})
	qt.Assert(t, second, qt.IsFalse)
	q.HandleAnswer(now, agentA, 2)
	q.HandleAnswer(now, agentB, 2)
	qt.Assert(t, second, qt.IsTrue)
}
