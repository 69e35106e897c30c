package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/verdict"
)

// maxStateWait is how long State waits for a running job's end. Without it, a caller that polls would learn of the end a quarter
// of a second later or more, when it asks again.
const maxStateWait = 400 * time.Millisecond

// State returns a job's state, or verdict.Unknown if the job does not exist. If neither this entry nor the store has the job, State asks
// the other entries. It returns an error if one of them may have the job and does not reply. While the job runs, State waits for its end, at
// most maxStateWait and half the time that ctx has left.
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
	state, err := n.storedState(ctx, id, until)
	if err != nil || state != verdict.Unknown {
		return state, err
	}
	return n.stateElsewhere(ctx, id)
}

// stateElsewhere returns the state of a job that neither this entry nor the store had.
func (n *Node) stateElsewhere(ctx context.Context, id job.ID) (verdict.State, error) {
	q := fleet.JobQuery{Job: id}
	own, err := n.ownState(id)
	if err != nil || q.SettledBy(own) {
		return own.State, err
	}
	state, err := n.askOthers(ctx, q)
	if err != nil || state != verdict.Unknown {
		return state, err
	}
	// A job to be kept may have been stored since by an entry that has ended or lost its lease.
	state, err = n.reader.State(ctx, id)
	if err == nil && state == verdict.Unknown && !own.CanTell() {
		return "", errors.Errorf("entry: a write of job %s has no answer yet", id)
	}
	return state, err
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stateRetryPause is the pause between two reads of the state of another entry's job.
const stateRetryPause = 100 * time.Millisecond

// storedState reads the state of a job that this entry does not own. It reads again until the job has ended, or until the next
// read would start after the time until.
func (n *Node) storedState(ctx context.Context, id job.ID, until time.Time) (verdict.State, error) {
	for {
		state, err := n.reader.State(ctx, id)
		open := state == verdict.Pending || state == verdict.Running
		if err != nil || !open || boottime.Now().Add(stateRetryPause).After(until) {
			return state, err
		}
		select {
		case <-ctx.Done():
			return state, nil // the store's last answer
		case <-time.After(stateRetryPause):
		}
	}
}
