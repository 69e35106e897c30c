// Package inquiry asks all agents for ends of jobs that were taken over, and tells when they have answered. It is a state
// machine without I/O and without a clock of its own; one goroutine uses it.
package inquiry

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Agents sends to agents.
type Agents interface {
	// Linked lists the agents that are linked.
	Linked() []ident.Incarnation
	Ask(agent ident.Incarnation, number uint64, jobs []job.ID)
}

// Inquiry holds the questions that are not answered yet.
type Inquiry struct {
	agents Agents
	// limit is how long an answer is waited for.
	timeout    time.Duration
	without    rule.Set
	queries    []*query
	lastNumber uint64
}

// question is one question to all agents.
type query struct {
	number  uint64
	started time.Time
	// unanswered are the agents whose answers are waited for.
	unanswered map[ident.Incarnation]bool
	onComplete func(now time.Time)
}

// New returns an Inquiry without questions. An agent that does not answer for settle is not waited for any longer: nothing
// of what it had still runs.
func New(a Agents, settle time.Duration, without rule.Set) *Inquiry {
	return &Inquiry{agents: a, timeout: settle, without: without}
}

// Ask asks all agents about some jobs; then is called once, when all have answered or are not waited for any longer.
func (q *Inquiry) Ask(now time.Time, jobs []job.ID, then func(now time.Time)) {
	q.lastNumber++
	next := &query{number: q.lastNumber, started: now, unanswered: make(map[ident.Incarnation]bool), onComplete: then}
	if !q.without.Has(rule.AskFirst) {
		for _, a := range q.agents.Linked() {
			next.unanswered[a] = true
			q.agents.Ask(a, next.number, jobs)
		}
	}
	q.queries = append(q.queries, next)
	q.Tick(now)
}

// Answered handles an agent's word that it has told all ends that a question is about.
func (q *Inquiry) HandleAnswer(now time.Time, agent ident.Incarnation, number uint64) {
	for _, o := range q.queries {
		if o.number == number {
			delete(o.unanswered, agent)
		}
	}
	q.Tick(now)
}

// AgentLost handles an agent that is out of hearing: it can't answer any more.
func (q *Inquiry) HandleAgentLost(now time.Time, agent ident.Incarnation) {
	for _, o := range q.queries {
		delete(o.unanswered, agent)
	}
	q.Tick(now)
}

// Tick ends the questions that all agents have answered, and those that have waited for long enough.
func (q *Inquiry) Tick(now time.Time) {
	var rest []*query
	open := q.queries
	q.queries = nil // what follows from an answer may ask again
	for _, o := range open {
		if len(o.unanswered) > 0 && now.Sub(o.started) < q.timeout {
			rest = append(rest, o)
			continue
		}
		o.onComplete(now)
	}
	q.queries = append(rest, q.queries...)
}

// Clear forgets all questions; nobody hears of their answers.
func (q *Inquiry) Clear() { q.queries = nil }
