// Package ends tracks the ends that an agent's upstream lists, and up to which number the upstream may forget them.
//
// The upstream remembers the end of a kept job's run until the job's entry has stored it: the remembered end is the evidence that the
// task must not run again. The upstream forgets all ends up to a number, so while one end must not be forgotten, all later ends
// are remembered too.
package ends

import (
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// ListLimit is how many ends an upstream lists at once. Further ends are listed only once earlier ones are forgotten.
const ListLimit = 500

const (
	// voidThreshold is the number of remembered ends from which on the oldest withheld ends are made void. It is four fifths of
	// ListLimit: the rest holds two seconds of a busy upstream's ends, in which the lease can lapse.
	voidThreshold = 400
	// voidMinAge is the least age of an end that is made void for that reason: while the store answers, ends are stored sooner.
	voidMinAge = 3 * time.Second
)

// resendInterval is the pause after which an end that no entry has resolved is sent again. Ends are stored within 0.5 s unless the store
// is unavailable.
const resendInterval = 2 * time.Second

// Withheld is an end that the upstream must not forget yet.
type Withheld struct {
	End   fleet.End
	Owner ident.Incarnation

	number uint64
	since  time.Time
	// sentAt is when the end was last sent, resends how often it was sent again.
	sentAt  time.Time
	resends int
	// void: the task has been placed again, so that the end must count for nothing. The lease has to lapse before the upstream may forget
	// the end.
	void bool
}

// Tracker tracks the ends of one life of an upstream. The zero Tracker is ready for use.
type Tracker struct {
	// lastRecorded is the highest number of an end that was recorded.
	lastRecorded uint64
	// withheld is sorted by the numbers of the ends.
	withheld []*Withheld
}

// Record records a listed end, and reports whether it is new.
func (t *Tracker) Record(f call.Finished) bool {
	if f.Number <= t.lastRecorded {
		return false
	}
	t.lastRecorded = f.Number
	return true
}

// Void makes the end count for nothing.
func (w *Withheld) Void() { w.void = true }

// Withhold keeps the end that was recorded last from being forgotten.
func (t *Tracker) Withhold(now time.Time, owner ident.Incarnation, e fleet.End) *Withheld {
	w := &Withheld{End: e, Owner: owner, number: t.lastRecorded, since: now, sentAt: now}
	t.withheld = append(t.withheld, w)
	return w
}

// AckedUpTo returns the number up to which the upstream may forget ends.
func (t *Tracker) AckedUpTo() uint64 {
	if len(t.withheld) > 0 {
		return t.withheld[0].number - 1
	}
	return t.lastRecorded
}

// Len returns how many ends are withheld.
func (t *Tracker) Len() int { return len(t.withheld) }

// remembered returns how many of the recorded ends the upstream still remembers.
func (t *Tracker) remembered() int { return int(t.lastRecorded - t.AckedUpTo()) }

// Full reports whether the ends of the given number of present runs might not fit into the list any more.
func (t *Tracker) Full(runs int) bool { return t.remembered()+runs >= ListLimit }

// VoidOld makes old withheld ends void if the upstream remembers too many.
func (t *Tracker) VoidOld(now time.Time) {
	if t.remembered() < voidThreshold {
		return
	}
	for _, w := range t.withheld {
		if now.Sub(w.since) > voidMinAge {
			w.Void()
		}
	}
}

// Resolve removes ends that are stored, so that they may be forgotten, or makes them void.
func (t *Tracker) Resolve(runs []fleet.RunRef, void bool) {
	for _, r := range runs {
		i := slices.IndexFunc(t.withheld, func(w *Withheld) bool { return w.End.Task == r.Task && w.End.Run == r.Run })
		switch {
		case i < 0:
		case void:
			t.withheld[i].Void()
		default:
			t.withheld = slices.Delete(t.withheld, i, i+1)
		}
	}
}

// ListOwnedBy returns the withheld ends of an entry that are not void.
func (t *Tracker) ListOwnedBy(owner ident.Incarnation) []*Withheld {
	return t.filter(func(w *Withheld) bool { return w.Owner == owner && !w.void })
}

// Reassign gives the withheld ends of some jobs to the entry that has taken the jobs over, and returns them.
func (t *Tracker) Reassign(jobs map[job.ID]bool, by ident.Incarnation) []*Withheld {
	claimed := t.filter(func(w *Withheld) bool { return jobs[w.End.Task.Job] && !w.void })
	for _, w := range claimed {
		w.Owner = by
	}
	return claimed
}

// FindDone returns the withheld end of a task that ended well, or nil.
func (t *Tracker) FindDone(task job.TaskID) *Withheld {
	for _, w := range t.withheld {
		if w.End.Task == task && w.End.Outcome == job.Done && !w.void {
			return w
		}
	}
	return nil
}

// DueForResend returns the ends that are to be sent again now, each with the entry to send it to. That is not always the entry that
// ordered the run, since another entry may have the job by now.
func (t *Tracker) DueForResend(now time.Time, entries []ident.Incarnation) (out []*Withheld, to []ident.Incarnation) {
	if len(entries) == 0 {
		return nil, nil
	}
	for _, w := range t.withheld {
		if w.void || now.Sub(w.sentAt) < resendInterval {
			continue
		}
		out, to = append(out, w), append(to, entries[w.resends%len(entries)])
		w.sentAt = now
		w.resends++
	}
	return out, to
}

// HasVoid reports whether an end waits for the lease to lapse.
func (t *Tracker) HasVoid() bool {
	return slices.ContainsFunc(t.withheld, func(w *Withheld) bool { return w.void })
}

// DropVoid removes the void ends, so that they may be forgotten. The lease must have lapsed since they were listed.
func (t *Tracker) DropVoid() {
	t.withheld = slices.DeleteFunc(t.withheld, func(w *Withheld) bool { return w.void })
}

func (t *Tracker) filter(f func(*Withheld) bool) []*Withheld {
	var out []*Withheld
	for _, w := range t.withheld {
		if f(w) {
			out = append(out, w)
		}
	}
	return out
}
