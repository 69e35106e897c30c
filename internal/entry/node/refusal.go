package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// refusalWait bounds the wait for the replies of the other entries before a job is refused. The caller is to be answered at once, and the
// entries need some milliseconds.
const refusalWait = 200 * time.Millisecond

// maxRefusalQueries bounds the queries to other entries about jobs that are to be refused, per second, and refusalQueryBurst those at once.
const (
	maxRefusalQueries = 5000
	refusalQueryBurst = 1000
)

// unsureAnswer is the answer to a job that this entry can't accept and that an earlier request may have stored, or may still store.
var unsureAnswer = dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable}

// doubt is why a job that is to be refused may exist, or may still be stored. It is empty if neither can be.
type doubt string

// The doubts.
const (
	// startedLately: an earlier process at this address may have left a write under way.
	startedLately doubt = "started_lately"
	// entriesUnknown: the list of entries was never read, or an entry that has left it may have left a write under way.
	entriesUnknown doubt = "entries_unknown"
	// tooManyQueries: the other entries are not asked, since that would load them too much.
	tooManyQueries doubt = "too_many_queries"
	// entryUnsure: another entry does not reply, or can't tell.
	entryUnsure doubt = "entry_unsure"
	// entryHasJob: another entry has the job.
	entryHasJob doubt = "entry_has_job"
)

// confirmRefusal returns the answer to a kept job that this entry can't store now. A refusal says that the job will never run, so it is given
// only if no other entry has the job from an earlier request, and no write of an earlier request can be under way. The store can't be asked:
// it is the store that is out of reach.
func (n *Node) confirmRefusal(ctx context.Context, r dispatch.Request, refusal dispatch.Answer) dispatch.Answer {
	why := n.doubtOf(ctx, r)
	if why == "" {
		return refusal
	}
	n.log.WithFields(logrus.Fields{"job": r.Job, "request": r.RequestID, "why": why}).Info("refusal_not_sure")
	return unsureAnswer
}

// doubtOf returns why a job may exist or may still be stored, or an empty doubt if neither can be.
func (n *Node) doubtOf(ctx context.Context, r dispatch.Request) doubt {
	now := boottime.Now()
	if !n.hasOutlivedWrites(now) {
		return startedLately
	}
	others, complete := n.listedOthers(now)
	switch {
	case !complete:
		return entriesUnknown
	case !n.refusalQueries.AllowN(time.Now(), len(others)):
		return tooManyQueries
	}
	ctx, cancel := context.WithTimeout(ctx, refusalWait)
	defer cancel()
	out := n.peerClient.Ask(ctx, others, fleet.JobQuery{Job: r.Job, Refusing: true})
	switch {
	case len(out.Silent) > 0:
		return entryUnsure
	case out.State != verdict.Unknown:
		return entryHasJob
	}
	return ""
}

// hasOutlivedWrites reports whether this process has run for so long that no write of an earlier one at its address can be under way.
func (n *Node) hasOutlivedWrites(now time.Time) bool {
	return now.Sub(n.started) >= n.set.Kept.LateWrites
}

// listedOthers returns the addresses of the other entries, without a call of the store. complete is false if the list was never read, or if
// an entry that has left it may have left a write under way.
func (n *Node) listedOthers(now time.Time) (others []ident.Address, complete bool) {
	n.call(func(time.Time) {
		complete = len(n.peers) > 0 && (n.peerGoneAt.IsZero() || now.Sub(n.peerGoneAt) >= n.set.Kept.LateWrites)
		for _, e := range n.peers {
			if e.Address != n.set.Node.AdvertisedLink() {
				others = append(others, e.Address)
			}
		}
	})
	return others, complete
}
