package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/ends"
	"hillreel/internal/agent/health"
	"hillreel/internal/agent/lease"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// held takes in what the upstream lists, and tells whether an end is new.
func (k *Keeper) held(now time.Time, c call.Hold, h call.Held) (news bool) {
	if k.failures > 0 || !k.looked {
		k.touchAll()
	}
	k.failures = 0
	if c.Sent.After(k.answered) {
		k.answered = c.Sent
	}
	if !k.looked {
		k.first(h)
		if k.shared {
			k.lease.Mislead(now) // from this answer on, calls to the former life are refused
		}
	}
	news = k.takeEnds(now, h.Finished)
	if h.Clock < k.listed {
		// A newer answer has come before this one, and what it lists as running may have ended.
		k.observer.Overtaken()
		return news
	}
	if len(h.Finished) >= ends.ListLimit {
		// Ends may be missing.
		return news
	}
	k.listed = h.Clock
	k.takeRunning(now, c, h.Running)
	k.looked = true
	k.tellSlow(now)
	return news
}

// takeEnds takes in the listed ends, and tells whether one is new.
func (k *Keeper) takeEnds(now time.Time, finished []call.Finished) (news bool) {
	for _, f := range finished {
		if k.ends.Take(f) {
			news = true
			k.ended(now, f)
		}
	}
	return news
}

// takeRunning takes in what the upstream lists as running, and what it does not.
func (k *Keeper) takeRunning(now time.Time, c call.Hold, running []call.Listed) {
	listed := make(map[job.TaskID]call.Listed, len(running))
	for _, l := range running {
		listed[l.Task] = l
		k.progress(now, c, l)
	}
	isListed := func(r fleet.RunRef) bool {
		l, ok := listed[r.Task]
		return ok && l.Run == r.Run
	}
	for _, r := range k.sorted() {
		if !isListed(r.ref()) && r.phase != starting && c.Sent.After(r.sure) {
			k.absent(now, r)
		}
	}
	for key, at := range k.strays {
		if !isListed(key) && !at.IsZero() && c.Sent.After(at) {
			k.strayGone(key)
			k.touchAll()
		}
	}
}

// first takes in what an earlier agent has left at the upstream. Ends of kept jobs may be among it, which their entries
// have not stored; once the earlier agent's lease has lapsed, they count for nothing, and the upstream may forget them.
func (k *Keeper) first(h call.Held) {
	last := len(h.Finished) - 1
	lapsed := len(h.Running) == 0 && (last < 0 || h.Finished[last].How == call.HowLapsed)
	if !lapsed && !k.without.Off(rule.AckAfterLapse) {
		longest := k.timing.Lease
		if k.life.Born != 0 {
			longest = time.Duration(lease.Longest) // the earlier agent may have extended it by the clock of a former life
		}
		k.quietUntil = k.start.Add(fleet.LeaseBound(longest) + lease.Margin)
	}
}

// ended handles one listed end.
func (k *Keeper) ended(now time.Time, f call.Finished) {
	key := fleet.RunRef{Task: f.Task, Run: f.Run}
	k.strayGone(key)
	if k.given[key] {
		delete(k.given, key)
		k.endedLate(now, f)
		return
	}
	r := k.runs[f.Task]
	if r == nil || r.number != f.Run {
		return
	}
	defer delete(k.given, key) // its end is listed
	switch f.How {
	case call.HowDone:
		k.finish(now, r, job.Done, "", f.Checkpoint)
	case call.HowFailed:
		k.finish(now, r, job.Failed, "", f.Checkpoint)
	case call.HowStopped:
		if r.stop != nil {
			k.finish(now, r, r.stop.outcome, r.stop.reason, f.Checkpoint)
			return
		}
		k.finish(now, r, job.Lost, fleet.OnRequest, f.Checkpoint)
	default:
		k.finish(now, r, job.Lost, fleet.LeaseLapsed, f.Checkpoint)
	}
}

// absent handles a run that is surely not at the upstream, though no end was listed.
func (k *Keeper) absent(now time.Time, r *run) {
	switch {
	case r.stop != nil:
		k.finish(now, r, r.stop.outcome, r.stop.reason, "")
	case r.carried:
		k.finish(now, r, job.Lost, fleet.UpstreamGone, "")
	case r.phase == unsure:
		k.finish(now, r, job.NotStarted, fleet.NeverArrived, "")
	default:
		k.finish(now, r, job.Lost, fleet.NotListed, "")
	}
}

// progress handles one run that the upstream lists as running.
func (k *Keeper) progress(now time.Time, c call.Hold, l call.Listed) {
	r := k.runs[l.Task]
	if r == nil || r.number != l.Run {
		k.stray(now, l)
		return
	}
	r.listed, r.carried = true, false
	if r.phase != running && (r.phase == unsure || c.Sent.After(r.begun)) {
		r.phase, r.sure = running, now
	}
	if l.Percent > r.percent {
		k.advance(now, r, l.Percent)
	}
	if r.stop == nil && stalled(now, r) {
		k.stopRun(now, r, stopping{outcome: job.Stalled, reason: fleet.NoProgress, cause: NoProgress})
	}
}

// stalled tells whether a run has made no progress for too long.
func stalled(now time.Time, r *run) bool {
	return r.phase == running && r.percent < 100 && health.Stalled(now.Sub(r.advanced), r.estimate)
}

// advance notes that a run has got on.
func (k *Keeper) advance(now time.Time, r *run, percent int) {
	k.health.Progress(now.Sub(r.advanced), r.estimate*time.Duration(percent-r.percent)/100)
	r.percent, r.advanced = percent, now
}

// slowEvery is the pause between two tellings of how runs on a slow upstream get on.
const slowEvery = 50 * time.Millisecond

// tellSlow tells entries how long their runs will still take, while the upstream is slow beside others.
func (k *Keeper) tellSlow(now time.Time) {
	if !k.health.Slow(k.median) || now.Sub(k.slowTold) < slowEvery {
		return
	}
	k.slowTold = now
	byOwner := make(map[ident.Incarnation][]fleet.Progress)
	for _, r := range k.sorted() {
		if r.phase != running || r.stop != nil {
			continue
		}
		left := time.Duration(float64(r.estimate) * float64(100-r.percent) / 100 * k.health.Pace())
		byOwner[r.owner] = append(byOwner[r.owner], fleet.Progress{OrderedRun: r.ordered(), Left: left})
	}
	for _, s := range k.order {
		if runs := byOwner[s.entry]; s.linked && len(runs) > 0 {
			k.entries.Progress(s.entry, runs)
		}
	}
}

// stray stops a run that nobody here has ordered: one of an earlier agent, or a start that came late.
func (k *Keeper) stray(now time.Time, l call.Listed) {
	key := fleet.RunRef{Task: l.Task, Run: l.Run}
	at, known := k.strays[key]
	switch {
	case !known:
		k.observer.Stray(key, StrayFound)
	case at.IsZero() || now.Sub(at) < stopRetry:
		return
	}
	k.strays[key] = time.Time{}
	k.caller.Stop(call.Stop{Header: k.header(now), Task: l.Task, Run: l.Run})
	k.touchAll()
}

// strayGone forgets a stray, if the run is one.
func (k *Keeper) strayGone(key fleet.RunRef) {
	if _, ok := k.strays[key]; !ok {
		return
	}
	delete(k.strays, key)
	k.observer.Stray(key, StrayGone)
}

// strayKeys lists the strays in a fixed order.
func (k *Keeper) strayKeys() []fleet.RunRef {
	return slices.SortedFunc(maps.Keys(k.strays), func(a, b fleet.RunRef) int {
		return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Run, b.Run))
	})
}
