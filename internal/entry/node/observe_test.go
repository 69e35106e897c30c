package node_test

import (
	"bytes"
	"expvar"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/core/boottime"
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
	"hillreel/internal/entry/shares"
)

// logLines returns the log lines that an Observer writes while watch runs.
func logLines(watch func(o *node.Observer)) []string {
	var out bytes.Buffer
	log := logs.Discard()
	log.Logger.SetOutput(&out)
	watch(node.NewObserver(log, nil))
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// takeJob reports to o that the entry has taken the job that the tests observe.
func takeJob(o *node.Observer) {
	o.Taken(&dispatch.Request{Job: 7, RequestID: "r-1", Spec: &job.Spec{Steps: []job.Step{{Count: 2}}}})
}

// placeTasks reports to o that runs with the given number were ordered for the job's tasks.
func placeTasks(o *node.Observer, number job.Run, tasks int) {
	order := &fleet.Order{Job: 7}
	for i := range tasks {
		order.Tasks = append(order.Tasks, fleet.TaskRun{Index: uint32(i), Run: number})
	}
	o.Placed(7, "here", order, 0)
}

// TestRemoteTasksAreCounted checks that operators can see how many tasks are ordered away from their data.
func TestRemoteTasksAreCounted(t *testing.T) {
	count := func() int64 {
		if v, ok := expvar.Get("entry").(*expvar.Map).Get("tasks_ordered_remote").(*expvar.Int); ok {
			return v.Value()
		}
		return 0
	}
	logLines(func(o *node.Observer) {
		takeJob(o)
		before := count()
		for _, factor := range []float64{0, 1, 1.5} {
			o.Placed(7, "here", &fleet.Order{Job: 7, RemoteFactor: factor, Tasks: make([]fleet.TaskRun, 2)}, 0)
		}
		qt.Assert(t, count()-before, qt.Equals, int64(2))
	})
}

// TestTakenLine checks that a job's first log line states how long its caller still waits, if that is known.
func TestTakenLine(t *testing.T) {
	for _, test := range []struct {
		name     string
		deadline time.Time
		want     string
	}{
		{"patient", boottime.Now().Add(time.Hour + time.Minute), "patience_ms=36"},
		{"no deadline", time.Time{}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := logLines(func(o *node.Observer) {
				o.Taken(&dispatch.Request{Job: 7, RequestID: "r-1", Deadline: test.deadline, Spec: &job.Spec{}})
			})
			qt.Assert(t, lines, qt.HasLen, 1)
			qt.Assert(t, lines[0], qt.Contains, "msg=job_taken")
			qt.Assert(t, strings.Contains(lines[0], "patience_ms"), qt.Equals, test.want != "")
			qt.Assert(t, lines[0], qt.Contains, test.want)
		})
	}
}

// TestTaskPlacedAgainLine checks that placing a task again is logged, with the end of its former run, if that run may have started. If an
// agent only refused the task, nothing is logged.
func TestTaskPlacedAgainLine(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome job.Outcome
		reason  fleet.Reason
		line    bool
	}{
		{"lost", job.Lost, fleet.AgentSilent, true},
		{"stopped", job.Stopped, fleet.Moved, true},
		{"failed", job.Failed, "", true},
		{"start without an answer", job.NotStarted, fleet.NeverArrived, true},
		{"not listed", job.NotStarted, fleet.NotListed, true},
		{"no room", job.NotStarted, fleet.NoRoom, false},
		{"cordoned", job.NotStarted, fleet.ZoneCordoned, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := logLines(func(o *node.Observer) {
				takeJob(o)
				placeTasks(o, 1, 2)
				for i := range uint32(2) {
					o.Ended("there", fleet.End{Task: job.TaskID{Job: 7, Index: i}, Run: 1, Outcome: test.outcome, Reason: test.reason}, "again")
				}
				placeTasks(o, 2, 2)
			})
			if !test.line {
				qt.Assert(t, lines, qt.HasLen, 1)
				return
			}
			qt.Assert(t, lines, qt.HasLen, 2)
			for _, part := range []string{
				"msg=task_placed_again", "request=r-1", "agent=here", "0.0 run 2 after run 1 " + string(test.outcome), "0.1 run 2 after", "at there",
			} {
				qt.Assert(t, lines[1], qt.Contains, part)
			}
		})
	}
}

// TestTaskPlacedAgainAfterRefusal checks which former run the line names when an agent refuses a task that is placed again: the last run
// that may have started, not the refused one. A later run that was not refused replaces it in the line.
func TestTaskPlacedAgainAfterRefusal(t *testing.T) {
	lines := logLines(func(o *node.Observer) {
		takeJob(o)
		for i, outcome := range []job.Outcome{job.Lost, job.NotStarted, job.Stalled} {
			placeTasks(o, job.Run(i+1), 1)
			e := fleet.End{Task: job.TaskID{Job: 7}, Run: job.Run(i + 1), Outcome: outcome}
			if outcome == job.NotStarted {
				e.Reason = fleet.NoRoom
			}
			o.Ended("there", e, "again")
		}
		placeTasks(o, 4, 1)
	})
	qt.Assert(t, lines, qt.HasLen, 4)
	for i, part := range []string{"0.0 run 2 after run 1 lost", "0.0 run 3 after run 1 lost", "0.0 run 4 after run 3 stalled"} {
		qt.Assert(t, lines[i+1], qt.Contains, part)
	}
}

// TestStopLine checks that one line names all runs of a job that are to be stopped, or the first of them if there are many.
func TestStopLine(t *testing.T) {
	runs := func(n int) (out []dispatch.RunAt) {
		for i := range n {
			out = append(out, dispatch.RunAt{RunRef: fleet.RunRef{Task: job.TaskID{Job: 7, Index: uint32(i)}, Run: 1}, Agent: "here"})
		}
		return out
	}
	for _, test := range []struct {
		name  string
		stops dispatch.Stops
		has   []string
	}{
		{"requested", dispatch.Stops{Job: 7, RequestID: "r-1", Cause: "caller_gone", Requested: runs(2)}, []string{
			"msg=run_stop_asked", "request=r-1", "why=caller_gone", "runs=2", `asked="0.0 run 1 at here; 0.1 run 1 at here"`,
		}},
		{"unreachable", dispatch.Stops{Job: 7, Cause: "deadline", Unreachable: runs(1)}, []string{`unheard="0.0 run 1 at here"`}},
		{"many", dispatch.Stops{Job: 7, Cause: "deadline", Requested: runs(1000)}, []string{"runs=1000", "0.23 run 1 at here; 976 more"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := logLines(func(o *node.Observer) { o.StopsRequested(test.stops) })
			qt.Assert(t, lines, qt.HasLen, 1)
			for _, part := range test.has {
				qt.Assert(t, lines[0], qt.Contains, part)
			}
		})
	}
}

// TestWayOfJobsSentBefore checks that the answer's line contains a job's history, and so the agents of its runs, if another entry may have
// started the job before, even if the job ends in time.
func TestWayOfJobsSentBefore(t *testing.T) {
	const history = "place 2 at here: 0.0 run 1, 0.1 run 1"
	for _, test := range []struct {
		name    string
		again   bool
		summary dispatch.Summary
		want    bool
	}{
		{"new, in time", false, dispatch.Summary{}, false},
		{"new, late", false, dispatch.Summary{Took: time.Second}, true},
		{"sent before", false, dispatch.Summary{Resent: true}, true},
		{"its caller came again", true, dispatch.Summary{}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := logLines(func(o *node.Observer) {
				takeJob(o)
				placeTasks(o, 1, 2)
				if test.again {
					o.Resubmitted(&dispatch.Request{Job: 7, RequestID: "r-2"}, dispatch.HeldJob{FormerRequestID: "r-1", Runs: 2, Callers: 1})
				}
				o.Answered(7, &route.Route{}, dispatch.Answer{State: verdict.Complete}, test.summary)
			})
			last := lines[len(lines)-1]
			qt.Assert(t, strings.Contains(last, history), qt.Equals, test.want)
			qt.Assert(t, strings.Contains(last, "agents=here"), qt.Equals, !test.want)
			if test.again {
				qt.Assert(t, lines[1], qt.Contains, "former_request=r-1")
			}
		})
	}
}

// TestCutLines checks the log lines of a cut that begins and ends.
func TestCutLines(t *testing.T) {
	lines := logLines(func(o *node.Observer) {
		o.CutChanged(shares.Status{Service: "publish", Team: "news", Demand: 31.234, Part: 10, Capacity: 40, Cut: true})
		o.CutChanged(shares.Status{Service: "publish", Team: "news"})
	})
	qt.Assert(t, lines, qt.HasLen, 2)
	for _, part := range []string{"msg=share_cut_began", "service=publish", "team=news", "demand_cores=31.23", "part_cores=10", "capacity_cores=40"} {
		qt.Assert(t, lines[0], qt.Contains, part)
	}
	qt.Assert(t, lines[1], qt.Contains, "msg=share_cut_ended")
}

// TestDroppedDemandIsLoggedOnceASecond guards against a log that an entry fills with reports of demand that can't be true.
func TestDroppedDemandIsLoggedOnceASecond(t *testing.T) {
	from := time.Unix(1000, 0)
	lines := logLines(func(o *node.Observer) {
		for _, after := range []time.Duration{0, 1, 999 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			o.DemandDropped(from.Add(after), 7, errors.New("absurd"))
		}
	})
	qt.Assert(t, lines, qt.HasLen, 2)
	qt.Assert(t, lines[0], qt.Contains, "msg=demand_dropped")
	qt.Assert(t, lines[0], qt.Contains, "error=absurd")
}

// TestWaitsLine checks that the log line of a task that waits says for how long, and what keeps it from the upstreams.
func TestWaitsLine(t *testing.T) {
	task := job.TaskID{Job: 7, Index: 2}
	lines := logLines(func(o *node.Observer) {
		o.Waits(dispatch.Waiting{
			Task: task, Waited: 3 * time.Second, Caution: crash.Suspected,
			Causes: map[dispatch.WaitCause]int{dispatch.SetAside: 1, dispatch.NoLabel: 12},
		})
	})
	for _, part := range []string{"msg=task_waits", "task=" + task.String(), "waited_ms=3000", "caution=suspected", "upstreams_set_aside=1", "upstreams_no_label=12"} {
		qt.Check(t, lines[0], qt.Contains, part)
	}
}
