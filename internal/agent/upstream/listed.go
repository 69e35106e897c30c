package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/ends"
	"hillreel/internal/agent/lease"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// applyListing applies the answer to a hold or a poll: what has ended and what runs. It reports whether the answer lists a new end.
func (u *Controller) applyListing(now time.Time, c call.Hold, h call.HoldResult) (hasNewEnd bool) {
	if u.failedHolds > 0 || !u.runsKnown {
		u.markAllDirty()
	}
	u.failedHolds = 0
	if c.Sent.After(u.answeredHoldSentAt) {
		u.answeredHoldSentAt = c.Sent
	}
	if !u.runsKnown {
		u.inspectFirstListing(h)
		if u.sharedID {
			u.lease.AssumeForeignExtension(now) // calls to the former life are refused from this answer on
		}
	}
	hasNewEnd = u.applyEnds(now, h.Finished)
	if h.Clock < u.listedClock {
		// A newer answer has come first. Runs that this one lists may have ended since.
		u.observer.ListingOvertaken()
		return hasNewEnd
	}
	if len(h.Finished) >= ends.ListLimit {
		// The list is full, so that ends may be missing from it.
		return hasNewEnd
	}
	u.listedClock = h.Clock
	u.applyRunning(now, c, h)
	u.runsKnown = true
	u.sendProgress(now)
	return hasNewEnd
}

// applyEnds applies the listed ends, and reports whether one of them is new.
func (u *Controller) applyEnds(now time.Time, finished []call.Finished) (hasNewEnd bool) {
	for _, f := range finished {
		if u.ends.Record(f) {
			hasNewEnd = true
			u.handleEnd(now, f)
		}
	}
	return hasNewEnd
}

// applyRunning applies the list of what runs: to the listed runs, and to the known runs that are missing from it, unless it is partial.
func (u *Controller) applyRunning(now time.Time, c call.Hold, h call.HoldResult) {
	listed := make(map[job.TaskID]call.Running, len(h.Running))
	for _, l := range h.Running {
		listed[l.Task] = l
		u.handleListedRun(now, c, l)
	}
	if h.Partial {
		return
	}
	isListed := func(r fleet.RunRef) bool {
		l, ok := listed[r.Task]
		return ok && l.Run == r.Run
	}
	for _, r := range u.sortedRuns() {
		if !isListed(r.ref()) && r.phase != starting && c.Sent.After(r.provableFrom) {
			u.finishAbsent(now, r)
		}
	}
	for key, at := range u.strays {
		if !isListed(key) && !at.IsZero() && c.Sent.After(at) {
			u.forgetStray(key)
			u.markAllDirty()
		}
	}
}

// inspectFirstListing checks whether an earlier incarnation of the agent has left runs or ends at the upstream, and if so sets
// noAckUntil. Among the ends may be some of kept jobs that their entries have not stored. Once the lease of the earlier incarnation has
// lapsed, these ends count for nothing, and the upstream may forget them.
func (u *Controller) inspectFirstListing(h call.HoldResult) {
	last := len(h.Finished) - 1
	lapsed := len(h.Running) == 0 && (last < 0 || h.Finished[last].Result == call.ResultLapsed)
	if !lapsed && !u.without.Has(rule.AckAfterLapse) {
		longest := u.timing.Lease
		if u.life.Born != 0 {
			longest = time.Duration(lease.MaxLength) // the earlier incarnation may have extended the lease by the clock of a former life
		}
		u.noAckUntil = u.start.Add(fleet.LeaseBound(longest) + lease.KillMargin)
	}
}

// handleEnd handles one listed end.
func (u *Controller) handleEnd(now time.Time, f call.Finished) {
	key := fleet.RunRef{Task: f.Task, Run: f.Run}
	u.forgetStray(key)
	if u.finishedUnlisted[key] {
		delete(u.finishedUnlisted, key)
		u.withholdLateEnd(now, f)
		return
	}
	r := u.runs[f.Task]
	if r == nil || r.number != f.Run {
		return
	}
	defer delete(u.finishedUnlisted, key) // finish adds the run, but its end is listed
	switch f.Result {
	case call.ResultDone:
		u.finish(now, r, job.Done, "", f.Checkpoint)
	case call.ResultFailed:
		u.finish(now, r, job.Failed, "", f.Checkpoint)
	case call.ResultStopped:
		if r.stop != nil {
			u.finish(now, r, r.stop.outcome, r.stop.reason, f.Checkpoint)
			return
		}
		u.finish(now, r, job.Lost, fleet.OnRequest, f.Checkpoint)
	default:
		u.finish(now, r, job.Lost, fleet.LeaseLapsed, f.Checkpoint)
	}
}

// finishAbsent finishes a run that is certainly not at the upstream, though no end was listed.
func (u *Controller) finishAbsent(now time.Time, r *run) {
	switch {
	case r.stop != nil:
		u.finish(now, r, r.stop.outcome, r.stop.reason, "")
	case r.fromFormerLife:
		u.finish(now, r, job.Lost, fleet.UpstreamGone, "")
	case r.phase == unsure:
		u.finish(now, r, job.NotStarted, fleet.NeverArrived, "")
	default:
		u.finish(now, r, job.Lost, fleet.NotListed, "")
	}
}

// handleListedRun handles one run that the upstream lists as running.
func (u *Controller) handleListedRun(now time.Time, c call.Hold, l call.Running) {
	r := u.runs[l.Task]
	if r == nil || r.number != l.Run {
		u.stopStray(now, l)
		return
	}
	r.listed, r.fromFormerLife = true, false
	if r.phase != running && (r.phase == unsure || c.Sent.After(r.startedAt)) {
		r.phase, r.provableFrom = running, now
		r.beginProgress(now, u.restoreTime)
	}
	switch {
	case r.restoring:
		r.followRestoring(now, l.Percent)
	case l.Percent > r.percent:
		u.recordProgress(now, r, l.Percent)
	}
	if r.stop == nil && r.isStalled(now) {
		u.stopRun(now, r, stopState{outcome: job.Stalled, reason: fleet.NoProgress, cause: NoProgress})
	}
}

// stopStray stops a stray: a run that the agent has no record of. An earlier incarnation of the agent has started it, or
// its start call arrived late.
func (u *Controller) stopStray(now time.Time, l call.Running) {
	key := fleet.RunRef{Task: l.Task, Run: l.Run}
	at, known := u.strays[key]
	switch {
	case !known:
		u.observer.StrayChanged(key, StrayFound)
	case at.IsZero() || now.Sub(at) < stopRetry:
		return
	}
	u.strays[key] = time.Time{}
	u.caller.Stop(call.Stop{Header: u.header(now), Task: l.Task, Run: l.Run})
	u.markAllDirty()
}

// forgetStray removes a run from the strays, if it is one.
func (u *Controller) forgetStray(key fleet.RunRef) {
	if _, ok := u.strays[key]; !ok {
		return
	}
	delete(u.strays, key)
	u.observer.StrayChanged(key, StrayGone)
}

// strayKeys returns the strays in a fixed order.
func (u *Controller) strayKeys() []fleet.RunRef {
	return slices.SortedFunc(maps.Keys(u.strays), func(a, b fleet.RunRef) int {
		return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Run, b.Run))
	})
}
