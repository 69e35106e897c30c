package node

import (
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/metrics"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
)

// maxTrace bounds the steps that are kept of one job's way; the end of a long way says the least.
const maxTrace = 24

// Observer logs and counts an entry's decisions. One line is written for each job, with the way it took if it
// did not end well and in time; the ways of the others would say nothing and drown the rest.
type Observer struct {
	log      *logrus.Entry
	counters *metrics.Counters
	times    *metrics.Latencies
	ended    func(r *route.Route, a dispatch.Answer, s dispatch.Summary)
	// traces are the ways of the jobs that are not answered yet.
	traces map[job.ID][]string
}

// NewObserver returns an Observer. ended is called for each answer; it may be nil.
func NewObserver(log *logrus.Entry, ended func(*route.Route, dispatch.Answer, dispatch.Summary)) *Observer {
	return &Observer{
		log: log, counters: metrics.NewCounters("entry"), times: metrics.NewLatencies("job_ms"), ended: ended,
		traces: make(map[job.ID][]string),
	}
}

// trace adds a step to a job's way.
func (o *Observer) trace(id job.ID, parts ...string) {
	if steps := o.traces[id]; len(steps) < maxTrace {
		o.traces[id] = append(steps, strings.Join(parts, " "))
	}
}

// ms writes a time in whole milliseconds.
func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// Taken logs a job, so that its request can be found also when this entry is lost before it answers.
func (o *Observer) Taken(r *dispatch.Request) {
	o.counters.Add("jobs_taken", 1)
	o.log.WithFields(logrus.Fields{"job": r.Job, "request": r.Sender, "route": r.Route.Name, "tasks": r.Spec.Tasks()}).Info("job_taken")
}

// Placed notes an order.
func (o *Observer) Placed(id job.ID, agent ident.UpstreamName, order *fleet.Order, waited time.Duration) {
	o.counters.Add("orders", 1)
	o.counters.Add("tasks_ordered", int64(len(order.Tasks)))
	o.trace(id, "+"+ms(waited)+"ms", "place", strconv.Itoa(len(order.Tasks)), "at", string(agent))
}

// Ended counts the end of a run, and notes it in its job's way unless it went well.
func (o *Observer) Ended(agent ident.UpstreamName, e fleet.End, next string) {
	o.counters.Add("runs_"+string(e.Outcome), 1)
	if e.Outcome == job.Done {
		return
	}
	o.trace(e.Task.Job, strconv.Itoa(int(e.Task.Step))+"."+strconv.Itoa(int(e.Task.Index)), "run", strconv.Itoa(int(e.Run)),
		string(e.Outcome), string(e.Reason), "after", ms(e.Took)+"ms", "at", string(agent), "then", next)
	if next == "given_up" {
		delete(o.traces, e.Task.Job)
	}
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
		"job": id, "request": s.Sender, "route": r.Name, "state": a.State, "took_ms": s.Took.Milliseconds(), "waited_ms": s.Waited.Milliseconds(),
		"objective_ms": s.Objective.Milliseconds(), "tasks": s.Tasks, "runs": s.Runs, "failures": s.Failures, "queued": s.Queued,
	}
	if s.SentBefore {
		o.counters.Add("jobs_sent_before", 1)
		f["sent_before"] = true
	}
	if a.Reason != "" {
		f["reason"], f["verdict"] = a.Reason, a.Verdict
	}
	if a.Verdict == verdict.NotRun {
		f["tasks_waiting"], f["task_cpu_millis"], f["upstreams_ready"], f["tasks_fit"] = s.Room.Tasks, s.Room.Wants, s.Room.Ready, s.Room.Fits
	}
	if s.Room.Closed > 0 {
		o.counters.Add("jobs_refused_while_closed", 1)
		f["upstreams_closed"] = s.Room.Closed
	}
	if a.State != verdict.Complete || !inTime {
		f["way"] = strings.Join(o.traces[id], "; ")
	}
	delete(o.traces, id)
	o.log.WithFields(f).Info("job_answered")
}

// AgentChanged logs and counts what becomes of an agent's runs.
func (o *Observer) AgentChanged(agent ident.UpstreamName, runs int, event dispatch.AgentEvent) {
	o.counters.Add(string(event), 1)
	level := logrus.WarnLevel
	if event == dispatch.AgentResumed {
		level = logrus.InfoLevel
	}
	o.log.WithFields(logrus.Fields{"agent": agent, "runs": runs}).Log(level, string(event))
}
