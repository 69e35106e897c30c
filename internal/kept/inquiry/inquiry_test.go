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

// agents stands in for two linked agents. It records the numbers of the queries to each.
type agents map[ident.Incarnation][]uint64

func (a agents) Linked() []ident.Incarnation { return []ident.Incarnation{agentA, agentB} }

func (a agents) Ask(agent ident.Incarnation, number uint64, _ []job.ID) {
	a[agent] = append(a[agent], number)
}

// TestQueryCompletion checks that a query completes exactly once: when each agent has answered it, was lost, or has timed
// out. A query that completes too early lets a job run again although an end of it is still to come.
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
		{"another query is answered", nil, func(q *inquiry.Inquiry) {
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
		{"just before the timeout", nil, func(q *inquiry.Inquiry) { q.Tick(start.Add(settle - 1)) }, 0},
		{"at the timeout", nil, func(q *inquiry.Inquiry) { q.Tick(start.Add(settle)) }, 1},
		{"cleared", nil, func(q *inquiry.Inquiry) {
			q.Clear()
			q.Tick(start.Add(settle))
		}, 0},
		{"rule ask_first disabled", rule.Without(rule.AskFirst), func(*inquiry.Inquiry) {}, 1},
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

// TestAskFromCallback guards against a query that is lost, or completed by an answer to the first one, because it was started
// by the first query's onComplete.
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
