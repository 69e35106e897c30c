package node

import (
	"context"
	"time"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
)

// stateWait is how long a question for a job's state waits for the job's end: a caller that asks in vain comes back a
// quarter of a second later or more.
const maxStateWait = 400 * time.Millisecond

// State returns a job's state; verdict.Unknown when there is no such job. While the job runs, the answer waits a moment
// for its end.
func (n *Node) State(ctx context.Context, id job.ID) (verdict.State, error) {
	ctx, done := n.storeContext(ctx)
	defer done()
	until := boottime.Now().Add(maxStateWait)
	if d, ok := ctx.Deadline(); ok {
		until = earlier(until, boottime.Now().Add(time.Until(d)/2))
	}
	var state verdict.State
	known, watched := false, false
	answer, caller := n.newCaller()
	n.call(func(time.Time) {
		state, known = n.keptJobs.State(id)
		switch {
		case known && state == verdict.Running:
			n.callers[caller] = answer
			watched = n.keptJobs.Watch(id, caller, until)
		case !known && n.table.Held(id):
			state, known = verdict.Running, true
		}
	})
	if watched {
		a, err := n.await(ctx, id, caller, answer)
		state, known = a.State, a.State != verdict.Unresolved
		if err != nil {
			return "", err
		}
	}
	if known {
		return state, nil
	}
	return n.storedState(ctx, id, until)
}

// earlier returns the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stateRetry is the pause between two readings of the state of another entry's job.
const stateRetryPause = 100 * time.Millisecond

// storedState returns the state of a job that this entry does not own, and looks again while it has not ended.
func (n *Node) storedState(ctx context.Context, id job.ID, until time.Time) (verdict.State, error) {
	for {
		state, err := n.reader.State(ctx, id)
		open := state == verdict.Pending || state == verdict.Running
		if err != nil || !open || boottime.Now().Add(stateRetryPause).After(until) {
			return state, err
		}
		select {
		case <-ctx.Done():
			return state, nil // it is what the store said last
		case <-time.After(stateRetryPause):
		}
	}
}

// Cancel ends a job, and returns the state in which it has ended; verdict.Unknown when there is no such job.
func (n *Node) Cancel(ctx context.Context, id job.ID) (verdict.State, error) {
	ctx, done := n.storeContext(ctx)
	defer done()
	found, own := false, false
	answer, caller := n.newCaller()
	n.call(func(now time.Time) {
		if found = n.table.Cancel(now, id); found {
			return
		}
		n.callers[caller] = answer
		if own = n.keptJobs.Cancel(now, id, caller); !own {
			delete(n.callers, caller)
		}
	})
	switch {
	case found:
		return verdict.Cancelled, nil
	case !own:
		return n.reader.Cancel(ctx, id)
	}
	a, err := n.await(ctx, id, caller, answer)
	return a.State, err
}
