package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/jobstore"
)

// cancelledBefore is the answer to a request for a job that was cancelled a short time ago.
var cancelledBefore = dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.ByCaller}

// Cancel cancels a job and returns the state in which the job has ended, or verdict.Unknown if the job does not exist. If neither this entry
// nor the store has the job, Cancel asks the other entries. It returns an error if one of them may have the job and does not reply.
func (n *Node) Cancel(ctx context.Context, id job.ID) (verdict.State, error) {
	ctx, done := n.storeContext(ctx)
	defer done()
	q := fleet.JobQuery{Job: id, Cancel: true}
	own, err := n.cancelOwn(ctx, id, false)
	if err != nil || q.SettledBy(own) {
		return own.State, err
	}
	state, final, err := n.cancelStored(ctx, id)
	if err != nil || state != verdict.Unknown {
		return state, err
	}
	state, err = n.cancelElsewhere(ctx, q, final)
	if err == nil && state == verdict.Unknown && own.State != verdict.Unknown {
		return own.State, nil
	}
	return state, err
}

// cancelElsewhere cancels a job that the store did not have, at this entry and all others, and then in the store: a write that stores the
// job may still be carried out there, even if its entry has ended or lost its lease. final is true if the store has a tombstone already.
func (n *Node) cancelElsewhere(ctx context.Context, q fleet.JobQuery, final bool) (verdict.State, error) {
	// This entry must not take the job any more once the others are asked.
	own, err := n.cancelOwn(ctx, q.Job, true)
	if err != nil || q.SettledBy(own) {
		return own.State, err
	}
	state, err := n.askOthers(ctx, q)
	if err != nil || state != verdict.Unknown {
		return state, err
	}
	if !final {
		state, err = n.cancelUnstored(ctx, q.Job)
	}
	if err == nil && state == verdict.Unknown {
		return own.State, nil
	}
	return state, err
}

// cancelStored cancels a job in the store and returns the state in which the job has ended, or verdict.Unknown if the store doesn't have it.
// Tasks of the job do not start for longer than Kept.CancelWithin after that. final is true if the store has a tombstone of the job.
func (n *Node) cancelStored(ctx context.Context, id job.ID) (state verdict.State, final bool, err error) {
	c, err := n.reader.Cancel(ctx, id)
	if err != nil || c.Owner.ID == "" {
		return c.State, c.Final, err
	}
	return c.State, c.Final, n.stopOwner(ctx, id, c.Owner)
}

// cancelUnstored stores that a job which the store did not have is cancelled. It returns the state in which the job has ended if it has
// been stored meanwhile, and verdict.Unknown otherwise.
func (n *Node) cancelUnstored(ctx context.Context, id job.ID) (verdict.State, error) {
	stored, err := n.writeTombstone(ctx, id)
	if err != nil || stored {
		return verdict.Unknown, err
	}
	c, err := n.reader.CancelUnstored(ctx, id)
	if err != nil || c.Owner.ID == "" {
		return c.State, err
	}
	return c.State, n.stopOwner(ctx, id, c.Owner)
}

// writeTombstone writes the tombstone of a job, grouped with other writes, and reports whether it is stored. If it is not, the rows of the
// job must be read again.
func (n *Node) writeTombstone(ctx context.Context, id job.ID) (stored bool, err error) {
	answer, caller := n.newCaller()
	started := false
	n.call(func(now time.Time) {
		n.tombstones.Add(now.Add(n.set.Kept.Keep), n.set.Kept.Parts())
		n.callers[caller] = answer
		if started = n.keptJobs.WriteTombstone(now, id, caller); !started {
			delete(n.callers, caller)
		}
	})
	if !started {
		return false, nil
	}
	a, err := n.await(ctx, id, caller, answer)
	return a.State == verdict.Unknown, err
}

const (
	// maxStartDelay is the longest time from an entry's decision to start a task until its upstream starts it.
	maxStartDelay = 500 * time.Millisecond
	// ownerCheckInterval is the pause between two looks at the lease of a cancelled job's owner that has not replied.
	ownerCheckInterval = 250 * time.Millisecond
)

// stopOwner returns once the owner of a job that is cancelled in the store has stopped the job, or can't start tasks of it for longer than
// Kept.CancelWithin: an owner that is cut off from the store does not learn of the cancellation there, and acts until its lease ends.
func (n *Node) stopOwner(ctx context.Context, id job.ID, owner jobstore.OwnerLease) error {
	if owner.Link == n.set.Node.AdvertisedLink() {
		n.loop.Post(jobsCancelled{[]job.ID{id}}) // the owner is this process, or one that has ended
		return nil
	}
	began := boottime.Now()
	why, err := n.awaitOwner(ctx, id, owner)
	f := logrus.Fields{"job": id, "owner": owner.Link, "why": why, "took_ms": boottime.Since(began).Milliseconds()}
	if err != nil {
		f["error"] = err.Error()
	}
	n.log.WithFields(f).Info("job_owner_stopped")
	return err
}

// ownerStop is why the owner of a cancelled job starts no tasks of it for long.
type ownerStop string

// The reasons.
const (
	// ownerTold: it has stopped the job, or has ended.
	ownerTold ownerStop = "told"
	// ownerInTouch: it has renewed its lease since the cancellation, so that it reads the cancellation as well.
	ownerInTouch ownerStop = "in_touch"
	// ownerLeaseEnds: its lease has ended, or ends in time.
	ownerLeaseEnds ownerStop = "lease_ends"
)

// awaitOwner tells an owner of the cancellation, again and again, until one of the reasons holds. It returns an error if ctx ends before.
func (n *Node) awaitOwner(ctx context.Context, id job.ID, owner jobstore.OwnerLease) (ownerStop, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	told := make(chan struct{})
	go n.tellOwner(ctx, id, owner.Link, told)
	check := time.NewTicker(ownerCheckInterval)
	defer check.Stop()
	var seen rows.Version
	for {
		select {
		case <-told:
			return ownerTold, nil
		case <-ctx.Done():
			return "", errors.Wrapf(ctx.Err(), "entry: the owner of job %s does not reply and may start tasks", id)
		case <-check.C:
		}
		now, err := n.reader.Owner(ctx, owner.ID)
		switch {
		case err != nil:
			return "", err
		case now.ID == "", now.Left+maxStartDelay <= n.set.Kept.CancelWithin:
			return ownerLeaseEnds, nil
		case seen != 0 && now.Version != seen:
			return ownerInTouch, nil
		}
		seen = now.Version
	}
}

// tellOwner tells an entry that a job is cancelled in the store until the entry has stopped the job or has ended, and closes told then. It
// gives up when ctx ends.
func (n *Node) tellOwner(ctx context.Context, id job.ID, entry ident.Address, told chan<- struct{}) {
	if entry == "" {
		return // its lease was written by an earlier release, which would not understand the query either
	}
	for {
		reply, err := n.peerClient.Tell(ctx, entry, fleet.JobQuery{Job: id, Cancelled: true})
		if err == nil && (reply.State == verdict.Cancelled || reply.State == verdict.Unknown) {
			close(told)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(ownerCheckInterval):
		}
	}
}

// handleCancelled stops a job that is cancelled in the store.
func (n *Node) handleCancelled(id job.ID) (fleet.JobReply, error) {
	var reply fleet.JobReply
	n.call(func(now time.Time) {
		n.keptJobs.HandleRemoteCancellations(now, []job.ID{id})
		reply.State = verdict.Cancelled
	})
	if reply.State == "" {
		return reply, errStopped
	}
	return reply, nil
}

// cancelOwn ends what this entry has of a job. If remember is set, or if the entry has something of the job, the entry does not take the
// job for a while.
func (n *Node) cancelOwn(ctx context.Context, id job.ID, remember bool) (fleet.JobReply, error) {
	var found dispatch.CancelResult
	kept := false
	answer, caller := n.newCaller()
	n.call(func(now time.Time) {
		found = n.table.Cancel(now, id)
		if remember || found != dispatch.CancelledNothing {
			n.cancels.Add(now, id)
		}
		n.callers[caller] = answer
		if kept = n.keptJobs.Cancel(now, id, caller); !kept {
			delete(n.callers, caller)
		}
	})
	if found == "" {
		return fleet.JobReply{}, errStopped
	}
	if found != dispatch.CancelledNothing || kept {
		n.log.WithFields(logrus.Fields{"job": id, "found": found, "kept": kept}).Info("job_cancelled")
	}
	if kept {
		a, err := n.await(ctx, id, caller, answer)
		return fleet.JobReply{State: a.State}, err
	}
	switch found {
	case dispatch.CancelledJob:
		return fleet.JobReply{State: verdict.Cancelled}, nil
	case dispatch.CancelledPart:
		return fleet.JobReply{State: verdict.Cancelled, Shared: true}, nil
	}
	return fleet.JobReply{State: verdict.Unknown}, nil
}

// errStopped is the error of calls after the node has stopped.
var errStopped = errors.New("entry: stopped")
