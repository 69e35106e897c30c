package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// queue holds the jobs of one service that have tasks to place, the most urgent first.
type queue struct {
	service ident.Service
	jobs    []*jobState
}

// queue returns the queue of a service, a new one if there is none.
func (t *Table) queue(s ident.Service) *queue {
	q := t.queues[s]
	if q == nil {
		q = &queue{service: s}
		t.queues[s] = q
		t.queued = append(t.queued, q)
	}
	return q
}

// before orders jobs: those already begun first, since giving them up would waste their work; those that can't be in time
// last; then by the time until which they wait, wide ones earlier.
func before(a, b *jobState) int {
	return cmp.Or(cmpBool(b.begun, a.begun), cmpBool(a.late, b.late), a.goesBy.Compare(b.goesBy), cmp.Compare(a.route.Priority, b.route.Priority), cmp.Compare(a.id, b.id))
}

// cmpBool orders false before true.
func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// add puts a job into its place. A job that begins while others of its tasks wait keeps the place it had, and so does one
// of which nothing has begun after all: the list is in order but for those, and one that is added beside them may come
// out before or behind them.
func (q *queue) add(j *jobState) {
	i, _ := slices.BinarySearchFunc(q.jobs, j, before)
	q.jobs = slices.Insert(q.jobs, i, j)
}

// remove takes a job out.
func (q *queue) remove(j *jobState) {
	// The order may have changed since the job was added, so it is sought one by one.
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

// lookahead is how many jobs that do not fit are passed over for ones behind them that do. Passing over more
// would let small tasks hold up large ones. Those of which only suspected tasks wait do not count: what they wait for is no room that
// others could leave them.
const lookahead = 4

// pump places what fits anywhere.
func (t *Table) pump(now time.Time) {
	t.fresh = false
	t.place(now, t.order)
}

// fill places what fits at one agent that has told of its room: what has found no room before can find it only there. With the
// paces in order, news of room take 0.75 us at 70 agents and at 2,100 (BenchmarkRoom); to look at all agents and sort their paces takes
// 11 us and 890 us.
func (t *Table) fill(now time.Time, a *upstreamOf) {
	if a.Accepts() {
		t.place(now, []*upstreamOf{a})
	}
}

// place places what fits at some of the agents.
func (t *Table) place(now time.Time, among []*upstreamOf) {
	for _, q := range t.queued {
		missed := 0
		for i := 0; i < len(q.jobs) && missed < lookahead; {
			j := q.jobs[i]
			t.placeJob(now, j, among)
			if i < len(q.jobs) && q.jobs[i] == j {
				i++
				if !t.onlySuspects(j) {
					missed++
				}
			}
		}
	}
}

// placeJob places as many tasks of a job as fit.
func (t *Table) placeJob(now time.Time, j *jobState, among []*upstreamOf) {
	for s := range j.steps {
		if len(j.steps[s].waiting) > 0 {
			t.placeStep(now, j, s, among)
		}
	}
}

// placeStep places as many tasks of a step as fit, in one order for each agent.
func (t *Table) placeStep(now time.Time, j *jobState, s int, among []*upstreamOf) {
	t.placeSuspects(now, j, s, among)
	orders := make(map[*upstreamOf]*fleet.Order)
	var agents []*upstreamOf
	for _, k := range slices.Clone(j.steps[s].waiting) {
		if t.suspected(k) {
			continue
		}
		a := t.choose(now, k, among)
		if a == nil {
			break
		}
		o := orders[a]
		if o == nil {
			o = t.newOrder(j, s)
			orders[a] = o
			agents = append(agents, a)
		}
		t.assign(now, k, a, o)
	}
	for _, a := range agents {
		t.send(now, a, orders[a])
	}
}

// newOrder returns an order of one step without tasks.
func (t *Table) newOrder(j *jobState, s int) *fleet.Order {
	step := &j.spec.Steps[s]
	return &fleet.Order{Job: j.id, Step: uint32(s), Spec: j.spec.Text, Each: step.Each, Estimate: step.Estimate, Kept: j.kept}
}

// assign notes that a task goes to an agent.
func (t *Table) assign(now time.Time, k *task, a *upstreamOf, o *fleet.Order) {
	t.unwait(k)
	j := k.job
	k.run++
	k.runID = t.nextRunID()
	k.phase, k.agent = placed, a
	a.runs[k.id] = k
	a.Reserve(o.Each)
	j.out++
	j.runs++
	j.begun = true
	if j.firstAt.IsZero() {
		j.firstAt = now
	}
	o.Tasks = append(o.Tasks, fleet.TaskRun{
		Index: k.id.Index, Run: k.run, ID: k.runID, Failures: uint32(j.failures), Checkpoint: k.checkpoint,
	})
}

// nextRunID returns an id that no run has had.
func (t *Table) nextRunID() fleet.RunID {
	if t.opts.Without.Off(rule.RunIDs) {
		return 0
	}
	t.ordered++
	return t.ordered
}

// send sends an order.
func (t *Table) send(now time.Time, a *upstreamOf, o *fleet.Order) {
	a.Number(o)
	t.observer.Placed(o.Job, a.Name, o, now.Sub(t.jobs[o.Job].submitted))
	t.agentsIO.Order(a.ID, *o)
}

// draws is how many agents that could take a task are rated for it, from a place in their order that is drawn. Entries that rate all of them
// find the same one the cheapest and race for its room: with eleven entries and 65 upstreams asked for 0.63 of their room, 0.56
// orders found the room taken for each run begun, and with three draws 0.32, with the same jobs in time (hillreel load,
// deploy/plans/three_zones.ini; docs/design/decisions.md has other loads). It also ends the look at all agents, once three have room: a job
// of eight tasks and its ends take 41 to 58 us at 2,100 agents instead of 1,850 us (BenchmarkJob, a busy machine).
const draws = 3

// fewAgents is up to how many agents all are rated. With eleven, three draws leave 0.783 instead of 0.815 in time under lasting overload
// (TestOverload), since the emptiest is seldom among them.
const fewAgents = 24

// choose returns the agent among some for a task, or nil while nothing fits: the cheapest of a few that could take it. Where
// a task's data lie matters more than races, so that for one that prefers a rack all are rated.
func (t *Table) choose(now time.Time, k *task, among []*upstreamOf) *upstreamOf {
	step := &k.job.spec.Steps[k.id.Step]
	first, left := 0, len(among)
	if len(among) > fewAgents && step.Prefers == "" {
		first, left = t.rng.IntN(len(among)), draws
	}
	var best *upstreamOf
	var bestCost float64
	for i := range among {
		a := among[(first+i)%len(among)]
		if !t.eligible(a, k, step) || t.tooSlow(now, a, k) || t.reserved(now, a, k) {
			continue
		}
		c := a.Cost(step, t.opts.Zone, t.pace, t.rng)
		if best == nil || c < bestCost {
			best, bestCost = a, c
		}
		if left--; left == 0 {
			break
		}
	}
	return best
}

// lastResort is how long before a job gives up waiting an upstream is good enough on which it will be late: the time
// of one tick.
const lastResort = 20 * time.Millisecond

// tooSlow tells whether a task would make its job late on a slow upstream, while the job can still wait for another.
func (t *Table) tooSlow(now time.Time, a *upstreamOf, k *task) bool {
	if !a.Slow(t.pace) || !now.Before(k.job.startBy.Add(-lastResort)) {
		return false
	}
	estimate := k.job.spec.Steps[k.id.Step].Estimate
	end := now.Add(time.Duration(a.Room().Pace * float64(estimate)))
	return k.job.worthAt(end) < inTime
}

// eligible tells whether a task may go to an agent now.
func (t *Table) eligible(a *upstreamOf, k *task, step *job.Step) bool {
	service := k.job.route.Service
	if !a.Takes(service, step) || !t.open(a, service) {
		return false
	}
	unwanted := a.Probing() && k.run > 0 || slices.Contains(k.avoid, a.Up.ID)
	if unwanted && t.anyReady(service, k.avoid) {
		return false
	}
	return step.MaxPerUpstream == 0 || t.onUpstream(a, k) < int(step.MaxPerUpstream)
}

// onUpstream counts the tasks of the same step that an agent has.
func (t *Table) onUpstream(a *upstreamOf, k *task) int {
	n := 0
	for _, other := range k.job.steps[k.id.Step].tasks {
		if other.agent == a && (other.phase == placed || other.phase == lost) {
			n++
		}
	}
	return n
}
