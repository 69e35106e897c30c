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
	maxListed = 24
)

// way is what is kept of a job until it is answered.
type jobHistory struct {
	// sender is its first caller's own id of the request.
	requestID string
	// steps are in the words of the log.
	steps []string
	// agents are those that were sent orders, each once.
	agents []string
	// former are the ends of runs whose tasks were, or are to be, placed again.
	formerRuns map[job.TaskID]formerRun
	// cameAgain: its caller came again while it was held.
	resent bool
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
func (r *formerRun) mayHaveStarted() bool {
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
func (w *jobHistory) addStep(step string) {
	if len(w.steps) < maxSteps {
		w.steps = append(w.steps, step)
	}
}

// text is the way in the words of the log.
func (w *jobHistory) summary() string { return strings.Join(w.steps, "; ") }

// ended notes a run whose task may be placed again. One that may have begun is remembered until another may have.
func (w *jobHistory) noteEnd(agent ident.UpstreamName, e fleet.End) {
	if w.formerRuns == nil {
		w.formerRuns = make(map[job.TaskID]formerRun)
	}
	now, before := formerRun{e.Run, e.Outcome, e.Reason, agent}, w.formerRuns[e.Task]
	if now.mayHaveStarted() || !before.mayHaveStarted() {
		w.formerRuns[e.Task] = now
	}
}

// placed notes an order, and returns those of its tasks that are placed again with what became of their former runs. Tasks whose former
// runs have surely not begun are left out.
func (w *jobHistory) notePlacement(agent ident.UpstreamName, o *fleet.Order, waited time.Duration) (again []string) {
	if !slices.Contains(w.agents, string(agent)) {
		w.agents = append(w.agents, string(agent))
	}
	var tasks []string
	for i, t := range o.Tasks {
		id := o.Task(i)
		tasks = append(tasks, runName(fleet.RunRef{Task: id, Run: t.Run}))
		if former := w.formerRuns[id]; former.mayHaveStarted() {
			again = append(again, fmt.Sprintf("%s after run %d %s %s at %s", tasks[i], former.run, former.outcome, former.reason, former.agent))
		}
	}
	if len(w.steps) < maxSteps {
		w.addStep(fmt.Sprintf("+%dms place %d at %s: %s", waited.Milliseconds(), len(tasks), agent, joinLimited(tasks, ", ")))
	}
	return again
}

// name names a run within its job.
func runName(r fleet.RunRef) string {
	return fmt.Sprintf("%d.%d run %d", r.Task.Step, r.Task.Index, r.Run)
}

// runsAt names runs within their job, each with its agent.
func formatRuns(runs []dispatch.RunAt) string {
	var out []string
	for _, r := range runs {
		out = append(out, runName(r.RunRef)+" at "+string(r.Agent))
	}
	return joinLimited(out, "; ")
}

// list joins items; of many it has the first ones, and how many there are besides.
func joinLimited(items []string, between string) string {
	if more := len(items) - maxListed; more > 0 {
		items = append(items[:maxListed:maxListed], fmt.Sprintf("%d more", more))
	}
	return strings.Join(items, between)
}
