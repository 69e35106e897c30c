package node_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
	"hillreel/internal/kept/record"
	"hillreel/internal/standin/memory"
)

// handIn hands a job to be kept in at an entry and returns the answer, or an error if there is none within a time.
func handIn(n *node.Node, id job.ID, within time.Duration) (dispatch.Answer, error) {
	ctx, done := context.WithTimeout(context.Background(), within)
	defer done()
	return n.Submit(ctx, dispatch.Request{
		Job: id, Route: route.Route{Service: "publish", Attempts: 2}, Deadline: boottime.Now().Add(within + time.Second),
		Spec: &job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Each: job.Resources{CPU: 1000}, Estimate: 100 * time.Millisecond}}},
	})
}

// cancelUntilConfirmed cancels a job again and again until the cancellation is confirmed, and returns the state.
func cancelUntilConfirmed(t *testing.T, n *node.Node, id job.ID) verdict.State {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if state, err := n.Cancel(context.Background(), id); err == nil {
			return state
		}
	}
	t.Fatal("the cancellation was not confirmed")
	return ""
}

// settledState asks an entry for the state of a job until no entry may still store the job, and returns the state.
func settledState(t *testing.T, n *node.Node, id job.ID) verdict.State {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if state, err := n.State(context.Background(), id); err == nil {
			return state
		}
	}
	t.Fatal("the state stays unknown")
	return ""
}

// TestLateWriteAfterCancellation guards against a job that is stored after its cancellation was confirmed with "does not exist": the write
// of its first rows got no answer, and is carried out by the store, or repeated by its entry, once that entry has lost its lease or ended.
func TestLateWriteAfterCancellation(t *testing.T) {
	for _, test := range []struct {
		name string
		// then is what becomes of the write's entry before the cancellation. after is what happens once that is confirmed.
		then, after func(path *cuttableStore)
	}{
		{
			"the entry repeats it", func(*cuttableStore) {},
			func(path *cuttableStore) {
				path.cut.Store(false)
				time.Sleep(500 * time.Millisecond)
			},
		},
		{
			"the store carries it out late", func(*cuttableStore) {},
			func(path *cuttableStore) {
				path.carryOutLate()
				path.cut.Store(false)
				time.Sleep(500 * time.Millisecond)
			},
		},
		{
			"the store carries it out after the entry has ended", func(path *cuttableStore) { path.stop() },
			func(path *cuttableStore) { path.carryOutLate() },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := &sharedStore{rows: memory.New(), running: time.Now()}
			first, path := startCuttable(t, store)
			others := startNodes(t, store, 2)
			keepJob(t, first, 6) // it has a lease from then on
			path.cut.Store(true)
			_, err := handIn(first, 7, 300*time.Millisecond)
			qt.Assert(t, err, qt.IsNotNil)
			test.then(path)
			qt.Assert(t, cancelUntilConfirmed(t, others[0], 7), qt.Equals, verdict.Unknown)
			test.after(path)

			set, err := settings.Load("")
			qt.Assert(t, err, qt.IsNil)
			layout := record.Layout{Parts: set.Kept.Parts()}
			store.mu.Lock()
			_, open := store.rows.Rows[layout.OpenKey(7)]
			store.mu.Unlock()
			qt.Check(t, open, qt.IsFalse)
			for _, n := range others {
				qt.Check(t, settledState(t, n, 7), qt.Equals, verdict.Unknown)
				qt.Check(t, cancelUntilConfirmed(t, n, 7), qt.Equals, verdict.Unknown)
			}
		})
	}
}

// TestTombstoneRefusesLateRequest guards against a cancelled job that starts because a request for it comes when the entries no longer
// remember the cancellation. It is refused for good, so 503 is true.
func TestTombstoneRefusesLateRequest(t *testing.T) {
	store := &sharedStore{rows: memory.New(), running: time.Now()}
	n := startNodes(t, store, 1)[0]
	state, err := n.Cancel(context.Background(), 7)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state, qt.Equals, verdict.Unknown)
	later := startNodes(t, store, 1)[0]
	a, err := handIn(later, 7, 10*time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, a.State, qt.Equals, verdict.Refused)
	qt.Check(t, a.Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, a.Reason, qt.Equals, verdict.ByCaller)
	state, err = later.State(context.Background(), 7)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, state, qt.Equals, verdict.Unknown, qt.Commentf("a job that nobody has is not shown"))
}

// TestCancelOfUnknownJobStoreCalls guards against cancellations of unknown jobs that cost ever more store calls: two reads of rows, one of
// the list of entries, and one write; three reads once the tombstone is written.
func TestCancelOfUnknownJobStoreCalls(t *testing.T) {
	store := &sharedStore{rows: memory.New()}
	n := startNodes(t, store, 2)[0]
	time.Sleep(200 * time.Millisecond) // the entries have read the leases, and do so again after ten seconds
	for _, want := range []int{4, 3, 3} {
		before := store.callCount()
		_, err := n.Cancel(context.Background(), 7)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, store.callCount()-before, qt.Equals, want)
	}
}

// TestCancelsOfUnknownJobsAtARate guards against clients that ask for unknown jobs at a high rate and so use up the writes that the store
// accepts from all entries: the tombstones of a part are written together.
func TestCancelsOfUnknownJobsAtARate(t *testing.T) {
	const jobs = 300
	store := &sharedStore{rows: memory.New(), writeTime: 5 * time.Millisecond}
	n := startNodes(t, store, 2)[0]
	time.Sleep(200 * time.Millisecond) // the entries have read the leases
	var wg sync.WaitGroup
	for i := range job.ID(jobs) {
		wg.Go(func() {
			state, err := n.Cancel(context.Background(), 100+i)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, state, qt.Equals, verdict.Unknown)
		})
	}
	wg.Wait()
	store.mu.Lock()
	defer store.mu.Unlock()
	qt.Check(t, store.commits <= jobs/3, qt.IsTrue, qt.Commentf("%d writes", store.commits))
	t.Logf("%d writes", store.commits)
}
