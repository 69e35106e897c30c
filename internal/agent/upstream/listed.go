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
func (k *Controller) applyListing(now time.Time, c call.Hold, h call.HoldResult) (news bool) {
	if k.failedHolds > 0 || !k.runsKnown {
		k.markAllDirty()
	}
	k.failedHolds = 0
	if c.Sent.After(k.answeredHoldSentAt) {
		k.answeredHoldSentAt = c.Sent
	}
	if !k.runsKnown {
		k.inspectFirstListing(h)
		if k.sharedID {
			k.lease.AssumeForeignExtension(now) // from this answer on, calls to the former life are refused
		}
	}
	news = k.applyEnds(now, h.Finished)
	if h.Clock < k.listedClock {
		// A newer answer has come before this one, and what it lists as running may have ended.
		k.observer.ListingOvertaken()
		return news
	}
	if len(h.Finished) >= ends.ListLimit {
		// Ends may be missing.
		return news
	}
	k.listedClock = h.Clock
	k.applyRunning(now, c, h.Running)
	k.runsKnown = true
	k.sendProgress(now)
	return news
}

// takeEnds takes in the listed ends, and tells whether one is new.
func (k *Controller) applyEnds(now time.Time, finished []call.Finished) (news bool) {
	for _, f := range finished {
		if k.ends.Record(f) {
			news = true
			k.handleEnd(now, f)
		}
	}
	return news
}

// takeRunning takes in what the upstream lists as running, and what it does not.
func (k *Controller) applyRunning(now time.Time, c call.Hold, running []call.Running) {
	listed := make(map[job.TaskID]call.Running, len(running))
	for _, l := range running {
		listed[l.Task] = l
		k.handleListedRun(now, c, l)
	}
	isListed := func(r fleet.RunRef) bool {
		l, ok := listed[r.Task]
		return ok && l.Run == r.Run
	}
	for _, r := range k.sortedRuns() {
		if !isListed(r.ref()) && r.phase != starting && c.Sent.After(r.provableFrom) {
			k.finishAbsent(now, r)
		}
	}
	for key, at := range k.strays {
		if !isListed(key) && !at.IsZero() && c.Sent.After(at) {
			k.forgetStray(key)
			k.markAllDirty()
		}
	}
}

// first takes in what an earlier agent has left at the upstream. Ends of kept jobs may be among it, which their entries
// have not stored; once the earlier agent's lease has lapsed, they count for nothing, and the upstream may forget them.
func (k *Controller) inspectFirstListing(h call.HoldResult) {
	last := len(h.Finished) - 1
	lapsed := len(h.Running) == 0 && (last < 0 || h.Finished[last].Result == call.ResultLapsed)
	if !lapsed && !k.without.Has(rule.AckAfterLapse) {
		longest := k.timing.Lease
		if k.life.Born != 0 {
			longest = time.Duration(lease.MaxLength) // the earlier agent may have extended it by the clock of a former life
		}
		k.noAckUntil = k.start.Add(fleet.LeaseBound(longest) + lease.KillMargin)
	}
}

// ended handles one listed end.
func (k *Controller) handleEnd(now time.Time, f call.Finished) {
	key := fleet.RunRef{Task: f.Task, Run: f.Run}
	k.forgetStray(key)
	if k.finishedUnlisted[key] {
		delete(k.finishedUnlisted, key)
		k.withholdLateEnd(now, f)
		return
	}
	r := k.runs[f.Task]
	if r == nil || r.number != f.Run {
		return
	}
	defer delete(k.finishedUnlisted, key) // its end is listed
	switch f.Result {
	case call.ResultDone:
		k.finish(now, r, job.Done, "", f.Checkpoint)
	case call.ResultFailed:
		k.finish(now, r, job.Failed, "", f.Checkpoint)
	case call.ResultStopped:
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
func (k *Controller) finishAbsent(now time.Time, r *run) {
	switch {
	case r.stop != nil:
		k.finish(now, r, r.stop.outcome, r.stop.reason, "")
	case r.fromFormerLife:
		k.finish(now, r, job.Lost, fleet.UpstreamGone, "")
	case r.phase == unsure:
		k.finish(now, r, job.NotStarted, fleet.NeverArrived, "")
	default:
		k.finish(now, r, job.Lost, fleet.NotListed, "")
	}
}

// progress handles one run that the upstream lists as running.
func (k *Controller) handleListedRun(now time.Time, c call.Hold, l call.Running) {
	r := k.runs[l.Task]
	if r == nil || r.number != l.Run {
		k.stopStray(now, l)
		return
	}
	r.listed, r.fromFormerLife = true, false
	if r.phase != running && (r.phase == unsure || c.Sent.After(r.startedAt)) {
		r.phase, r.provableFrom = running, now
	}
	if l.Percent > r.percent {
		k.recordProgress(now, r, l.Percent)
	}
	if r.stop == nil && stalled(now, r) {
		k.stopRun(now, r, stopState{outcome: job.Stalled, reason: fleet.NoProgress, cause: NoProgress})
	}
}

// stalled tells whether a run has made no progress for too long.
func stalled(now time.Time, r *run) bool {
	return r.phase == running && r.percent < 100 && health.IsStalled(now.Sub(r.progressAt), r.estimate)
}

// advance notes that a run has got on.
func (k *Controller) recordProgress(now time.Time, r *run, percent int) {
	k.health.RecordProgress(now.Sub(r.progressAt), r.estimate*time.Duration(percent-r.percent)/100)
	r.percent, r.progressAt = percent, now
}

// slowEvery is the pause between two tellings of how runs on a slow upstream get on.
const progressInterval = 50 * time.Millisecond

// tellSlow tells entries how long their runs will still take, while the upstream is slow beside others.
func (k *Controller) sendProgress(now time.Time) {
	if !k.health.IsSlow(k.medianPace) || now.Sub(k.progressSentAt) < progressInterval {
		return
	}
	k.progressSentAt = now
	byOwner := make(map[ident.Incarnation][]fleet.Progress)
	for _, r := range k.sortedRuns() {
		if r.phase != running || r.stop != nil {
			continue
		}
		left := time.Duration(float64(r.estimate) * float64(100-r.percent) / 100 * k.health.Pace())
		byOwner[r.owner] = append(byOwner[r.owner], fleet.Progress{OrderedRun: r.ordered(), Left: left})
	}
	for _, s := range k.sessionOrder {
		if runs := byOwner[s.entry]; s.linked && len(runs) > 0 {
			k.entries.Progress(s.entry, runs)
		}
	}
}

// stray stops a run that nobody here has ordered: one of an earlier agent, or a start that came late.
func (k *Controller) stopStray(now time.Time, l call.Running) {
	key := fleet.RunRef{Task: l.Task, Run: l.Run}
	at, known := k.strays[key]
	switch {
	case !known:
		k.observer.StrayChanged(key, StrayFound)
	case at.IsZero() || now.Sub(at) < stopRetry:
		return
	}
	k.strays[key] = time.Time{}
	k.caller.Stop(call.Stop{Header: k.header(now), Task: l.Task, Run: l.Run})
	k.markAllDirty()
}

// strayGone forgets a stray, if the run is one.
func (k *Controller) forgetStray(key fleet.RunRef) {
	if _, ok := k.strays[key]; !ok {
		return
	}
	delete(k.strays, key)
	k.observer.StrayChanged(key, StrayGone)
}

// strayKeys lists the strays in a fixed order.
func (k *Controller) strayKeys() []fleet.RunRef {
	return slices.SortedFunc(maps.Keys(k.strays), func(a, b fleet.RunRef) int {
		return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Run, b.Run))
	})
}
