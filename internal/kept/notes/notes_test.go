package notes_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/kept/notes"
	"hillreel/internal/kept/record"
)

const jobID = job.ID(7)

// word is what an agent was told.
type word struct {
	Agent ident.Incarnation
	Runs  []fleet.RunRef
	Void  bool
}

// peers are the agents and the store; they note what they are told and asked.
type peers struct {
	words []word
	looks []job.ID
}

func (p *peers) Noted(a ident.Incarnation, runs []fleet.RunRef, void bool) {
	p.words = append(p.words, word{a, runs, void})
}

func (p *peers) Look(id job.ID) { p.looks = append(p.looks, id) }

func run(index uint32) fleet.RunRef {
	return fleet.RunRef{Task: job.TaskID{Job: jobID, Index: index}, Run: 1}
}

// TestStored: each agent is told once of all ends that are its own.
func TestStored(t *testing.T) {
	p := &peers{}
	n := notes.New(p, p, logs.Discard())
	n.Stored(notes.End{Agent: 1, Run: run(0)}, notes.End{Agent: 2, Run: run(1)}, notes.End{Agent: 1, Run: run(2)})
	n.Void(notes.End{Agent: 2, Run: run(3)})
	qt.Assert(t, p.words, qt.DeepEquals, []word{
		{1, []fleet.RunRef{run(0), run(2)}, false},
		{2, []fleet.RunRef{run(1)}, false},
		{2, []fleet.RunRef{run(3)}, true},
	})
}

// TestLookUp: the store is asked once of a job, and its word decides what the job's ends are.
func TestLookUp(t *testing.T) {
	complete := rows.Row{Version: 2, Value: record.LoggedValue(logs.Discard(), record.Ended{State: verdict.Complete})}
	failed := rows.Row{Version: 2, Value: record.LoggedValue(logs.Discard(), record.Ended{State: verdict.Failed})}
	for _, test := range []struct {
		name        string
		open, ended rows.Row
		err         error
		want        []word
	}{
		{"complete", rows.Row{}, complete, nil, []word{{1, []fleet.RunRef{run(0)}, false}, {1, []fleet.RunRef{run(1)}, false}}},
		{"failed", rows.Row{}, failed, nil, []word{{1, []fleet.RunRef{run(0)}, true}, {1, []fleet.RunRef{run(1)}, true}}},
		{"forgotten", rows.Row{}, rows.Row{}, nil, []word{{1, []fleet.RunRef{run(0)}, true}, {1, []fleet.RunRef{run(1)}, true}}},
		{"open", rows.Row{Version: 1}, rows.Row{}, nil, nil},
		{"not readable", rows.Row{}, rows.Row{Version: 2, Value: []byte("x")}, nil, nil},
		{"no answer", rows.Row{}, rows.Row{}, errors.New("away"), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &peers{}
			n := notes.New(p, p, logs.Discard())
			n.LookUp(notes.End{Agent: 1, Run: run(0)})
			n.LookUp(notes.End{Agent: 1, Run: run(1)})
			qt.Assert(t, p.looks, qt.DeepEquals, []job.ID{jobID})
			n.Looked(jobID, test.open, test.ended, test.err)
			qt.Assert(t, p.words, qt.DeepEquals, test.want)
			n.LookUp(notes.End{Agent: 1, Run: run(0)})
			qt.Assert(t, p.looks, qt.HasLen, 2) // it is asked anew
		})
	}
}
