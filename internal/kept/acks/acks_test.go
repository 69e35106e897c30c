package acks_test

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
	"hillreel/internal/kept/acks"
	"hillreel/internal/kept/record"
)

const jobID = job.ID(7)

// ack is one acknowledgement that was sent to an agent.
type ack struct {
	Agent ident.Incarnation
	Runs  []fleet.RunRef
	Void  bool
}

// peers stands in for the agents and the store. It records acknowledgements and look-ups.
type peers struct {
	acks    []ack
	lookups []job.ID
}

func (p *peers) Acknowledge(a ident.Incarnation, runs []fleet.RunRef, void bool) {
	p.acks = append(p.acks, ack{a, runs, void})
}

func (p *peers) LookUp(id job.ID) { p.lookups = append(p.lookups, id) }

func run(index uint32) fleet.RunRef {
	return fleet.RunRef{Task: job.TaskID{Job: jobID, Index: index}, Run: 1}
}

// TestStored checks that each agent gets one message with all of its own ends, and none of another agent's.
func TestStored(t *testing.T) {
	p := &peers{}
	n := acks.New(p, p, logs.Discard())
	n.AckStored(acks.End{Agent: 1, Run: run(0)}, acks.End{Agent: 2, Run: run(1)}, acks.End{Agent: 1, Run: run(2)})
	n.AckVoid(acks.End{Agent: 2, Run: run(3)})
	qt.Assert(t, p.acks, qt.DeepEquals, []ack{
		{1, []fleet.RunRef{run(0), run(2)}, false},
		{2, []fleet.RunRef{run(1)}, false},
		{2, []fleet.RunRef{run(3)}, true},
	})
}

// TestLookUp checks that a job is looked up only once for several ends, and that its stored rows decide whether the ends are
// acknowledged as stored or as void. A wrong void would make an agent discard an end that counts.
func TestLookUp(t *testing.T) {
	complete := rows.Row{Version: 2, Value: record.EncodeLogged(logs.Discard(), record.EndedJob{State: verdict.Complete})}
	failed := rows.Row{Version: 2, Value: record.EncodeLogged(logs.Discard(), record.EndedJob{State: verdict.Failed})}
	for _, test := range []struct {
		name        string
		open, ended rows.Row
		err         error
		want        []ack
	}{
		{"complete", rows.Row{}, complete, nil, []ack{{1, []fleet.RunRef{run(0)}, false}, {1, []fleet.RunRef{run(1)}, false}}},
		{"failed", rows.Row{}, failed, nil, []ack{{1, []fleet.RunRef{run(0)}, true}, {1, []fleet.RunRef{run(1)}, true}}},
		{"deleted", rows.Row{}, rows.Row{}, nil, []ack{{1, []fleet.RunRef{run(0)}, true}, {1, []fleet.RunRef{run(1)}, true}}},
		{"open", rows.Row{Version: 1}, rows.Row{}, nil, nil},
		{"row that can't be decoded", rows.Row{}, rows.Row{Version: 2, Value: []byte("x")}, nil, nil},
		{"no answer", rows.Row{}, rows.Row{}, errors.New("store unavailable"), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &peers{}
			n := acks.New(p, p, logs.Discard())
			n.LookUp(acks.End{Agent: 1, Run: run(0)})
			n.LookUp(acks.End{Agent: 1, Run: run(1)})
			qt.Assert(t, p.lookups, qt.DeepEquals, []job.ID{jobID})
			n.HandleLookUp(jobID, test.open, test.ended, test.err)
			qt.Assert(t, p.acks, qt.DeepEquals, test.want)
			n.LookUp(acks.End{Agent: 1, Run: run(0)})
			qt.Assert(t, p.lookups, qt.HasLen, 2) // the job is looked up again
		})
	}
}
