package snapshot_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/snapshot"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	standin "hillreel/internal/standin/memory"
)

// store is a store in which a write may get no answer and be carried out later.
type store struct {
	standin.Store
	// loses: the next write gets no answer. held are the writes that are still to be carried out.
	loses bool
	held  []rows.Txn
}

var errNoAnswer = errors.New("no answer")

func (s *store) Read(_ context.Context, k rows.Key) (rows.Row, error) { return s.Rows[k], nil }

func (s *store) Commit(_ context.Context, t rows.Txn) (rows.Version, error) {
	if s.loses {
		s.loses = false
		s.held = append(s.held, t)
		return 0, errNoAnswer
	}
	if !s.Store.Commit(t) {
		return 0, rows.ErrConflict
	}
	return s.Version, nil
}

func withCPU(cpu int64) lives.Snapshot {
	return lives.Snapshot{Upstream: fleet.Upstream{ID: "u-1", Service: "s", Total: job.Resources{CPU: cpu}}}
}

// TestLateWrite checks that a write without an answer changes nothing if it is carried out after a newer write.
func TestLateWrite(t *testing.T) {
	ctx := context.Background()
	s := &store{Store: standin.New()}
	current := snapshot.New(s, "vm")
	qt.Assert(t, current.Save(ctx, withCPU(3)), qt.IsNil)
	s.loses = true
	qt.Assert(t, current.Save(ctx, withCPU(2)), qt.Equals, errNoAnswer)
	qt.Assert(t, current.Save(ctx, withCPU(1)), qt.IsNil)
	for _, late := range s.held {
		qt.Assert(t, s.Store.Commit(late), qt.IsFalse)
	}
	u, found, err := snapshot.New(s, "vm").Load(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, u, qt.DeepEquals, withCPU(1))
}

// TestLateWriteOfEarlierIncarnation checks that a late write of an earlier incarnation of the agent is overwritten.
func TestLateWriteOfEarlierIncarnation(t *testing.T) {
	ctx := context.Background()
	s := &store{Store: standin.New()}
	current, former := snapshot.New(s, "vm"), snapshot.New(s, "vm")
	_, found, err := current.Load(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.IsFalse)
	qt.Assert(t, former.Save(ctx, withCPU(3)), qt.IsNil)
	qt.Assert(t, current.Save(ctx, withCPU(1)), qt.Equals, rows.ErrConflict)
	qt.Assert(t, current.Save(ctx, withCPU(1)), qt.IsNil)
	u, _, err := current.Load(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, u, qt.DeepEquals, withCPU(1))
}

// TestCrashesAreRemembered checks that an agent that restarts loads the crashes that its earlier incarnation knew of.
func TestCrashesAreRemembered(t *testing.T) {
	ctx := context.Background()
	s := &store{Store: standin.New()}
	want := withCPU(1)
	life := ident.UpstreamLife{ID: "u-0", Born: 3}
	want.Crashes = []fleet.Crash{
		{Task: job.TaskID{Job: 7, Step: 1, Index: 2}, VM: "vm", Life: life, Loss: 9, Age: 10 * time.Millisecond, Alone: true, OnlyTask: true},
		{Task: job.TaskID{Job: 8}, VM: "vm", Life: life, Loss: 9},
	}
	qt.Assert(t, snapshot.New(s, "vm").Save(ctx, want), qt.IsNil)
	got, _, err := snapshot.New(s, "vm").Load(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, want)
}
