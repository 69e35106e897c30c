package node

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/metrics"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// Observer logs and counts an entry's decisions. The log line of a job's answer has the job's history if the job did not end well and in
// time, or may have been started before by another entry. The line of any other job names only its agents, since the histories of all
// jobs would make the log unreadable.
type Observer struct {
	log      *logrus.Entry
	counters *metrics.Counters
	times    *metrics.Latencies
	// ended is called for each answer; it may be nil.
	ended func(r *route.Route, a dispatch.Answer, s dispatch.Summary)
	// histories holds the histories of the jobs that are not answered yet.
	histories map[job.ID]*jobHistory
	// droppedLoggedAt is when a dropped report of demand was last logged.
	droppedLoggedAt time.Time
}

// NewObserver returns an Observer. ended is called for each answer; it may be nil.
func NewObserver(log *logrus.Entry, ended func(*route.Route, dispatch.Answer, dispatch.Summary)) *Observer {
	return &Observer{
		log: log, counters: metrics.NewCounters("entry"), times: metrics.NewLatencies("job_ms"), ended: ended,
		histories: make(map[job.ID]*jobHistory),
	}
}

// recordTickDelay records by how much a tick of an entry's control goroutine was late.
func recordTickDelay(late time.Duration) {
	metrics.NewMargins("margins").Record("entry_tick", late, fleet.TimerMargin)
}

// history returns the history of a job, and creates it if there is none.
func (o *Observer) history(id job.ID) *jobHistory {
	if o.histories[id] == nil {
		o.histories[id] = &jobHistory{}
	}
	return o.histories[id]
}

// Taken logs a job, so that its request can be found even if this entry is lost before it answers. The line has the time that the caller
// still waits, which tells the first of several requests of a job from later ones.
func (o *Observer) Taken(r *dispatch.Request) {
	o.counters.Add("jobs_taken", 1)
	o.history(r.Job).requestID = r.RequestID
	f := logrus.Fields{"job": r.Job, "request": r.RequestID, "route": r.Route.Name, "tasks": r.Spec.TaskCount()}
	if !r.Deadline.IsZero() {
		f["patience_ms"] = -boottime.Since(r.Deadline).Milliseconds()
	}
	o.log.WithFields(f).Info("job_taken")
}

// Placed records an order. It logs the order's tasks that may have run before.
func (o *Observer) Placed(id job.ID, agent ident.UpstreamName, order *fleet.Order, waited time.Duration) {
	o.counters.Add("orders", 1)
	o.counters.Add("tasks_ordered", int64(len(order.Tasks)))
	if order.RemoteFactor > 1 {
		o.counters.Add("tasks_ordered_remote", int64(len(order.Tasks)))
	}
	h := o.history(id)
	again := h.notePlacement(agent, order, waited)
	if len(again) == 0 {
		return
	}
	o.counters.Add("tasks_placed_again", int64(len(again)))
	o.log.WithFields(logrus.Fields{"job": id, "request": h.requestID, "agent": agent, "tasks": joinLimited(again, "; ")}).Info("task_placed_again")
}

// Ended counts the end of a run, and records it in its job's history unless the run succeeded.
func (o *Observer) Ended(agent ident.UpstreamName, e fleet.End, next string) {
	o.counters.Add("runs_"+string(e.Outcome), 1)
	if e.Outcome == job.Done {
		return
	}
	if next == "given_up" {
		return // the job was answered and has no history any more
	}
	h := o.history(e.Task.Job)
	h.noteEnd(agent, e)
	h.addStep(fmt.Sprintf("%s %s %s after %dms at %s then %s", runName(fleet.RunRef{Task: e.Task, Run: e.Run}), e.Outcome, e.Reason, e.Took.Milliseconds(), agent, next))
}

// StopsRequested logs which runs of a job are to be stopped, and counts them.
func (o *Observer) StopsRequested(s dispatch.Stops) {
	runs := len(s.Requested) + len(s.Unreachable)
	o.counters.Add("stops_asked_"+string(s.Cause), int64(runs))
	f := logrus.Fields{"job": s.Job, "request": s.RequestID, "why": s.Cause, "runs": runs}
	if len(s.Requested) > 0 {
		f["asked"] = formatRuns(s.Requested)
	}
	if len(s.Unreachable) > 0 {
		f["unheard"] = formatRuns(s.Unreachable)
	}
	o.log.WithFields(f).Info("run_stop_asked")
}

// OutOfTouch logs that the entry received nothing for so long that it may have missed callers going away.
func (o *Observer) OutOfTouch(silent time.Duration, jobs int) {
	o.counters.Add("out_of_touch", 1)
	o.log.WithFields(logrus.Fields{"silent_ms": silent.Milliseconds(), "jobs_given_up": jobs}).Warn("out_of_touch")
}

// Belated counts a request that is held back for a while, because its connection may be about to end.
func (o *Observer) Belated(*dispatch.Request) { o.counters.Add("requests_belated", 1) }

// TakeoverChanged logs and counts the steps by which a job is taken over by or from another entry.
func (o *Observer) TakeoverChanged(id job.ID, other ident.Incarnation, waited time.Duration, event dispatch.TakeoverEvent) {
	o.counters.Add("takeovers_"+string(event), 1)
	o.log.WithFields(logrus.Fields{"job": id, "other_entry": other, "waited_ms": waited.Milliseconds(), "step": event}).Info("job_takeover")
}

// Resubmitted logs a request for a job that the entry already holds, and counts it. Jobs that still have runs are counted apart.
func (o *Observer) Resubmitted(r *dispatch.Request, h dispatch.HeldJob) {
	o.counters.Add("callers_came_again", 1)
	if h.Runs > 0 {
		o.counters.Add("callers_came_again_with_runs", 1)
	}
	if history := o.histories[r.Job]; history != nil {
		history.resent = true
	}
	o.log.WithFields(logrus.Fields{
		"job": r.Job, "request": r.RequestID, "former_request": h.FormerRequestID, "held_ms": h.Since.Milliseconds(), "runs": h.Runs, "callers": h.Callers,
		"ending": h.Ending,
	}).Info("caller_came_again")
}

// Answered logs a job's answer and counts it.
func (o *Observer) Answered(id job.ID, r *route.Route, a dispatch.Answer, s dispatch.Summary) {
	inTime := s.Took <= s.Objective
	o.counters.Add("jobs_"+string(a.State), 1)
	if a.Reason != "" {
		o.counters.Add("jobs_"+string(a.State)+"_"+string(a.Reason), 1)
	}
	if a.State == verdict.Complete {
		o.times.Record(string(r.Name), s.Took)
	}
	if o.ended != nil {
		o.ended(r, a, s)
	}
	f := logrus.Fields{
		"job": id, "request": s.RequestID, "route": r.Name, "state": a.State, "took_ms": s.Took.Milliseconds(), "waited_ms": s.Waited.Milliseconds(),
		"objective_ms": s.Objective.Milliseconds(), "tasks": s.Tasks, "runs": s.Runs, "failures": s.Failures, "queued": s.Queued,
	}
	if s.Resent {
		o.counters.Add("jobs_sent_before", 1)
		f["sent_before"] = true
	}
	if a.Reason != "" {
		f["reason"], f["verdict"] = a.Reason, a.Verdict
	}
	if a.Verdict == verdict.NotRun {
		f["tasks_waiting"], f["task_cpu_millis"], f["upstreams_ready"], f["tasks_fit"] = s.Room.Tasks, s.Room.TaskCPU, s.Room.Ready, s.Room.Fits
	}
	if s.RefusedBy != "" {
		o.counters.Add("jobs_refused_by_"+string(s.RefusedBy), 1)
		f["refused_by"] = s.RefusedBy
	}
	if s.Room.Closed > 0 {
		o.counters.Add("jobs_refused_while_closed", 1)
		f["upstreams_closed"] = s.Room.Closed
	}
	h := o.history(id)
	if a.State != verdict.Complete || !inTime || s.Resent || h.resent {
		f["way"] = h.summary()
	} else {
		f["agents"] = joinLimited(h.agents, " ")
	}
	delete(o.histories, id)
	o.log.WithFields(f).Info("job_answered")
}

// Waits logs for how long a task has waited while nothing of its job runs, and what keeps it from how many upstreams.
func (o *Observer) Waits(w dispatch.Waiting) {
	o.counters.Add("tasks_waiting_idle", 1)
	f := logrus.Fields{"job": w.Task.Job, "task": w.Task, "waited_ms": w.Waited.Milliseconds()}
	if w.Caution != crash.Unsuspected {
		f["caution"] = w.Caution
	}
	for cause, n := range w.Causes {
		f["upstreams_"+string(cause)] = n
	}
	o.log.WithFields(f).Info("task_waits")
}

// AgentChanged logs and counts what happens to the runs at an agent whose link was lost.
func (o *Observer) AgentChanged(agent ident.UpstreamName, runs int, event dispatch.AgentEvent) {
	o.counters.Add(string(event), 1)
	level := logrus.WarnLevel
	if event == dispatch.AgentResumed {
		level = logrus.InfoLevel
	}
	o.log.WithFields(logrus.Fields{"agent": agent, "runs": runs}).Log(level, string(event))
}
