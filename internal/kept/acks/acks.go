// Package acks acknowledges the ends of kept jobs' runs to agents, which withhold an end until it is acknowledged. An end is
// acknowledged when it is stored, or when it is void, that is, will never be counted. For jobs that the entry does not know,
// the package looks up the answer in the store. It does no I/O itself; one goroutine uses it.
package acks

import (
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/kept/record"
)

// Agents sends messages to agents.
type Agents interface {
	// Acknowledge tells an agent that the ends of runs are stored or, if void is true, that they will never be counted.
	Acknowledge(agent ident.Incarnation, runs []fleet.RunRef, void bool)
}

// Store reads rows.
type Store interface {
	// LookUp starts reading the rows of one job. The result is passed to Sender.HandleLookUp.
	LookUp(id job.ID)
}

// End is the end of a run at an agent.
type End struct {
	Agent ident.Incarnation
	Run   fleet.RunRef
}

// Sender sends acknowledgements, and holds the ends whose jobs are being looked up in the store.
type Sender struct {
	agents Agents
	store  Store
	log    *logrus.Entry
	// pending are the ends of the jobs that are being looked up.
	pending map[job.ID][]End
}

// New returns a Sender without pending ends.
func New(a Agents, s Store, log *logrus.Entry) *Sender {
	return &Sender{agents: a, store: s, log: log, pending: make(map[job.ID][]End)}
}

// AckStored tells agents that ends are stored.
func (s *Sender) AckStored(ends ...End) { s.send(ends, false) }

// AckVoid tells an agent that an end will never be counted.
func (s *Sender) AckVoid(e End) { s.send([]End{e}, true) }

// send sends one message to each agent that reported any of the ends.
func (s *Sender) send(ends []End, void bool) {
	var agents []ident.Incarnation
	runs := make(map[ident.Incarnation][]fleet.RunRef)
	for _, e := range ends {
		if runs[e.Agent] == nil {
			agents = append(agents, e.Agent)
		}
		runs[e.Agent] = append(runs[e.Agent], e.Run)
	}
	for _, a := range agents {
		s.agents.Acknowledge(a, runs[a], void)
	}
}

// LookUp looks up the job of an end in the store, for a job that the entry does not know. A look-up in progress is not repeated.
func (s *Sender) LookUp(e End) {
	id := e.Run.Task.Job
	if s.pending[id] == nil {
		s.store.LookUp(id)
	}
	s.pending[id] = append(s.pending[id], e)
}

// HandleLookUp handles the stored rows of a job that was looked up. The ends of an open job are not acknowledged here,
// but by the job's owner.
func (s *Sender) HandleLookUp(id job.ID, open, ended rows.Row, err error) {
	ends := s.pending[id]
	delete(s.pending, id)
	if err != nil || open.Version != 0 {
		return // agents report the end again, and do so to the owner of the job
	}
	var endedJob record.EndedJob
	if ended.Version != 0 {
		if endedJob, err = record.Decode[record.EndedJob](ended); err != nil {
			record.LogUnreadable(s.log, err)
			return
		}
	}
	for _, e := range ends {
		counted := endedJob.Counted(e.Run.Task.Step, e.Run.Task.Index, e.Run.Run)
		s.send([]End{e}, !counted)
	}
}
