package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/claim"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// need returns a need for tasks, the first of which should be placed in 50 ms.
func need(tasks int) claim.Need {
	return claim.Need{Tasks: tasks, Each: job.Resources{CPU: 1000}, PlaceBy: start.Add(50 * ms)}
}

// agents returns the ids from 1 to n.
func agents(n int) []ident.Incarnation {
	var out []ident.Incarnation
	for i := range n {
		out = append(out, ident.Incarnation(i+1))
	}
	return out
}

func newSet(seed uint64) *claim.Set { return claim.New(rand.New(rand.NewPCG(seed, 0))) }

// TestHowManyAgents checks how many agents are asked, and for how many tasks each.
func TestHowManyAgents(t *testing.T) {
	for _, test := range []struct {
		name                       string
		tasks, agents, asked, each int
	}{
		{"nothing waits", 0, 10, 0, 0},
		{"no agent", 5, 0, 0, 0},
		{"one task", 1, 10, 3, 1},
		{"fewer agents than wanted", 1, 2, 2, 1},
		{"some tasks", 4, 20, 8, 1},
		{"many tasks, few agents", 30, 10, 10, 6},
		{"as many as there are", 30, 1, 1, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			out := newSet(1).Update(start, need(test.tasks), agents(test.agents))
			qt.Assert(t, out, qt.HasLen, test.asked)
			to := make(map[ident.Incarnation]bool)
			for _, m := range out {
				to[m.Agent] = true
				qt.Assert(t, int(m.Claim.Tasks), qt.Equals, test.each)
				qt.Assert(t, m.Claim.DueIn, qt.Equals, 50*ms)
				qt.Assert(t, m.Claim.ValidFor > 0, qt.IsTrue)
			}
			qt.Assert(t, to, qt.HasLen, test.asked)
		})
	}
}

// TestEntriesAskDifferentAgents checks that entries with one waiting task each don't all ask the same agents of many.
func TestEntriesAskDifferentAgents(t *testing.T) {
	asked := make(map[ident.Incarnation]bool)
	for seed := range uint64(20) {
		for _, m := range newSet(seed).Update(start, need(1), agents(100)) {
			asked[m.Agent] = true
		}
	}
	qt.Assert(t, len(asked) > 30, qt.IsTrue, qt.Commentf("%d asked", len(asked)))
}

// TestWhenSentAgain checks what is sent some time after a first claim at three agents.
func TestWhenSentAgain(t *testing.T) {
	changed := func(f func(n *claim.Need)) claim.Need {
		n := need(1)
		f(&n)
		return n
	}
	for _, test := range []struct {
		name  string
		after time.Duration
		need  claim.Need
		want  int
	}{
		{"nothing has changed", 20 * ms, need(1), 0},
		{"it would soon expire", 100 * ms, need(1), 3},
		{"another job is first, soon after", 19 * ms, changed(func(n *claim.Need) { n.PlaceBy = n.PlaceBy.Add(20 * ms) }), 0},
		{"another job is first", 20 * ms, changed(func(n *claim.Need) { n.PlaceBy = n.PlaceBy.Add(20 * ms) }), 3},
		{"one that ranks nearly alike", 20 * ms, changed(func(n *claim.Need) { n.PlaceBy = n.PlaceBy.Add(4 * ms) }), 0},
		{"one that has begun", 20 * ms, changed(func(n *claim.Need) { n.Begun = true }), 3},
		{"a late one", 20 * ms, changed(func(n *claim.Need) { n.Late = true }), 3},
		{"larger tasks", 20 * ms, changed(func(n *claim.Need) { n.Each.CPU = 1100 }), 3},
		{"nothing waits", ms, need(0), 3},
		{"more tasks: more agents", ms, need(2), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSet(1)
			qt.Assert(t, s.Update(start, need(1), agents(10)), qt.HasLen, 3)
			out := s.Update(start.Add(test.after), test.need, agents(10))
			qt.Assert(t, out, qt.HasLen, test.want)
			for _, m := range out {
				qt.Assert(t, m.Claim.Tasks > 0, qt.Equals, test.need.Tasks > 0)
			}
		})
	}
}

// TestUsedClaims checks that a claim of which all tasks have got room is sent again if others wait.
func TestUsedClaims(t *testing.T) {
	s := newSet(1)
	s.Update(start, need(1), agents(1))
	s.Use(1, 1)
	qt.Assert(t, s.Update(start.Add(19*ms), need(1), agents(1)), qt.HasLen, 0)
	qt.Assert(t, s.Update(start.Add(20*ms), need(1), agents(1)), qt.HasLen, 1)
}

// TestAgentsThatAreNoCandidates checks that claims are withdrawn at agents that could no longer take the tasks, but not at those whose
// session has ended.
func TestAgentsThatAreNoCandidates(t *testing.T) {
	s := newSet(1)
	s.Update(start, need(1), agents(3))
	s.Forget(2)
	out := s.Update(start.Add(ms), need(1), []ident.Incarnation{1})
	qt.Assert(t, out, qt.DeepEquals, []claim.Message{{Agent: 3}})
	qt.Assert(t, s.Withdraw(), qt.DeepEquals, []claim.Message{{Agent: 1}})
	qt.Assert(t, s.Withdraw(), qt.HasLen, 0)
}
