package upstream

import (
	"time"

	"hillreel/internal/agent/health"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// progress is how far a run has come, as far as the upstream has listed it.
type progress struct {
	// percent is the last progress that was listed, progressAt when it last rose.
	percent    int
	progressAt time.Time
	// measuredFrom is when the run began to make progress, with measuredPercent done by then.
	measuredFrom    time.Time
	measuredPercent int
}

// measureFrom records that a run begins or continues to make progress now.
func (p *progress) measureFrom(now time.Time) {
	p.progressAt, p.measuredFrom, p.measuredPercent = now, now, p.percent
}

// projected returns how long the whole run takes if it goes on as it has until its last progress; zero if it has made none.
func (p *progress) projected() time.Duration {
	if p.percent <= p.measuredPercent {
		return 0
	}
	return p.progressAt.Sub(p.measuredFrom) * 100 / time.Duration(p.percent-p.measuredPercent)
}

// stallLimit returns how long a run may go without progress.
func (r *run) stallLimit() time.Duration {
	return health.StallLimit(health.RunTime{Estimate: r.estimate, Projected: r.projected(), Stalls: r.priorStalls})
}

// isStalled reports whether a run has made no progress for too long.
func (r *run) isStalled(now time.Time) bool {
	return r.phase == running && !r.restoring && r.percent < 100 && now.Sub(r.progressAt) > r.stallLimit()
}

// recordProgress records that a run has made progress.
func (u *Controller) recordProgress(now time.Time, r *run, percent int) {
	u.health.RecordProgress(now.Sub(r.progressAt), r.estimate*time.Duration(percent-r.percent)/100)
	r.percent, r.progressAt = percent, now
}

// beginProgress records that a run is at the upstream from now on, as far as is known. Its start may have been carried out long after the
// call.
func (r *run) beginProgress(now time.Time, restoreTime time.Duration) {
	r.measureFrom(now)
	r.beginRestoring(now, restoreTime)
}

// beginRestoring records that a run with a checkpoint begins to restore it now, as far as is known.
func (r *run) beginRestoring(now time.Time, restoreTime time.Duration) {
	if r.checkpoint != "" {
		r.restoring, r.restoreBy = true, now.Add(restoreTime)
	}
}

// followRestoring follows the progress of a run that restores its checkpoint. It may rise to that of the checkpoint, at any time or only
// at the end, and stands still otherwise.
func (r *run) followRestoring(now time.Time, percent int) {
	rose := percent > r.percent
	r.percent = max(r.percent, percent)
	if now.Before(r.restoreBy) {
		return
	}
	r.restoring = false
	if rose {
		r.measureFrom(now)
		return
	}
	r.measureFrom(r.restoreBy)
}

// progressInterval is the least time between two progress reports to entries.
const progressInterval = 50 * time.Millisecond

// sendProgress reports to entries how long their runs will still take, while the upstream is slow compared with others.
func (u *Controller) sendProgress(now time.Time) {
	if !u.health.IsSlow(u.medianPace) || now.Sub(u.progressSentAt) < progressInterval {
		return
	}
	u.progressSentAt = now
	byOwner := make(map[ident.Incarnation][]fleet.Progress)
	for _, r := range u.sortedRuns() {
		if r.phase != running || r.stop != nil || r.estimate == 0 {
			continue
		}
		left := time.Duration(float64(r.estimate) * float64(100-r.percent) / 100 * u.health.Pace())
		if r.restoring {
			left += max(0, r.restoreBy.Sub(now))
		}
		byOwner[r.owner] = append(byOwner[r.owner], fleet.Progress{OrderedRun: r.ordered(), Left: left})
	}
	for _, s := range u.sessionOrder {
		if runs := byOwner[s.entry]; s.linked && len(runs) > 0 {
			u.entries.Progress(s.entry, runs)
		}
	}
}

// stallWindow is the time within which the stalls of one job at one upstream count once. They are likely to have one cause, which may be the
// job.
const stallWindow = time.Second

// countsAsFailure reports whether a stalled run tells of a failing upstream, and records that it does. It is this process that has stopped
// the run, by what the job's caller says of its time.
func (u *Controller) countsAsFailure(now time.Time, r *run) bool {
	for id, at := range u.stalledJobs {
		if now.Sub(at) >= stallWindow {
			delete(u.stalledJobs, id)
		}
	}
	if _, counted := u.stalledJobs[r.task.Job]; counted || r.priorStalls > 0 {
		return false
	}
	if u.stalledJobs == nil {
		u.stalledJobs = make(map[job.ID]time.Time)
	}
	u.stalledJobs[r.task.Job] = now
	return true
}
