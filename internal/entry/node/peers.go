package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/peer"
	"hillreel/internal/link/members"
	"hillreel/internal/link/session"
)

// peerTimeout is the longest wait for the replies of the other entries. An entry that does not reply by then is paused, cut off or without
// power; the caller is told to come back.
const peerTimeout = time.Second

// maxListedSilent bounds the silent entries that a log line names.
const maxListedSilent = 5

// newPeerClient returns the client for queries to other entries.
func newPeerClient(set *settings.Settings, n *Node) *peer.Client {
	return peer.New(peer.Options{
		Dial: session.TCP, Limits: session.Limits{Dial: set.Links.DialTimeout, Handshake: set.Links.LinkTimeout()},
		ReplyTimeout: set.Links.LinkTimeout(), RetryPause: set.Links.RedialEvery, Hello: n.hello, Log: n.log,
	})
}

// askOthers asks all other entries about a job and returns its state, or verdict.Unknown if none of them has it. It returns an error if an
// entry that may have the job does not reply.
func (n *Node) askOthers(ctx context.Context, q fleet.JobQuery) (verdict.State, error) {
	began := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, peerWait(ctx))
	defer cancel()
	others, err := members.Addresses(ctx, n.store)
	if err != nil {
		return "", err
	}
	others = slices.DeleteFunc(others, func(a ident.Address) bool { return a == n.set.Node.AdvertisedLink() })
	out := n.peerClient.Ask(ctx, others, q)
	n.log.WithFields(logrus.Fields{
		"job": q.Job, "cancel": q.Cancel, "entries": len(others), "silent": len(out.Silent), "silent_entries": out.Silent[:min(len(out.Silent), maxListedSilent)],
		"state": out.State, "took_ms": boottime.Since(began).Milliseconds(),
	}).Info("job_asked_elsewhere")
	if len(out.Silent) > 0 {
		return "", errors.Errorf("entry: %d of %d other entries do not reply and may have the job", len(out.Silent), len(others))
	}
	return out.State, nil
}

// peerWait returns how long to wait for other entries: at most peerTimeout and half the time that ctx has left.
func peerWait(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return min(peerTimeout, time.Until(d)/2)
	}
	return peerTimeout
}

// serveEntry replies to the queries of another entry until the session ends.
func (n *Node) serveEntry(s *session.Session) {
	stop := context.AfterFunc(n.ctx, s.Close)
	defer stop()
	err := peer.Serve(s, n.answerQuery)
	n.log.WithFields(logrus.Fields{"entry": s.Remote.GetName(), "error": err}).Debug("peer_session_ended")
}

// answerQuery replies to a query of another entry, from what this entry has alone.
func (n *Node) answerQuery(q fleet.JobQuery) fleet.JobReply {
	ctx, cancel := context.WithTimeout(n.ctx, peerTimeout)
	defer cancel()
	reply, err := n.answerOwn(ctx, q)
	if err != nil {
		n.log.WithFields(logrus.Fields{"job": q.Job, "cancel": q.Cancel, "error": err.Error()}).Info("job_query_unanswered")
		return fleet.JobReply{State: verdict.Unresolved}
	}
	return reply
}

// answerOwn does what a query asks for, as far as this entry has the job.
func (n *Node) answerOwn(ctx context.Context, q fleet.JobQuery) (fleet.JobReply, error) {
	switch {
	case q.Cancelled:
		return n.handleCancelled(q.Job)
	case q.Cancel:
		return n.cancelOwn(ctx, q.Job, true)
	case q.Refusing && !n.hasOutlivedWrites(boottime.Now()):
		return fleet.JobReply{State: verdict.Unresolved}, nil
	}
	return n.ownState(q.Job)
}

// ownState returns the state of a job that this entry has and the store did not have, without waiting for its end. It is
// verdict.Unresolved if a write of this entry may still store the job.
func (n *Node) ownState(id job.ID) (fleet.JobReply, error) {
	var reply fleet.JobReply
	n.call(func(time.Time) {
		reply.State = verdict.Unknown
		state, known := n.keptJobs.State(id)
		switch {
		case known:
			reply.State = state
		case n.keptJobs.IsAccepting(id):
			reply.State = verdict.Pending
		case n.keptJobs.IsUnsettled(id):
			reply.State = verdict.Unresolved
		case n.table.Held(id):
			reply.State = verdict.Running
		}
	})
	if reply.State == "" {
		return reply, errStopped
	}
	return reply, nil
}
