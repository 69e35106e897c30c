package node

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/metrics"
)

// observer logs and counts an agent's decisions. Runs that succeed are usually only counted, since the entry logs their job.
type observer struct {
	log      *logrus.Entry
	counters *metrics.Counters
	times    *metrics.Latencies
	margins  *metrics.Margins
	// maxStopTime is the promised bound on the time that it takes to stop an unwanted run.
	maxStopTime time.Duration
	// names holds the names of the entries that are linked or have runs here.
	names map[ident.Incarnation]string
}

func newObserver(t fleet.Timing, log *logrus.Entry) *observer {
	return &observer{
		log: log, counters: metrics.NewCounters("agent"), times: metrics.NewLatencies("run_ms"), margins: metrics.NewMargins("margins"),
		maxStopTime: t.StopBound(), names: make(map[ident.Incarnation]string),
	}
}

// Linked stores an entry's name, and deletes the names that are not needed any more.
func (o *observer) Linked(entry ident.Incarnation, name string, needed func(ident.Incarnation) bool) {
	maps.DeleteFunc(o.names, func(e ident.Incarnation, _ string) bool { return !needed(e) })
	o.names[entry] = name
}

// RunEnded counts the end of a run and logs it. A run that succeeded is logged only if it was to be stopped, or if its entry does not learn
// of the end.
func (o *observer) RunEnded(e upstream.Ending) {
	o.counters.Add("runs_"+string(e.Outcome), 1)
	if e.Outcome == job.Done {
		o.times.Record("done", e.Took)
		if e.Stop == nil && !e.OwnerUnlinked {
			return
		}
	}
	f := logrus.Fields{
		"job": e.Task.Job, "task": e.Task, "run": e.Run, "outcome": e.Outcome, "reason": e.Reason, "took_ms": e.Took.Milliseconds(),
		"begun_ms_ago": e.StartedAgo.Milliseconds(), "entry": o.names[e.Owner], "entry_incarnation": e.Owner,
	}
	if e.OwnerUnlinked {
		f["unheard"] = true
	}
	if e.Outcome == job.Stalled {
		f["percent"], f["idle_ms"], f["resumed"] = e.Percent, e.IdleFor.Milliseconds(), e.Resumed
		f["estimate_ms"], f["stall_limit_ms"] = e.Estimate.Milliseconds(), e.StallLimit.Milliseconds()
	}
	if e.Stop != nil {
		addStopFields(f, e.Stop)
		o.recordStop(f, e.Stop)
	}
	if e.Successor != 0 {
		o.counters.Add("runs_ordered_anew", 1)
		f["ordered_anew_by"], f["ordered_anew_by_incarnation"] = o.names[e.Successor], e.Successor
	}
	o.log.WithFields(f).Info("run_ended")
}

// recordStop compares the time that it took to stop an unwanted run with the promised bound.
func (o *observer) recordStop(f logrus.Fields, s *upstream.Stop) {
	if !s.Unwanted {
		return
	}
	o.margins.Record("stop", s.UnwantedFor, o.maxStopTime)
	if s.UnwantedFor > o.maxStopTime {
		o.counters.Add("stops_overdue", 1)
		f["stop_overdue"] = true
	}
}

// addStopFields adds to the log line of a run's end how the run was stopped. Fields named *_ms_ago count back from the time of the line.
func addStopFields(f logrus.Fields, s *upstream.Stop) {
	f["stop_why"], f["stop_asked_ms_ago"], f["stop_answered"] = s.Cause, s.AskedAgo.Milliseconds(), s.IsAnswered
	if s.IsAnswered {
		f["stop_answered_ms_ago"] = s.AnsweredAgo.Milliseconds()
	}
	if s.Unwanted {
		f["unwanted_ms"] = s.UnwantedFor.Milliseconds()
	}
}

// StateChanged logs a change of the upstream's state as it is reported to entries.
func (o *observer) StateChanged(from, to fleet.State, why string) {
	o.counters.Add("state_"+string(to), 1)
	o.log.WithFields(logrus.Fields{"from": from, "to": to, "why": why}).Info("upstream_state")
}

// RunsOrphaned logs that the runs of a lost entry are stopped.
func (o *observer) RunsOrphaned(owner ident.Incarnation, runs int, why string, late time.Duration) {
	o.counters.Add("runs_orphaned", int64(runs))
	o.margins.Record("orphaning", late, fleet.TimerMargin)
	o.log.WithFields(logrus.Fields{
		"entry": o.names[owner], "entry_incarnation": owner, "runs": runs, "why": why, "late_ms": late.Milliseconds(),
	}).Warn("runs_orphaned")
}

// EndsUnconfirmed logs the ends that an entry whose link has ended may not have received. The entry may place the tasks of these runs again.
func (o *observer) EndsUnconfirmed(owner ident.Incarnation, ends []fleet.End) {
	o.counters.Add("ends_unconfirmed", int64(len(ends)))
	var names []string
	for _, e := range ends[max(len(ends)-maxListed, 0):] {
		names = append(names, fmt.Sprintf("%v/%d@%s", e.Task, e.Run, e.Outcome))
	}
	o.log.WithFields(logrus.Fields{
		"entry": o.names[owner], "entry_incarnation": owner, "runs": len(ends), "newest": strings.Join(names, " "),
	}).Info("ends_unconfirmed")
}

// LeaseLapsed records that the lease of all runs has lapsed.
func (o *observer) LeaseLapsed(late time.Duration) {
	o.margins.Record("lapse", late, fleet.TimerMargin)
}

// Ticked records by how much a tick of the control goroutine was late.
func (o *observer) Ticked(late time.Duration) {
	o.margins.Record("agent_tick", late, fleet.TimerMargin)
}

// HeartbeatOutlived logs a delayed heartbeat of an earlier life of the upstream. by is the present life.
func (o *observer) HeartbeatOutlived(life, by ident.UpstreamLife) {
	o.counters.Add("late_heartbeats", 1)
	o.log.WithFields(logrus.Fields{"upstream": life, "present": by}).Info("heartbeat_outlived")
}

// LifeBegun logs that the agent adopts a life of the upstream. why names the source that reported the life.
func (o *observer) LifeBegun(life ident.UpstreamLife, why string, described bool) {
	o.counters.Add("lives", 1)
	o.log.WithFields(logrus.Fields{"upstream": life, "why": why, "described": described}).Info("upstream_begun")
}

// HeartbeatDropped logs a heartbeat that is ignored because its sequence number is lower than that of the newest one.
func (o *observer) HeartbeatDropped(b lives.Heartbeat, newest uint64) {
	o.counters.Add("dropped_heartbeats", 1)
	o.log.WithFields(logrus.Fields{
		"upstream": b.Life(), "sequence": b.Sequence, "newest": newest, "draining": b.Draining,
	}).Info("heartbeat_dropped")
}

// OrderGated counts and logs an order that is refused because the zone is cordoned. Its entry does not know of the cordon yet.
func (o *observer) OrderGated(task job.TaskID, entry ident.Incarnation) {
	o.counters.Add("orders_zone_cordoned", 1)
	o.log.WithFields(logrus.Fields{
		"job": task.Job, "task": task, "reason": fleet.ZoneCordoned, "entry_incarnation": entry,
	}).Info("order_refused")
}

// maxListed bounds the runs that one log line lists.
const maxListed = 12

// UpstreamLost logs the loss of an upstream and the youngest of its runs, each with its age when the upstream last answered.
func (o *observer) UpstreamLost(l upstream.Loss) {
	o.counters.Add("upstreams_lost", 1)
	byAge := slices.Clone(l.Runs)
	slices.SortStableFunc(byAge, func(a, b upstream.LostRun) int { return cmp.Compare(a.Age, b.Age) })
	var youngest []string
	for _, r := range byAge[:min(len(byAge), maxListed)] {
		youngest = append(youngest, fmt.Sprintf("%v/%d@%dms", r.Task, r.Run, r.Age.Milliseconds()))
	}
	o.log.WithFields(logrus.Fields{
		"upstream": l.Life, "why": l.Why, "silent_ms": l.SilentFor.Milliseconds(), "runs": len(l.Runs), "youngest": strings.Join(youngest, " "),
	}).Warn("upstream_lost")
}

// StrayChanged logs a run at the upstream that this agent has not ordered. Such a run was ordered by an earlier incarnation of the agent, or
// its start call was delayed.
func (o *observer) StrayChanged(r fleet.RunRef, event upstream.StrayEvent) {
	o.counters.Add(string(event), 1)
	o.log.WithFields(logrus.Fields{"job": r.Task.Job, "task": r.Task, "run": r.Run}).Info(string(event))
}

// ListingOvertaken counts a listing of runs that is ignored because it is outdated. It does not log the listing, since every
// answer may contain an outdated one.
func (o *observer) ListingOvertaken() { o.counters.Add("listings_overtaken", 1) }

// StartUnsure logs a start call that got no answer, or one that does not say whether the run was started.
func (o *observer) StartUnsure(task job.TaskID, run job.Run) {
	o.counters.Add("starts_unsure", 1)
	o.log.WithFields(logrus.Fields{"job": task.Job, "task": task, "run": run}).Info("start_unsure")
}
