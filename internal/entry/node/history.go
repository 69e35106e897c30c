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
	// maxSteps bounds the steps recorded for one job. The first steps are kept, since the end of a long history says the least.
	maxSteps = 24
	// maxListed bounds the items that one log line or step lists.
	maxListed = 24
)

// jobHistory records what happens to a job until it is answered; the log calls it the job's "way".
type jobHistory struct {
	// requestID is the id that the job's first caller gave to its request.
	requestID string
	// steps are the texts that the log shows.
	steps []string
	// agents names the agents that got orders, each once.
	agents []string
	// formerRuns holds, for each task that was or will be placed again, its former run.
	formerRuns map[job.TaskID]formerRun
	// resent is true if the caller sent the job again while the entry held it.
	resent bool
}

// formerRun is the end of a task's run that preceded its next run. Its zero value means that there was none.
type formerRun struct {
	run     job.Run
	outcome job.Outcome
	reason  fleet.Reason
	agent   ident.UpstreamName
}

// mayHaveStarted reports whether a run may have started. A run that its agent itself refused has not started; such refusals are common
// where entries compete for room.
func (r *formerRun) mayHaveStarted() bool {
	switch {
	case r.run == 0:
		return false // there was no run
	case r.outcome != job.NotStarted:
		return true
	}
	switch r.reason {
	case fleet.NoRoom, fleet.NotAccepting, fleet.ZoneCordoned, fleet.StaleSession, fleet.Refused:
		return false
	}
	return true
}

// addStep records a step unless there are maxSteps already.
func (h *jobHistory) addStep(step string) {
	if len(h.steps) < maxSteps {
		h.steps = append(h.steps, step)
	}
}

// summary returns the steps as one text for the log.
func (h *jobHistory) summary() string { return strings.Join(h.steps, "; ") }

// noteEnd records the end of a run whose task may be placed again. If the task's recorded run may have started, only another run that may
// have started replaces it.
func (h *jobHistory) noteEnd(agent ident.UpstreamName, e fleet.End) {
	if h.formerRuns == nil {
		h.formerRuns = make(map[job.TaskID]formerRun)
	}
	now, before := formerRun{e.Run, e.Outcome, e.Reason, agent}, h.formerRuns[e.Task]
	if now.mayHaveStarted() || !before.mayHaveStarted() {
		h.formerRuns[e.Task] = now
	}
}

// notePlacement records an order. It returns a text for each task that is placed again, which says how its former run ended. Tasks whose
// former runs have certainly not started are left out.
func (h *jobHistory) notePlacement(agent ident.UpstreamName, o *fleet.Order, waited time.Duration) (again []string) {
	if !slices.Contains(h.agents, string(agent)) {
		h.agents = append(h.agents, string(agent))
	}
	var tasks []string
	for i, t := range o.Tasks {
		id := o.Task(i)
		tasks = append(tasks, runName(fleet.RunRef{Task: id, Run: t.Run}))
		if former := h.formerRuns[id]; former.mayHaveStarted() {
			again = append(again, fmt.Sprintf("%s after run %d %s %s at %s", tasks[i], former.run, former.outcome, former.reason, former.agent))
		}
	}
	if len(h.steps) < maxSteps {
		h.addStep(fmt.Sprintf("+%dms place %d at %s: %s", waited.Milliseconds(), len(tasks), agent, joinLimited(tasks, ", ")))
	}
	return again
}

// runName returns the name of a run within its job.
func runName(r fleet.RunRef) string {
	return fmt.Sprintf("%d.%d run %d", r.Task.Step, r.Task.Index, r.Run)
}

// formatRuns lists runs by their names within their job, each with its agent.
func formatRuns(runs []dispatch.RunAt) string {
	var out []string
	for _, r := range runs {
		out = append(out, runName(r.RunRef)+" at "+string(r.Agent))
	}
	return joinLimited(out, "; ")
}

// joinLimited joins the first maxListed items and, if there are more, appends how many were left out.
func joinLimited(items []string, separator string) string {
	if more := len(items) - maxListed; more > 0 {
		items = append(items[:maxListed:maxListed], fmt.Sprintf("%d more", more))
	}
	return strings.Join(items, separator)
}
