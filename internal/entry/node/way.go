package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/entry/dispatch"
)

const (
	// maxSteps bounds the steps that are kept of one job's way; the end of a long way says the least.
	maxSteps = 24
	// maxNamed bounds the runs that are named in one line or step.
	maxNamed = 24
)

// way is what is kept of a job until it is answered.
type way struct {
	// sender is its first caller's own id of the request.
	sender string
	// steps are in the words of the log.
	steps []string
	// agents are those that were sent orders, each once.
	agents []string
	// former are the ends of runs whose tasks were, or are to be, placed again.
	former map[job.TaskID]formerRun
	// cameAgain: its caller came again while it was held.
	cameAgain bool
}

// formerRun is a task's run before the next one.
type formerRun struct {
	run     job.Run
	outcome job.Outcome
	reason  fleet.Reason
	agent   ident.UpstreamName
}

// mayHaveBegun tells whether more than an agent's own refusal is known of a run: that one has begun nothing, and is common where entries
// race for room.
func (r *formerRun) mayHaveBegun() bool {
	switch {
	case r.run == 0:
		return false // there was none
	case r.outcome != job.NotStarted:
		return true
	}
	switch r.reason {
	case fleet.NoRoom, fleet.NotAccepting, fleet.ZoneCordoned, fleet.StaleSession, fleet.Refused:
		return false
	}
	return true
}

// add adds a step, unless there are many.
func (w *way) add(step string) {
	if len(w.steps) < maxSteps {
		w.steps = append(w.steps, step)
	}
}

// text is the way in the words of the log.
func (w *way) text() string { return strings.Join(w.steps, "; ") }

// ended notes a run whose task may be placed again. One that may have begun is remembered until another may have.
func (w *way) ended(agent ident.UpstreamName, e fleet.End) {
	if w.former == nil {
		w.former = make(map[job.TaskID]formerRun)
	}
	now, before := formerRun{e.Run, e.Outcome, e.Reason, agent}, w.former[e.Task]
	if now.mayHaveBegun() || !before.mayHaveBegun() {
		w.former[e.Task] = now
	}
}

// placed notes an order, and returns those of its tasks that are placed again with what became of their former runs. Tasks whose former
// runs have surely not begun are left out.
func (w *way) placed(agent ident.UpstreamName, o *fleet.Order, waited time.Duration) (again []string) {
	if !slices.Contains(w.agents, string(agent)) {
		w.agents = append(w.agents, string(agent))
	}
	var tasks []string
	for i, t := range o.Tasks {
		id := o.Task(i)
		tasks = append(tasks, name(fleet.RunRef{Task: id, Run: t.Run}))
		if former := w.former[id]; former.mayHaveBegun() {
			again = append(again, fmt.Sprintf("%s after run %d %s %s at %s", tasks[i], former.run, former.outcome, former.reason, former.agent))
		}
	}
	if len(w.steps) < maxSteps {
		w.add(fmt.Sprintf("+%dms place %d at %s: %s", waited.Milliseconds(), len(tasks), agent, list(tasks, ", ")))
	}
	return again
}

// name names a run within its job.
func name(r fleet.RunRef) string {
	return fmt.Sprintf("%d.%d run %d", r.Task.Step, r.Task.Index, r.Run)
}

// runsAt names runs within their job, each with its agent.
func runsAt(runs []dispatch.RunAt) string {
	var out []string
	for _, r := range runs {
		out = append(out, name(r.RunRef)+" at "+string(r.Agent))
	}
	return list(out, "; ")
}

// list joins items; of many it has the first ones, and how many there are besides.
func list(items []string, between string) string {
	if more := len(items) - maxNamed; more > 0 {
		items = append(items[:maxNamed:maxNamed], fmt.Sprintf("%d more", more))
	}
	return strings.Join(items, between)
}
