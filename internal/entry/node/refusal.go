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
// A query takes some 20 us at each of the two entries.
const (
	maxRefusalQueries = 5000
	refusalQueryBurst = 1000
)

// unsureAnswer is the answer to a job that this entry can't accept and that an earlier request may have stored, or may still store.
var unsureAnswer = dispatch.Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Unreachable}

// confirmRefusal returns the answer to a kept job that this entry can't store now. A refusal says that the job will never run, so it is given
// only if no other entry has the job from an earlier request, and no write of an earlier request can be under way. The store can't be asked:
// it is the store that is out of reach.
func (n *Node) confirmRefusal(ctx context.Context, r dispatch.Request, refusal dispatch.Answer) dispatch.Answer {
	why := n.doubt(ctx, r)
	if why == "" {
		return refusal
	}
	n.log.WithFields(logrus.Fields{"job": r.Job, "request": r.RequestID, "why": why}).Info("refusal_not_sure")
	return unsureAnswer
}

// doubt returns why a job may exist or may still be stored, or an empty string if it can't.
func (n *Node) doubt(ctx context.Context, r dispatch.Request) string {
	now := boottime.Now()
	if !n.hasOutlivedWrites(now) {
		return "started lately"
	}
	others, complete := n.listedOthers(now)
	switch {
	case !complete:
		return "entries not known"
	case !n.refusalQueries.AllowN(time.Now(), len(others)):
		return "too many queries"
	}
	ctx, cancel := context.WithTimeout(ctx, refusalWait)
	defer cancel()
	out := n.peerClient.Ask(ctx, others, fleet.JobQuery{Job: r.Job, Refusing: true})
	switch {
	case len(out.Silent) > 0:
		return "an entry can't tell"
	case out.State != verdict.Unknown:
		return "an entry has the job"
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
