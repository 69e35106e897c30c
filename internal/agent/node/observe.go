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

// observer logs and counts an agent's decisions. Runs that end well are only counted: their job's entry logs
// the job.
type observer struct {
	log      *logrus.Entry
	counters *metrics.Counters
	times    *metrics.Latencies
	margins  *metrics.Margins
	// stoppedWithin is how long the stop of an unwanted run may take.
	maxStopTime time.Duration
	// names are those of the entries that are linked or have runs here.
	names map[ident.Incarnation]string
}

func newObserver(t fleet.Timing, log *logrus.Entry) *observer {
	return &observer{
		log: log, counters: metrics.NewCounters("agent"), times: metrics.NewLatencies("run_ms"), margins: metrics.NewMargins("margins"),
		maxStopTime: t.StopBound(), names: make(map[ident.Incarnation]string),
	}
}

// Linked notes an entry's name, and forgets those of entries that are not needed any more.
func (o *observer) Linked(entry ident.Incarnation, name string, needed func(ident.Incarnation) bool) {
	maps.DeleteFunc(o.names, func(e ident.Incarnation, _ string) bool { return !needed(e) })
	o.names[entry] = name
}

// Ended notes the end of a run. One that ended well has a line only if it was to be stopped, or its entry does not hear of it.
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

// noteStop compares how long the stop of a run took with what is promised.
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

// addStop adds how a run was stopped to the line of its end. Its times are counted back from the line's.
func addStopFields(f logrus.Fields, s *upstream.Stop) {
	f["stop_why"], f["stop_asked_ms_ago"], f["stop_answered"] = s.Cause, s.AskedAgo.Milliseconds(), s.IsAnswered
	if s.IsAnswered {
		f["stop_answered_ms_ago"] = s.AnsweredAgo.Milliseconds()
	}
	if s.Unwanted {
		f["unwanted_ms"] = s.UnwantedFor.Milliseconds()
	}
}

// State logs a change of what entries are told of the upstream.
func (o *observer) StateChanged(from, to fleet.State, why string) {
	o.counters.Add("state_"+string(to), 1)
	o.log.WithFields(logrus.Fields{"from": from, "to": to, "why": why}).Info("upstream_state")
}

// Orphaned logs that the runs of a lost entry are stopped.
func (o *observer) RunsOrphaned(owner ident.Incarnation, runs int, why string, late time.Duration) {
	o.counters.Add("runs_orphaned", int64(runs))
	o.margins.Record("orphaning", late, fleet.TimerMargin)
	o.log.WithFields(logrus.Fields{
		"entry": o.names[owner], "entry_incarnation": owner, "runs": runs, "why": why, "late_ms": late.Milliseconds(),
	}).Warn("runs_orphaned")
}

// Unconfirmed logs the ends that a lost entry may not have heard of: it places their tasks again.
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

// Lapsed notes that the lease of all runs has lapsed.
func (o *observer) LeaseLapsed(late time.Duration) {
	o.margins.Record("lapse", late, fleet.TimerMargin)
}

// Ticked notes by how much a tick of the control goroutine was late.
func (o *observer) Ticked(late time.Duration) {
	o.margins.Record("agent_tick", late, fleet.TimerMargin)
}

// Outlived logs a heartbeat of an earlier life that was held up on the way.
func (o *observer) HeartbeatOutlived(life, by ident.UpstreamLife) {
	o.counters.Add("late_heartbeats", 1)
	o.log.WithFields(logrus.Fields{"upstream": life, "present": by}).Info("heartbeat_outlived")
}

// Begun logs a life of the upstream that is taken up.
func (o *observer) LifeBegun(life ident.UpstreamLife, why string, described bool) {
	o.counters.Add("lives", 1)
	o.log.WithFields(logrus.Fields{"upstream": life, "why": why, "described": described}).Info("upstream_begun")
}

// Dropped logs a heartbeat that counts as overtaken.
func (o *observer) HeartbeatDropped(b lives.Heartbeat, newest uint64) {
	o.counters.Add("dropped_heartbeats", 1)
	o.log.WithFields(logrus.Fields{
		"upstream": b.Life(), "sequence": b.Sequence, "newest": newest, "draining": b.Draining,
	}).Info("heartbeat_dropped")
}

// Gated counts and logs an order that is refused because the zone is cordoned: its entry has not heard of that.
func (o *observer) OrderGated(task job.TaskID, entry ident.Incarnation) {
	o.counters.Add("orders_zone_cordoned", 1)
	o.log.WithFields(logrus.Fields{
		"job": task.Job, "task": task, "reason": fleet.ZoneCordoned, "entry_incarnation": entry,
	}).Info("order_refused")
}

// maxNamed bounds the runs that are named in one line.
const maxListed = 12

// Lost logs the loss of an upstream and the youngest of the runs that were there, each with its age when the upstream last answered.
func (o *observer) UpstreamLost(l upstream.Loss) {
	o.counters.Add("upstreams_lost", 1)
	lost := slices.Clone(l.Runs)
	slices.SortStableFunc(lost, func(a, b upstream.LostRun) int { return cmp.Compare(a.Age, b.Age) })
	var youngest []string
	for _, a := range lost[:min(len(lost), maxListed)] {
		youngest = append(youngest, fmt.Sprintf("%v/%d@%dms", a.Task, a.Run, a.Age.Milliseconds()))
	}
	o.log.WithFields(logrus.Fields{
		"upstream": l.Life, "why": l.Why, "silent_ms": l.SilentFor.Milliseconds(), "runs": len(l.Runs), "youngest": strings.Join(youngest, " "),
	}).Warn("upstream_lost")
}

// Stray logs a run that nobody here has ordered: one of an earlier agent, or a start that came late.
func (o *observer) StrayChanged(r fleet.RunRef, event upstream.StrayEvent) {
	o.counters.Add(string(event), 1)
	o.log.WithFields(logrus.Fields{"job": r.Task.Job, "task": r.Task, "run": r.Run}).Info(string(event))
}

// Overtaken counts a listing that is passed over: there can be one with each answer.
func (o *observer) ListingOvertaken() { o.counters.Add("listings_overtaken", 1) }

// Unsure logs a start that got no answer.
func (o *observer) StartUnsure(task job.TaskID, run job.Run) {
	o.counters.Add("starts_unsure", 1)
	o.log.WithFields(logrus.Fields{"job": task.Job, "task": task, "run": run}).Info("start_unsure")
}
