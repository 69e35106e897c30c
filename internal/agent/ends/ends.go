// Package ends keeps an agent's account of the ends that its upstream lists, and of how far the upstream may forget them.
//
// The end of a run of a kept job is remembered by the upstream until the job's entry has stored it: it is the witness
// that the task must not run again. The upstream forgets ends up to a number, so one that is withheld withholds all
// later ones.
package ends

import (
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// ListLimit is how many ends an upstream lists at once. Those beyond are listed only once earlier ones are forgotten.
const ListLimit = 500

const (
	// crowded is from how many remembered ends on the oldest withheld ones are made void: four fifths of the limit, which
	// leaves two seconds of a busy upstream's ends for the lease to lapse.
	voidThreshold = 400
	// crowdedAge is how old an end must be for that: while the store answers, ends are stored sooner.
	voidMinAge = 3 * time.Second
)

// tellEvery is the pause after which an end that nobody has noted is told again: ends are stored within 0.5 s unless the
// store is away.
const resendInterval = 2 * time.Second

// Withheld is an end that the upstream must not forget yet.
type Withheld struct {
	End   fleet.End
	Owner ident.Incarnation

	number uint64
	since  time.Time
	// toldAt is when the end was told last, tellings how often it was told again.
	sentAt  time.Time
	resends int
	// void: the task has been placed again, so the end must count for nothing: the lease has to lapse before the
	// upstream may forget it.
	void bool
}

// Account is that of one life of an upstream.
type Tracker struct {
	// taken is the highest number of an end that was taken in.
	lastRecorded uint64
	// withheld are in the order of their numbers.
	withheld []*Withheld
}

// Take notes a listed end, and tells whether it is new.
func (a *Tracker) Record(f call.Finished) bool {
	if f.Number <= a.lastRecorded {
		return false
	}
	a.lastRecorded = f.Number
	return true
}

// Void makes the end count for nothing.
func (w *Withheld) Void() { w.void = true }

// Withhold keeps the end that was taken last from being forgotten.
func (a *Tracker) Withhold(now time.Time, owner ident.Incarnation, e fleet.End) *Withheld {
	w := &Withheld{End: e, Owner: owner, number: a.lastRecorded, since: now, sentAt: now}
	a.withheld = append(a.withheld, w)
	return w
}

// Seen is the number up to which the upstream may forget ends.
func (a *Tracker) AckedUpTo() uint64 {
	if len(a.withheld) > 0 {
		return a.withheld[0].number - 1
	}
	return a.lastRecorded
}

// Len returns how many ends are withheld.
func (a *Tracker) Len() int { return len(a.withheld) }

// remembered is how many ends the upstream remembers, or will once it has listed them.
func (a *Tracker) remembered() int { return int(a.lastRecorded - a.AckedUpTo()) }

// Full tells whether the ends of runs that are under way might not be listed any more.
func (a *Tracker) Full(runs int) bool { return a.remembered()+runs >= ListLimit }

// Relieve makes old withheld ends void when the upstream remembers too many.
func (a *Tracker) VoidOld(now time.Time) {
	if a.remembered() < voidThreshold {
		return
	}
	for _, w := range a.withheld {
		if now.Sub(w.since) > voidMinAge {
			w.Void()
		}
	}
}

// Note lets ends be forgotten that are stored, or marks them void.
func (a *Tracker) Resolve(runs []fleet.RunRef, void bool) {
	for _, r := range runs {
		i := slices.IndexFunc(a.withheld, func(w *Withheld) bool { return w.End.Task == r.Task && w.End.Run == r.Run })
		switch {
		case i < 0:
		case void:
			a.withheld[i].Void()
		default:
			a.withheld = slices.Delete(a.withheld, i, i+1)
		}
	}
}

// Of lists what is withheld of an entry.
func (a *Tracker) ListOwnedBy(owner ident.Incarnation) []*Withheld {
	return a.filter(func(w *Withheld) bool { return w.Owner == owner && !w.void })
}

// Claim gives the withheld ends of some jobs to the entry that has taken them over, and lists them.
func (a *Tracker) Reassign(jobs map[job.ID]bool, by ident.Incarnation) []*Withheld {
	claimed := a.filter(func(w *Withheld) bool { return jobs[w.End.Task.Job] && !w.void })
	for _, w := range claimed {
		w.Owner = by
	}
	return claimed
}

// Find returns a withheld end of a task that ended well, or nil.
func (a *Tracker) FindDone(t job.TaskID) *Withheld {
	for _, w := range a.withheld {
		if w.End.Task == t && w.End.Outcome == job.Done && !w.void {
			return w
		}
	}
	return nil
}

// Again lists the ends that are to be told again now, each with the entry that is to hear of it: not always the one that
// the run was for, since that may not have the job any more.
func (a *Tracker) DueForResend(now time.Time, entries []ident.Incarnation) (out []*Withheld, to []ident.Incarnation) {
	if len(entries) == 0 {
		return nil, nil
	}
	for _, w := range a.withheld {
		if w.void || now.Sub(w.sentAt) < resendInterval {
			continue
		}
		out, to = append(out, w), append(to, entries[w.resends%len(entries)])
		w.sentAt = now
		w.resends++
	}
	return out, to
}

// AnyVoid tells whether an end waits for the lease to lapse.
func (a *Tracker) HasVoid() bool {
	return slices.ContainsFunc(a.withheld, func(w *Withheld) bool { return w.void })
}

// Lapsed lets void ends be forgotten: the lease has lapsed since they were listed.
func (a *Tracker) DropVoid() {
	a.withheld = slices.DeleteFunc(a.withheld, func(w *Withheld) bool { return w.void })
}

func (a *Tracker) filter(f func(*Withheld) bool) []*Withheld {
	var out []*Withheld
	for _, w := range a.withheld {
		if f(w) {
			out = append(out, w)
		}
	}
	return out
}
