package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/node"
	"hillreel/internal/standin/memory"
)

// refusals is a cluster of three entries, of which the second one is to refuse a job that was handed in at the first one before.
type refusals struct {
	t                       *testing.T
	first, second           *node.Node
	firstPath, secondPath   *cuttableStore
	firstYoung, secondYoung bool
}

const refusedJob = job.ID(7)

// start starts the entries. They know each other.
func (c *refusals) start() {
	store := &sharedStore{rows: memory.New(), running: time.Now()}
	adjust := func(young bool) func(*settings.Settings) {
		return func(s *settings.Settings) {
			s.Kept.Lease, s.Kept.Renew, s.Kept.LateWrites = time.Second, 100*time.Millisecond, 0
			if young {
				s.Kept.LateWrites = time.Hour
			}
		}
	}
	c.first, c.firstPath = startCuttable(c.t, store, adjust(c.firstYoung))
	c.second, c.secondPath = startCuttable(c.t, store, adjust(c.secondYoung))
	third, _ := startCuttable(c.t, store, adjust(false))
	c.list(c.first, c.second, third)
}

// list tells the second entry which entries there are.
func (c *refusals) list(nodes ...*node.Node) {
	var entries []fleet.Entry
	for _, n := range nodes {
		entries = append(entries, fleet.Entry{Address: ident.Address(n.Address())})
	}
	c.second.SetEntries(entries)
}

// handInUnanswered hands the job in at an entry that is cut off from the store, and gets no answer.
func (c *refusals) handInUnanswered(n *node.Node, path *cuttableStore) {
	keepJob(c.t, n, 6) // it has a lease from then on
	path.cut.Store(true)
	_, err := handIn(n, refusedJob, 200*time.Millisecond)
	qt.Assert(c.t, err, qt.IsNotNil)
}

// TestRefusalIsTrue guards against a job that runs although its last request was refused for good (503): an earlier request without an
// answer had stored it, or stored it later. The entry that refuses can't reach the store.
func TestRefusalIsTrue(t *testing.T) {
	for _, test := range []struct {
		name    string
		cluster refusals
		// before is what happens before the job is handed in at the second entry.
		before func(c *refusals)
		want   verdict.State
	}{
		{"nobody has it", refusals{}, func(*refusals) {}, verdict.Refused},
		{"the write at the first entry has no answer", refusals{}, func(c *refusals) { c.handInUnanswered(c.first, c.firstPath) }, verdict.Unresolved},
		{"the first entry has lost its lease since", refusals{}, func(c *refusals) {
			c.handInUnanswered(c.first, c.firstPath)
			time.Sleep(1500 * time.Millisecond)
		}, verdict.Unresolved},
		{"the first entry has ended since", refusals{}, func(c *refusals) {
			c.handInUnanswered(c.first, c.firstPath)
			c.firstPath.stop()
		}, verdict.Unresolved},
		{"the first entry has accepted it", refusals{}, func(c *refusals) { keepJob(c.t, c.first, refusedJob) }, verdict.Unresolved},
		{"the first entry has started lately", refusals{firstYoung: true}, func(*refusals) {}, verdict.Unresolved},
		{"the second entry has started lately", refusals{secondYoung: true}, func(*refusals) {}, verdict.Unresolved},
		{"the second entry has had it before, and has lost its lease since", refusals{}, func(c *refusals) {
			c.handInUnanswered(c.second, c.secondPath)
			time.Sleep(1500 * time.Millisecond)
		}, verdict.Unresolved},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := test.cluster
			c.t = t
			c.start()
			test.before(&c)
			c.secondPath.cut.Store(true)
			began := time.Now()
			a, err := handIn(c.second, refusedJob, 10*time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, a.State, qt.Equals, test.want, qt.Commentf("%+v", a))
			qt.Check(t, a.Verdict == verdict.NotRun, qt.Equals, test.want == verdict.Refused)
			qt.Check(t, time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		})
	}
}

// TestRefusalNeedsTheList guards against a false refusal at an entry that does not know which entries there are, or were a short time ago.
func TestRefusalNeedsTheList(t *testing.T) {
	for _, test := range []struct {
		name string
		// lists are the lists of entries that the entry reads one after the other: it itself, and others by number.
		lists [][]int
		want  verdict.State
	}{
		{"never read", nil, verdict.Unresolved},
		{"it is alone", [][]int{{}}, verdict.Refused},
		{"an entry has come", [][]int{{}, {1}}, verdict.Refused},
		{"an entry has gone", [][]int{{1}, {}}, verdict.Unresolved},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := &sharedStore{rows: memory.New(), running: time.Now()}
			late := 4 * time.Second
			adjust := func(s *settings.Settings) { s.Kept.LateWrites = late }
			n, path := startCuttable(t, store, adjust)
			other, _ := startCuttable(t, store, adjust)
			time.Sleep(late)
			for _, others := range test.lists {
				entries := []fleet.Entry{{Address: ident.Address(n.Address())}}
				for range others {
					entries = append(entries, fleet.Entry{Address: ident.Address(other.Address())})
				}
				n.SetEntries(entries)
			}
			path.cut.Store(true)
			a, err := handIn(n, refusedJob, 10*time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, a.State, qt.Equals, test.want, qt.Commentf("%+v", a))
		})
	}
}

// stateWithin asks an entry for the state of a job.
func stateWithin(n *node.Node, id job.ID, within time.Duration) (verdict.State, error) {
	ctx, done := context.WithTimeout(context.Background(), within)
	defer done()
	return n.State(ctx, id)
}

// TestStateOfUnsettledJob guards against a job that is said not to exist, by its entry or another one, while a write of that entry, which has
// lost its lease, may still store it.
func TestStateOfUnsettledJob(t *testing.T) {
	c := refusals{t: t}
	c.start()
	c.handInUnanswered(c.first, c.firstPath)
	time.Sleep(1500 * time.Millisecond) // the lease ends
	for i, n := range []*node.Node{c.first, c.second} {
		t.Run(fmt.Sprintf("entry %d", i), func(t *testing.T) {
			c.firstPath.cut.Store(i != 0) // the first entry needs the store for its answer
			state, err := stateWithin(n, refusedJob, time.Second)
			qt.Check(t, err != nil || state == verdict.Pending, qt.IsTrue, qt.Commentf("%q, %v", state, err))
		})
	}
}
