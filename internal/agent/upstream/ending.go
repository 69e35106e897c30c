package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// StopCause says why a run is stopped. For the runs of a lost entry it is the cause that Observer.RunsOrphaned gets.
type StopCause string

// The causes other than the request of an entry or the loss of one.
const (
	// SentAgain: another entry has ordered the same task, so that the caller has sent its job there.
	SentAgain StopCause = "sent_again"
	// TakenOver: another entry has taken over the kept job.
	TakenOver StopCause = "taken_over"
	// NoProgress: the run makes no progress.
	NoProgress StopCause = "no_progress"
)

// Ending is the end of a run as reported to observers. Its durations count back from the moment at which the end was certain.
type Ending struct {
	fleet.End
	// Owner is the entry that ordered the run.
	Owner ident.Incarnation
	// StartedAgo is how long ago the start call was made, whether or not it was carried out.
	StartedAgo time.Duration
	// Percent is the last progress that the upstream has listed, IdleFor the time since it last rose.
	Percent int
	IdleFor time.Duration
	// Estimate is how long the run should take, by its job's caller. StallLimit is how long it may go without progress.
	Estimate, StallLimit time.Duration
	// Resumed: the run was started with a checkpoint.
	Resumed bool
	// Stop is nil if the run was not asked to stop.
	Stop *Stop
	// Successor is the entry that has ordered the task again in the meantime; zero if none has.
	Successor ident.Incarnation
	// OwnerUnlinked: the owner is not linked, and learns of the end only if it links again.
	OwnerUnlinked bool
}

// Stop describes how a run was stopped.
type Stop struct {
	Cause StopCause
	// AskedAgo is how long ago the upstream was first asked to stop the run, AnsweredAgo how long ago it first accepted that.
	AskedAgo, AnsweredAgo time.Duration
	// IsAnswered is false if the upstream has accepted no stop; AnsweredAgo then means nothing.
	IsAnswered bool
	// Unwanted: the caller may have sent the job to another entry, so that the run has to end within Timing.StopBound. UnwantedFor is
	// how long the run has been unwanted.
	Unwanted    bool
	UnwantedFor time.Duration
}

// ending returns the description of a run's end.
func (u *Controller) ending(now time.Time, r *run, e fleet.End) Ending {
	owner := u.sessions[r.owner]
	out := Ending{
		End: e, Owner: r.owner, StartedAgo: now.Sub(r.startedAt), OwnerUnlinked: owner == nil || !owner.linked,
		Percent: r.percent, IdleFor: now.Sub(r.progressAt), Estimate: r.estimate, StallLimit: r.stallLimit(), Resumed: r.checkpoint != "",
	}
	if r.successor != nil {
		out.Successor = r.successor.owner
	}
	if s := r.stop; s != nil {
		out.Stop = s.summary(now)
	}
	return out
}

// summary returns the description of a stop at the end of its run.
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
