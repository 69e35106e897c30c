package dispatch

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/entry/placement"
	"hillreel/internal/entry/queue"
)

// queue returns the queue of a service and creates it if necessary.
func (t *Table) queue(s ident.Service) *queue.Queue[*jobState] {
	q := t.queues[s]
	if q == nil {
		q = queue.New[*jobState](s)
		t.queues[s] = q
		t.queueList = append(t.queueList, q)
	}
	return q
}

// Rank returns the job's sort key among waiting jobs.
func (j *jobState) Rank() queue.Rank {
	return queue.Rank{Begun: j.begun, Late: j.late, PlaceBy: j.placeBy, WaitUntil: j.waitUntil, Priority: j.route.Priority, Job: j.id}
}

// compareJobs orders jobs by their rank in the queue.
func compareJobs(a, b *jobState) int { return queue.Compare(a.Rank(), b.Rank()) }

// placeAll places as many waiting tasks as fit at any agent.
func (t *Table) placeAll(now time.Time) {
	t.unplaced = false
	t.placeAmong(now, t.agentList)
	t.updateClaims(now)
}

// placeAt places as many waiting tasks as fit at one agent that has reported its free capacity. Tasks that found no
// capacity before can only find it there, so the other agents are not examined. With sorted paces a report then takes 0.75
// us at both 70 and 2,100 agents (BenchmarkRoom). Examining all agents and sorting their paces would take 11 us and 890 us.
func (t *Table) placeAt(now time.Time, a *agentState) {
	if a.AcceptsWork() {
		t.placeAmong(now, []*agentState{a})
		t.updateClaims(now)
	}
}

// placeAmong places as many waiting tasks as fit at some of the agents. Suspected tasks that still wait do not count as
// waiting for capacity, because they need an upstream of their own and capacity left by other jobs does not help them.
func (t *Table) placeAmong(now time.Time, among []*agentState) {
	if t.isListening() {
		return
	}
	for _, q := range t.queueList {
		if anyRoom(q, among) {
			t.offerRoom(now, q, among)
		}
		if q.HasInTime() {
			t.shortAt[q.Service] = now
		}
	}
}

// isListening reports whether the process was paused and places nothing until it has heard which callers are gone.
func (t *Table) isListening() bool {
	return t.contact.listenRemaining > 0 && !t.opts.Without.Has(rule.HearEnds)
}

// placeJob places as many tasks of a job as fit. It reports whether tasks that are not suspected still wait.
func (t *Table) placeJob(now time.Time, j *jobState, among []*agentState) (waits bool) {
	for s := range j.steps {
		if len(j.steps[s].waiting) > 0 && t.placeStep(now, j, s, among) {
			waits = true
		}
	}
	return waits
}

// placeStep places as many tasks of a step as fit, with one order per agent and an order of its own for each suspected
// task. It reports whether tasks that are not suspected still wait.
func (t *Table) placeStep(now time.Time, j *jobState, s int, among []*agentState) (waits bool) {
	if t.noRoom.covers(j.spec.Steps[s].Each) {
		return true
	}
	suspects, others := t.splitSuspects(now, j.steps[s].waiting)
	t.placeSuspects(now, suspects, among)
	orders := make(map[*agentState]*fleet.Order)
	var agents []*agentState
	tries := 0
	for _, k := range others {
		a, declined := t.choose(now, k, among)
		if a == nil {
			waits = waits || !declined
			if tries++; t.speaksForOthers(k) || tries == maxFailedChoices {
				break
			}
			continue
		}
		o := orders[a]
		if o == nil {
			o = t.newOrder(a, j, s)
			orders[a] = o
			agents = append(agents, a)
		}
		t.assign(now, k, a, o)
		t.storeSharedStart(now, k)
	}
	for _, a := range agents {
		t.send(now, a, orders[a])
	}
	return waits
}

// maxFailedChoices bounds the tasks of a step for which no upstream is found before the others are not tried any more.
const maxFailedChoices = 8

// speaksForOthers reports whether a task for which no upstream was found shows that none would be found for the other tasks
// of its step: those may be less particular if it has run before, unless all room is too small.
func (t *Table) speaksForOthers(k *task) bool { return k.run == 0 || t.noRoom.covers(t.step(k).Each) }

// newOrder returns an order to an agent for one step that has no tasks yet.
func (t *Table) newOrder(a *agentState, j *jobState, s int) *fleet.Order {
	step := &j.spec.Steps[s]
	o := &fleet.Order{Job: j.id, Step: uint32(s), Spec: j.spec.Text, Each: step.Each, Estimate: step.Estimate, Kept: j.kept}
	if a.IsRemote(step) {
		o.RemoteFactor = t.opts.RemoteFactor
	}
	return o
}

// assign records that a task goes to an agent and adds it to the order.
func (t *Table) assign(now time.Time, k *task, a *agentState, o *fleet.Order) {
	t.dequeue(k)
	j := k.job
	k.run++
	k.runID = t.nextRunID()
	k.phase, k.agent, k.placedAt = placed, a, now
	a.runs[k.id] = k
	if a.Probing() {
		j.probedAt = now
	}
	a.Reserve(o.Each)
	j.outstanding++
	j.runs++
	j.begun = true
	if j.firstAt.IsZero() {
		j.firstAt = now
	}
	o.Tasks = append(o.Tasks, fleet.TaskRun{
		Index: k.id.Index, Run: k.run, ID: k.runID, Failures: uint32(j.failures), Stalls: j.stallsBefore(k), Checkpoint: k.checkpoint,
	})
}

// nextRunID returns an id that no other run has had.
func (t *Table) nextRunID() fleet.RunID {
	if t.opts.Without.Has(rule.RunIDs) {
		return 0
	}
	t.lastRunID++
	return t.lastRunID
}

// send numbers an order and sends it to its agent.
func (t *Table) send(now time.Time, a *agentState, o *fleet.Order) {
	a.AssignSeq(o)
	t.useClaim(a, o)
	t.observer.Placed(o.Job, a.Name, o, now.Sub(t.jobs[o.Job].submitted))
	t.agentsIO.Order(a.ID, *o)
}

// choose returns the agent among some for a task, or nil if none fits: the cheapest of a small sample of those that could
// take it and end it in time, else of those at which it should rather be late than wait. A task that prefers a rack is rated
// against all agents, because being close to its data matters more to it than avoiding races between entries. declined is set
// if the task has left room to others in order to wait for room near its data.
func (t *Table) choose(now time.Time, k *task, among []*agentState) (best *agentState, declined bool) {
	step := &k.job.spec.Steps[k.id.Step]
	near := t.near(k)
	prefer := t.preferenceOf(now, k)
	defer func() { k.noteLeftRoom(now, prefer) }()
	foundRoom := false
	hasRoom := func(a *agentState) bool {
		if !a.CanTake(k.job.route.Service, step) {
			return false
		}
		foundRoom = true
		if !t.eligible(a, k, prefer) || t.leavesProbe(now, a, k.job) || t.reservedForOthers(now, a, k) || t.isProbablyTaken(now, a, k) {
			return false
		}
		if !t.declines(now, a, k, near) {
			return true
		}
		declined = true
		return false
	}
	mayTake := false
	inTime := func(a *agentState) bool {
		if !hasRoom(a) {
			return false
		}
		offer := t.offer(now, a, k)
		if offer.InTime() {
			return true
		}
		mayTake = mayTake || offer.Take()
		return false
	}
	best = t.cheapest(step, among, inTime)
	if !foundRoom && step.Requires == "" {
		t.noRoom.add(step.Each)
	}
	if best != nil || !mayTake {
		if best == nil && declined {
			t.setDeclined(now, k)
		}
		return best, declined
	}
	late := func(a *agentState) bool {
		offer := t.offer(now, a, k)
		return offer.Take() && hasRoom(a)
	}
	return t.cheapest(step, among, late), declined
}

// cheapest returns the cheapest of the agents that may take a task of a step.
func (t *Table) cheapest(step *job.Step, among []*agentState, mayTake func(*agentState) bool) *agentState {
	cost := func(a *agentState) float64 { return t.cost(a, step) }
	if step.Prefers != "" {
		return placement.Cheapest(among, mayTake, cost)
	}
	return placement.CheapestOfSample(t.rng, among, mayTake, cost)
}

// cost rates an upstream for a task of a step; lower is better.
func (t *Table) cost(a *agentState, step *job.Step) float64 {
	return a.Cost(t.paceFor(a, step)/t.pace, a.RemoteFactor(step, t.opts.RemoteFactor), t.opts.Zone, t.rng)
}

// runTime returns how long a task of a step should take on an upstream that has a pace.
func (t *Table) runTime(a *agentState, step *job.Step, pace float64) time.Duration {
	return time.Duration(pace * a.RemoteFactor(step, t.opts.RemoteFactor) * float64(step.Estimate))
}

// restoreTime returns how long the next run of a task restores the task's checkpoint before it makes progress.
func (t *Table) restoreTime(k *task) time.Duration {
	if k.checkpoint == "" {
		return 0
	}
	return t.opts.RestoreTime
}

// lastResortMargin is how long before a job's wait ends it accepts a slow upstream at which it will be late: the duration
// of one tick.
const lastResortMargin = 20 * time.Millisecond

// offer rates the room at an agent's upstream for a task by when the task would end.
func (t *Table) offer(now time.Time, a *agentState, k *task) placement.Offer {
	j := k.job
	step := &j.spec.Steps[k.id.Step]
	took := now.Sub(j.submitted) + t.restoreTime(k)
	return placement.Offer{
		Here: took + t.runTime(a, step, t.paceFor(a, step)), Elsewhere: took + time.Duration(t.pace*float64(step.Estimate)),
		Objective: j.objective, LastResort: !now.Before(j.waitUntil.Add(-lastResortMargin)),
	}
}

// eligible reports whether a task may go to an agent now.
func (t *Table) eligible(a *agentState, k *task, prefer *preference) bool {
	service := k.job.route.Service
	return a.CanTake(service, t.step(k)) && t.permits(a, service) && !t.hasMaxTasks(a, k) && !prefer.setsAside(a)
}

// hasMaxTasks reports whether an agent has as many tasks of a task's step as may share an upstream.
func (t *Table) hasMaxTasks(a *agentState, k *task) bool {
	limit := int(k.job.spec.Steps[k.id.Step].MaxPerUpstream)
	return limit > 0 && t.countTasksAt(a, k) >= limit
}

// countTasksAt counts the tasks of the same step that an agent has.
func (t *Table) countTasksAt(a *agentState, k *task) int {
	n := 0
	for _, other := range k.job.steps[k.id.Step].tasks {
		if other.agent == a && (other.phase == placed || other.phase == lost) {
			n++
		}
	}
	return n
}
