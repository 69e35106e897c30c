// Package dispatch keeps an entry's jobs and places their tasks on upstreams. It is a state machine without
// I/O and without a clock of its own; one goroutine uses it.
//
// The entry that holds a caller's connection acts for the job. Nothing is kept elsewhere: when the entry is
// lost, agents stop its runs, and the caller sends the job again.
package dispatch

import (
	"math/rand/v2"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
)

// CallerID names one request of a caller that waits for an answer.
type CallerID uint64

// Request is a job as a caller submits it.
type Request struct {
	Job  job.ID
	Spec *job.Spec
	// Route is the queue's configuration when the request came.
	Route  route.Route
	Caller CallerID
	// Sender is the caller's own id of the request, for the log; it may be empty.
	Sender string
	// Deadline is when the caller stops waiting; zero is never.
	Deadline time.Time
}

// Answer is the final word on a request.
type Answer struct {
	State   verdict.State
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// RetryAfter is when to come back, with a refusal.
	RetryAfter time.Duration
}

// Agents sends to agents.
type Agents interface {
	Order(agent ident.Incarnation, o fleet.Order)
	Stop(agent ident.Incarnation, task job.TaskID, run job.Run)
}

// Callers answers callers.
type Callers interface {
	Answer(c CallerID, a Answer)
}

// Observer is told of decisions, for logs and metrics.
type Observer interface {
	// Taken is called when a job is taken.
	Taken(r *Request)
	// Placed is called for each order.
	Placed(j job.ID, agent ident.UpstreamName, o *fleet.Order, waited time.Duration)
	// Ended is called for each end of a run that this entry ordered.
	Ended(agent ident.UpstreamName, e fleet.End, next string)
	// Answered is called once for each job.
	Answered(j job.ID, r *route.Route, a Answer, s Summary)
	// Lost is called when an agent is lost, and again when its runs are settled.
	Lost(agent ident.UpstreamName, runs int, event string)
}

// Allowed tells whether configuration lets an upstream serve a service.
type Allowed func(ident.UpstreamName, ident.Zone, ident.Service) bool

// Summary is what a job's answer rests on.
type Summary struct {
	// Took is the time since the job was submitted, Waited until its first task was placed.
	Took, Waited time.Duration
	Objective    time.Duration
	// Sender is the newest caller's own id of the request.
	Sender string
	// Tasks is the number of tasks, Runs that of their runs, Failures that of the failed ones.
	Tasks, Runs, Failures int
	// Longest is the run time of the longest task.
	Longest time.Duration
	// Blamed are the upstreams that failed, stalled or lost a run.
	Blamed []ident.UpstreamID
	// Queued is the number of jobs that waited for room when the answer was given.
	Queued int
}

// Options are the settings of a Table.
type Options struct {
	Timing fleet.Timing
	// Zone is this entry's availability zone.
	Zone ident.Zone
	// MaxQueue bounds the jobs that wait for room; more are refused.
	MaxQueue int
	// MaxTasks bounds one job.
	MaxTasks int
	// Without leaves out safety rules, for experiments only.
	Without rule.Set
}

// Table holds the jobs of one entry.
type Table struct {
	opts     Options
	agentsIO Agents
	callers  Callers
	observer Observer
	rng      *rand.Rand

	jobs   map[job.ID]*jobState
	queues map[ident.Service]*queue
	// queued lists the queues in the order in which they were made, so that runs repeat.
	queued []*queue
	agents map[ident.Incarnation]*agent
	// order lists the agents in the order in which they were linked, so that runs repeat.
	order []*agent
	// ticked is when Tick was last called. The process last stood still from stoodFrom until woke.
	ticked, stoodFrom, woke time.Time
	// pace is the median of the upstreams' paces.
	pace float64
	// allowed tells whether configuration lets an upstream serve a service.
	allowed Allowed
}

// phase is where a task stands.
type phase string

const (
	// blocked: a step before it has not ended.
	blocked phase = "blocked"
	// waiting: it can be placed.
	waiting phase = "waiting"
	// placed: an agent has, or may have, it.
	placed phase = "placed"
	// lost: its agent is lost, and it may still run there.
	lost phase = "lost"
	// over: nothing remains to be done.
	over phase = "over"
)

// task is one task of a job.
type task struct {
	id    job.TaskID
	job   *jobState
	phase phase
	// run is the newest run's number.
	run        job.Run
	agent      *agent
	placedAt   time.Time
	failures   int
	checkpoint string
	// avoid lists upstreams that failed or stalled the task.
	avoid []ident.UpstreamID
	// stopping is true once a stop was sent for the newest run.
	stopping bool
}

// jobState is one job.
type jobState struct {
	id    job.ID
	spec  *job.Spec
	route route.Route
	// callers wait for the answer; there are several when the job was sent again while it was held.
	callers   []CallerID
	sender    string
	submitted time.Time
	deadline  time.Time
	objective time.Duration
	// startBy is until when the job can be in time, were it placed at once.
	startBy time.Time

	steps     [][]*task
	left      []int
	remaining int
	waiting   int
	out       int
	failures  int
	runs      int
	longest   time.Duration
	blamed    []ident.UpstreamID
	firstAt   time.Time
	// begun is true once a run was, or may have been, started.
	begun bool
	// ending is true once the job was answered or given up, while runs of it may remain.
	ending bool
	// again was submitted meanwhile, under the same id.
	again []Request
}

// New returns an empty Table. The seed makes runs repeatable.
func New(o Options, a Agents, c Callers, ob Observer, seed uint64) *Table {
	return &Table{
		opts: o, agentsIO: a, callers: c, observer: ob, rng: rand.New(rand.NewPCG(seed, 0)),
		jobs: make(map[job.ID]*jobState), queues: make(map[ident.Service]*queue),
		agents: make(map[ident.Incarnation]*agent), pace: 1,
		allowed: func(ident.UpstreamName, ident.Zone, ident.Service) bool { return true },
	}
}

// SetAllowed replaces what configuration lets upstreams serve.
func (t *Table) SetAllowed(f Allowed) { t.allowed = f }

// Jobs returns how many jobs are held, those that are only being stopped included.
func (t *Table) Jobs() int { return len(t.jobs) }

// Held tells whether a job waits for its answer.
func (t *Table) Held(id job.ID) bool {
	j := t.jobs[id]
	return j != nil && (!j.ending || len(j.again) > 0)
}

// Unanswered returns how many jobs have callers that wait.
func (t *Table) Unanswered() int {
	n := 0
	for _, j := range t.jobs {
		if !j.ending || len(j.again) > 0 {
			n++
		}
	}
	return n
}

// NotBegun counts a queue's jobs none of whose tasks has begun.
func (t *Table) NotBegun(r route.Name) int {
	n := 0
	for _, j := range t.jobs {
		if !j.begun && !j.ending && j.route.Name == r {
			n++
		}
	}
	return n
}

// Submit takes a job, or answers at once why not.
func (t *Table) Submit(now time.Time, r Request) {
	if j := t.jobs[r.Job]; j != nil {
		t.submitAgain(now, j, r)
		return
	}
	if a, ok := t.refusal(now, r); ok {
		t.callers.Answer(r.Caller, a)
		t.observer.Answered(r.Job, &r.Route, a, Summary{Sender: r.Sender, Tasks: r.Spec.Tasks(), Queued: t.waitingJobs()})
		return
	}
	t.observer.Taken(&r)
	t.begin(now, r)
	t.Pump(now)
}

// wakeWindow is how long after a standstill a request may be one that came during it.
const wakeWindow = 200 * time.Millisecond

// deadline is when a request's caller surely waits no longer. A request that came while the process stood still
// may have waited all that time; its caller may be about to send it elsewhere.
func (t *Table) deadline(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() || t.woke.IsZero() || now.Sub(t.woke) > wakeWindow {
		return r.Deadline
	}
	return r.Deadline.Add(-now.Sub(t.stoodFrom))
}

// refusal says why a job can't be taken.
func (t *Table) refusal(now time.Time, r Request) (Answer, bool) {
	refused := Answer{State: verdict.Refused, Verdict: verdict.NotRun, RetryAfter: refusedRetry}
	switch {
	case r.Spec.Unsupported != "" || !r.Spec.BestEffort:
		refused.Reason = verdict.Unsupported
	case r.Spec.Tasks() > t.opts.MaxTasks:
		refused.Reason = verdict.TooLarge
	case t.waitingJobs() >= t.opts.MaxQueue:
		refused.Reason = verdict.Overloaded
	case !r.Deadline.IsZero() && !now.Before(t.deadline(now, r)):
		refused.Reason = verdict.Deadline
	default:
		return Answer{}, false
	}
	return refused, true
}

// refusedRetry is when a refused caller may come back: as long as a burst's queue takes to drain, about the
// objective of the longest kind of job that either user sends.
const refusedRetry = time.Second

// submitAgain handles a job whose id is held already.
func (t *Table) submitAgain(now time.Time, j *jobState, r Request) {
	switch {
	case j.spec.Text != r.Spec.Text || j.spec.Tasks() != r.Spec.Tasks():
		t.callers.Answer(r.Caller, Answer{State: verdict.Refused, Verdict: verdict.MayHaveRun, Reason: verdict.DifferentBody})
	case j.ending:
		// Its old runs are being stopped; only then may it run anew.
		j.again = append(j.again, r)
		t.forget(now, j)
	default:
		j.callers = append(j.callers, r.Caller)
		j.sender = r.Sender
		if deadline := t.deadline(now, r); deadline.After(j.deadline) {
			j.deadline = deadline
		}
	}
}

// begin makes a job's state and queues its first steps.
func (t *Table) begin(now time.Time, r Request) {
	chain := r.Spec.Chain()
	deadline := t.deadline(now, r)
	j := &jobState{
		id: r.Job, spec: r.Spec, route: r.Route, callers: []CallerID{r.Caller}, sender: r.Sender, submitted: now, deadline: deadline,
		objective: r.Route.Objective(chain), steps: make([][]*task, len(r.Spec.Steps)), left: make([]int, len(r.Spec.Steps)),
	}
	j.startBy = now.Add(j.objective / waitShare)
	if !t.anyReady(r.Route.Service) {
		// After an outage upstreams come back within moments: as long as the job can be in time, it waits for them.
		spare := j.objective - time.Duration(t.pace*float64(chain)) - answerTime
		j.startBy = now.Add(max(spare, j.objective/waitShare))
	}
	for i, step := range r.Spec.Steps {
		for k := range step.Count {
			id := job.TaskID{Job: r.Job, Step: uint32(i), Index: k}
			j.steps[i] = append(j.steps[i], &task{id: id, job: j, phase: blocked})
		}
		j.left[i] = int(step.Count)
		j.remaining += int(step.Count)
	}
	t.jobs[j.id] = j
	t.unblock(j)
}

// waitShare: a job waits for room for the fourth part of its objective. Under overload all jobs wait as long as they
// may, so that what is allowed decides how many of those that run are late; a queue of a few milliseconds is enough
// to keep all upstreams busy.
const waitShare = 4

// answerTime is what of an objective goes to networks and to handling a job: 3 ms each way to callers, and as much
// for two hops inside.
const answerTime = 10 * time.Millisecond

// anyReady tells whether any upstream of a service takes work now.
func (t *Table) anyReady(s ident.Service) bool {
	for _, a := range t.order {
		if a.linked && a.described && a.up.Service == s && a.room.State == fleet.Ready {
			return true
		}
	}
	return false
}

// unblock queues the tasks of steps whose earlier steps have all ended.
func (t *Table) unblock(j *jobState) {
	for i, step := range j.spec.Steps {
		ready := true
		for _, before := range step.After {
			ready = ready && j.left[before] == 0
		}
		if !ready {
			continue
		}
		for _, k := range j.steps[i] {
			if k.phase == blocked {
				t.wait(k)
			}
		}
	}
}

// wait queues a task.
func (t *Table) wait(k *task) {
	k.phase, k.agent, k.stopping = waiting, nil, false
	k.job.waiting++
	if k.job.waiting == 1 {
		t.queue(k.job.route.Service).add(k.job)
	}
}

// unwait takes a task out of its queue.
func (t *Table) unwait(k *task) {
	k.job.waiting--
	if k.job.waiting == 0 {
		t.queue(k.job.route.Service).remove(k.job)
	}
}

// Abandon handles a caller that has gone: with the last one, nobody wants the job any more.
func (t *Table) Abandon(now time.Time, id job.ID, c CallerID) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	j.again = without(j.again, c)
	for i, have := range j.callers {
		if have == c {
			j.callers = append(j.callers[:i], j.callers[i+1:]...)
			break
		}
	}
	if len(j.callers) == 0 && !j.ending {
		t.close(now, j, Answer{State: verdict.Unresolved, Verdict: runVerdict(j), Reason: verdict.CallerGone})
	}
	t.Pump(now)
}

func without(rs []Request, c CallerID) []Request {
	out := rs[:0]
	for _, r := range rs {
		if r.Caller != c {
			out = append(out, r)
		}
	}
	return out
}

// Cancel ends a job at its caller's wish, and tells whether there was one.
func (t *Table) Cancel(now time.Time, id job.ID) bool {
	j := t.jobs[id]
	if j == nil || j.ending {
		return false
	}
	t.close(now, j, Answer{State: verdict.Unresolved, Verdict: runVerdict(j), Reason: verdict.Cancelled})
	t.Pump(now)
	return true
}

func runVerdict(j *jobState) verdict.Verdict {
	if j.begun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// close gives a job's final answer, stops what still runs of it and forgets it once nothing does.
func (t *Table) close(now time.Time, j *jobState, a Answer) {
	j.ending = true
	s := Summary{
		Sender: j.sender, Took: now.Sub(j.submitted), Objective: j.objective, Tasks: j.spec.Tasks(), Runs: j.runs, Failures: j.failures,
		Longest: j.longest, Blamed: j.blamed, Queued: t.waitingJobs(),
	}
	if !j.firstAt.IsZero() {
		s.Waited = j.firstAt.Sub(j.submitted)
	}
	for _, c := range j.callers {
		t.callers.Answer(c, a)
	}
	j.callers = nil
	t.observer.Answered(j.id, &j.route, a, s)
	for _, step := range j.steps {
		for _, k := range step {
			t.drop(k)
		}
	}
	t.forget(now, j)
}

// drop ends a task of a job that is being closed.
func (t *Table) drop(k *task) {
	switch k.phase {
	case waiting:
		t.unwait(k)
		k.phase = over
	case blocked:
		k.phase = over
	case placed:
		t.stop(k)
	}
}

// stop asks a task's agent to stop its run.
func (t *Table) stop(k *task) {
	if k.stopping {
		return
	}
	k.stopping = true
	t.agentsIO.Stop(k.agent.id, k.id, k.run)
}

// forget removes a closed job of which nothing remains, and begins it anew if it was submitted again.
func (t *Table) forget(now time.Time, j *jobState) {
	if !j.ending || j.out > 0 && !(t.opts.Without.Off(rule.StopsFirst) && len(j.again) > 0) {
		return
	}
	delete(t.jobs, j.id)
	for _, r := range j.again {
		t.Submit(now, r)
	}
}

func (t *Table) waitingJobs() int {
	n := 0
	for _, q := range t.queued {
		n += len(q.jobs)
	}
	return n
}
