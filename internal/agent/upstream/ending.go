package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// StopCause says what a run is stopped for. For the runs of a lost entry it is what told of the loss, as in Orphaned.
type StopCause string

// The causes that are no entry's word and no loss of one.
const (
	// SentAgain: another entry has ordered the same task, so its caller has gone there.
	SentAgain StopCause = "sent_again"
	// TakenOver: another entry has taken the kept job over.
	TakenOver StopCause = "taken_over"
	// NoProgress: the run stands still.
	NoProgress StopCause = "no_progress"
)

// Ending is the end of a run as observers hear of it. Its times are counted back from the moment at which the end was certain.
type Ending struct {
	fleet.End
	// Owner is the entry that had ordered the run.
	Owner ident.Incarnation
	// Begun is how long ago the run was, or may have been, started.
	StartedAgo time.Duration
	// Stop is nil for a run that was not asked to stop.
	Stop *Stop
	// Next is the entry that has ordered the task anew meanwhile; zero is none.
	Successor ident.Incarnation
	// Unheard: its owner is not linked, and hears of the end when it is back, if at all.
	OwnerUnlinked bool
}

// Stop is how a run was stopped.
type Stop struct {
	Cause StopCause
	// Asked is how long ago the upstream was first to stop the run, Answered how long ago it first said that it would.
	AskedAgo, AnsweredAgo time.Duration
	// Acked is false if the upstream has never answered; Answered is nothing then.
	IsAnswered bool
	// Unwanted: the job's caller may have sent it elsewhere, so that the run has to end within Timing.StoppedWithin. Pressing is for how
	// long that was so.
	Unwanted    bool
	UnwantedFor time.Duration
}

// ending describes the end of a run.
func (k *Controller) ending(now time.Time, r *run, e fleet.End) Ending {
	owner := k.sessions[r.owner]
	out := Ending{End: e, Owner: r.owner, StartedAgo: now.Sub(r.startedAt), OwnerUnlinked: owner == nil || !owner.linked}
	if r.successor != nil {
		out.Successor = r.successor.owner
	}
	if s := r.stop; s != nil {
		out.Stop = s.summary(now)
	}
	return out
}

// told describes a stop at the end of its run.
func (s *stopState) summary(now time.Time) *Stop {
	out := &Stop{Cause: s.cause, AskedAgo: now.Sub(s.askedAt), IsAnswered: !s.ackedAt.IsZero(), Unwanted: s.unwanted}
	if out.IsAnswered {
		out.AnsweredAgo = now.Sub(s.ackedAt)
	}
	if out.Unwanted {
		out.UnwantedFor = now.Sub(s.urgentSince)
	}
	return out
}
