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
	Begun time.Duration
	// Stop is nil for a run that was not asked to stop.
	Stop *Stop
	// Next is the entry that has ordered the task anew meanwhile; zero is none.
	Next ident.Incarnation
	// Unheard: its owner is not linked, and hears of the end when it is back, if at all.
	Unheard bool
}

// Stop is how a run was stopped.
type Stop struct {
	Cause StopCause
	// Asked is how long ago the upstream was first to stop the run, Answered how long ago it first said that it would.
	Asked, Answered time.Duration
	// Acked is false if the upstream has never answered; Answered is nothing then.
	Acked bool
	// Unwanted: the job's caller may have sent it elsewhere, so that the run has to end within Timing.StoppedWithin. Pressing is for how
	// long that was so.
	Unwanted bool
	Pressing time.Duration
}

// ending describes the end of a run.
func (k *Keeper) ending(now time.Time, r *run, e fleet.End) Ending {
	owner := k.sessions[r.owner]
	out := Ending{End: e, Owner: r.owner, Begun: now.Sub(r.begun), Unheard: owner == nil || !owner.linked}
	if r.next != nil {
		out.Next = r.next.owner
	}
	if s := r.stop; s != nil {
		out.Stop = s.told(now)
	}
	return out
}

// told describes a stop at the end of its run.
func (s *stopping) told(now time.Time) *Stop {
	out := &Stop{Cause: s.cause, Asked: now.Sub(s.asked), Acked: !s.acked.IsZero(), Unwanted: s.unwanted}
	if out.Acked {
		out.Answered = now.Sub(s.acked)
	}
	if out.Unwanted {
		out.Pressing = now.Sub(s.since)
	}
	return out
}
