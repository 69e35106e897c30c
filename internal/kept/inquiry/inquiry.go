// Package inquiry asks all agents for the ends of jobs that were taken over, and calls back when all have answered. It is a
// state machine without I/O and without its own clock; one goroutine uses it.
package inquiry

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Agents sends messages to agents.
type Agents interface {
	// Linked lists the agents that have a link to this entry.
	Linked() []ident.Incarnation
	// Ask asks an agent for the ends of jobs. number identifies the query in the agent's answer.
	Ask(agent ident.Incarnation, number uint64, jobs []job.ID)
}

// Inquiry holds the queries that are not answered yet.
type Inquiry struct {
	agents Agents
	// timeout is how long a query waits for answers.
	timeout    time.Duration
	without    rule.Set
	queries    []*query
	lastNumber uint64
}

// query is one query to all agents.
type query struct {
	number  uint64
	started time.Time
	// unanswered holds the agents that have not answered yet.
	unanswered map[ident.Incarnation]bool
	onComplete func(now time.Time)
}

// New returns an Inquiry without queries. A query waits for an agent no longer than settle: by then, no run that the agent
// had is running any more.
func New(a Agents, settle time.Duration, without rule.Set) *Inquiry {
	return &Inquiry{agents: a, timeout: settle, without: without}
}

// Ask asks all agents about jobs. onComplete is called once, when each agent has answered, was lost, or has timed out.
func (q *Inquiry) Ask(now time.Time, jobs []job.ID, onComplete func(now time.Time)) {
	q.lastNumber++
	next := &query{number: q.lastNumber, started: now, unanswered: make(map[ident.Incarnation]bool), onComplete: onComplete}
	if !q.without.Has(rule.AskFirst) {
		for _, a := range q.agents.Linked() {
			next.unanswered[a] = true
			q.agents.Ask(a, next.number, jobs)
		}
	}
	q.queries = append(q.queries, next)
	q.Tick(now)
}

// HandleAnswer handles an agent's message that it has reported all ends that query number asked for.
func (q *Inquiry) HandleAnswer(now time.Time, agent ident.Incarnation, number uint64) {
	for _, open := range q.queries {
		if open.number == number {
			delete(open.unanswered, agent)
		}
	}
	q.Tick(now)
}

// HandleAgentLost handles an agent that can't be reached, and so can't answer any more.
func (q *Inquiry) HandleAgentLost(now time.Time, agent ident.Incarnation) {
	for _, open := range q.queries {
		delete(open.unanswered, agent)
	}
	q.Tick(now)
}

// Tick completes the queries that all agents have answered, and those that have timed out.
func (q *Inquiry) Tick(now time.Time) {
	var rest []*query
	all := q.queries
	q.queries = nil // onComplete may call Ask
	for _, open := range all {
		if len(open.unanswered) > 0 && now.Sub(open.started) < q.timeout {
			rest = append(rest, open)
			continue
		}
		open.onComplete(now)
	}
	q.queries = append(rest, q.queries...)
}

// Clear removes all queries without calling their onComplete.
func (q *Inquiry) Clear() { q.queries = nil }
