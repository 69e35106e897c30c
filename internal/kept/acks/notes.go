// Package notes tells agents which ends of kept jobs' runs they need not withhold any more: those that are stored, and those
// that count for nothing. Of jobs that the entry does not know, it asks the store. It has no I/O of its own; one goroutine
// uses it.
package acks

import (
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/record"
)

// Agents sends to agents.
type Agents interface {
	// Noted tells that ends are stored or, with void, that they count for nothing.
	Acknowledge(agent ident.Incarnation, runs []fleet.RunRef, void bool)
}

// Store reads rows.
type Store interface {
	// Look reads the rows of one job; Looked follows.
	LookUp(id job.ID)
}

// End is the end of a run at an agent.
type End struct {
	Agent ident.Incarnation
	Run   fleet.RunRef
}

// Notes holds the ends that the store is asked about.
type Sender struct {
	agents Agents
	store  Store
	log    *logrus.Entry
	// unknown are ends of jobs that the store is being asked about.
	pending map[job.ID][]End
}

// New returns Notes without ends.
func New(a Agents, s Store, log *logrus.Entry) *Sender {
	return &Sender{agents: a, store: s, log: log, pending: make(map[job.ID][]End)}
}

// Stored tells agents that ends are stored.
func (n *Sender) AckStored(ends ...End) { n.send(ends, false) }

// Void tells an agent that an end counts for nothing.
func (n *Sender) AckVoid(e End) { n.send([]End{e}, true) }

// tell sends one word to each agent.
func (n *Sender) send(ends []End, void bool) {
	var agents []ident.Incarnation
	runs := make(map[ident.Incarnation][]fleet.RunRef)
	for _, e := range ends {
		if runs[e.Agent] == nil {
			agents = append(agents, e.Agent)
		}
		runs[e.Agent] = append(runs[e.Agent], e.Run)
	}
	for _, a := range agents {
		n.agents.Acknowledge(a, runs[a], void)
	}
}

// LookUp asks the store about the job of an end that this entry does not know.
func (n *Sender) LookUp(e End) {
	id := e.Run.Task.Job
	if n.pending[id] == nil {
		n.store.LookUp(id)
	}
	n.pending[id] = append(n.pending[id], e)
}

// Looked handles what the store has of a job that was looked up.
func (n *Sender) HandleLookUp(id job.ID, open, ended rows.Row, err error) {
	ends := n.pending[id]
	delete(n.pending, id)
	if err != nil || open.Version != 0 {
		return // agents tell the end again, and its job's owner will hear of it
	}
	var how record.EndedJob
	if ended.Version != 0 {
		if how, err = record.Decode[record.EndedJob](ended); err != nil {
			record.LogUnreadable(n.log, err)
			return
		}
	}
	for _, e := range ends {
		counted := how.Counted(e.Run.Task.Step, e.Run.Task.Index, e.Run.Run)
		n.send([]End{e}, !counted)
	}
}
