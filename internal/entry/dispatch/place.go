package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// queue holds the jobs of one service that have tasks to place, the most urgent first.
type queue struct{ jobs []*jobState }

// queue returns the queue of a service, a new one if there is none.
func (t *Table) queue(s ident.Service) *queue {
	q := t.queues[s]
	if q == nil {
		q = &queue{}
		t.queues[s] = q
		t.queued = append(t.queued, q)
	}
	return q
}

// before orders jobs: those already begun first, since giving them up would waste their work; then by the
// time at which they must start to be in time.
func before(a, b *jobState) int {
	return cmp.Or(cmpBool(b.begun, a.begun), a.startBy.Compare(b.startBy), cmp.Compare(a.route.Priority, b.route.Priority), cmp.Compare(a.id, b.id))
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

// add puts a job into its place.
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
// would let small tasks hold up large ones.
const lookahead = 4

// Pump places what fits.
func (t *Table) Pump(now time.Time) {
	for _, q := range t.queued {
		missed := 0
		for i := 0; i < len(q.jobs) && missed < lookahead; {
			j := q.jobs[i]
			t.placeJob(now, j)
			if i < len(q.jobs) && q.jobs[i] == j {
				i++
				missed++
			}
		}
	}
}

// placeJob places as many tasks of a job as fit, in one order for each agent and step.
func (t *Table) placeJob(now time.Time, j *jobState) {
	for s := range j.steps {
		orders := make(map[*agent]*fleet.Order)
		var agents []*agent
		for _, k := range j.steps[s] {
			if k.phase != waiting {
				continue
			}
			a := t.choose(k)
			if a == nil {
				break
			}
			o := orders[a]
			if o == nil {
				o = t.newOrder(j, s)
				orders[a] = o
				agents = append(agents, a)
			}
			t.place(now, k, a, o)
		}
		for _, a := range agents {
			t.send(now, a, orders[a])
		}
	}
}

// newOrder returns an order of one step without tasks.
func (t *Table) newOrder(j *jobState, s int) *fleet.Order {
	step := &j.spec.Steps[s]
	return &fleet.Order{Job: j.id, Step: uint32(s), Spec: j.spec.Text, Each: step.Each, Estimate: step.Estimate}
}

// place notes that a task goes to an agent.
func (t *Table) place(now time.Time, k *task, a *agent, o *fleet.Order) {
	t.unwait(k)
	j := k.job
	k.run++
	k.phase, k.agent = placed, a
	a.runs[k.id] = k
	a.pending = a.pending.Add(o.Each)
	a.probing = a.room.State == fleet.Probing
	j.out++
	j.runs++
	j.begun = true
	if j.firstAt.IsZero() {
		j.firstAt = now
	}
	o.Tasks = append(o.Tasks, fleet.TaskRun{
		Index: k.id.Index, Run: k.run, Failures: uint32(j.failures), Checkpoint: k.checkpoint,
	})
}

// send sends an order, and counts what it takes until the agent's room reflects it.
func (t *Table) send(now time.Time, a *agent, o *fleet.Order) {
	a.seq++
	o.Seq = a.seq
	total := job.Resources{}
	for range o.Tasks {
		total = total.Add(o.Each)
	}
	a.sent = append(a.sent, sent{o.Seq, total})
	t.observer.Placed(o.Job, a.name, o, now.Sub(t.jobs[o.Job].submitted))
	t.agentsIO.Order(a.id, *o)
}

// choose returns the agent for a task, or nil while nothing fits.
func (t *Table) choose(k *task) *agent {
	step := &k.job.spec.Steps[k.id.Step]
	var best *agent
	var bestCost float64
	for _, a := range t.order {
		if !t.eligible(a, k, step) {
			continue
		}
		c := t.cost(a, step)
		if best == nil || c < bestCost {
			best, bestCost = a, c
		}
	}
	return best
}

// eligible tells whether a task may go to an agent now.
func (t *Table) eligible(a *agent, k *task, step *job.Step) bool {
	switch {
	case !a.linked || !a.described || a.up.Service != k.job.route.Service || !a.up.Has(step.Requires):
		return false
	case !a.room.State.Accepts() || !step.Each.Fits(a.free()):
		return false
	case a.room.State == fleet.Probing && (a.probing || k.run > 0 && t.alternatives(k) > 0):
		return false
	case !t.allowed(a.name, a.zone, k.job.route.Service):
		return false
	case slices.Contains(k.avoid, a.up.ID) && t.alternatives(k) > 0:
		return false
	}
	return step.MaxPerUpstream == 0 || t.onUpstream(a, k) < int(step.MaxPerUpstream)
}

// alternatives counts the upstreams of the task's service that it does not avoid.
func (t *Table) alternatives(k *task) int {
	n := 0
	for _, a := range t.order {
		if a.linked && a.described && a.up.Service == k.job.route.Service && a.room.State == fleet.Ready && !slices.Contains(k.avoid, a.up.ID) {
			n++
		}
	}
	return n
}

// onUpstream counts the tasks of the same step that an agent has.
func (t *Table) onUpstream(a *agent, k *task) int {
	n := 0
	for _, other := range k.job.steps[k.id.Step] {
		if other.agent == a && (other.phase == placed || other.phase == lost) {
			n++
		}
	}
	return n
}

// How upstreams are compared: in multiples of the median run time.
const (
	// loadCost is what a full upstream costs more than an empty one. It spreads tasks, so that the loss of one
	// upstream costs few, and leaves fast ones ahead of slow ones.
	loadCost = 0.5
	// zoneCost is what another availability zone costs: 1 ms of a task of 50 ms.
	zoneCost = 0.02
	// rackCost is what a task pays away from its data: the platform's remote_factor of 1.5.
	rackCost = 0.5
	// spread keeps entries that see the same room from choosing the same upstream.
	spread = 0.2
)

// cost rates an agent for a task; the lowest is chosen.
func (t *Table) cost(a *agent, step *job.Step) float64 {
	used := 1.0
	if a.up.Total.CPU > 0 {
		used = 1 - float64(a.free().CPU)/float64(a.up.Total.CPU)
	}
	c := t.relativePace(a) * (1 + loadCost*used + spread*t.rng.Float64())
	if a.zone != t.opts.Zone {
		c += zoneCost
	}
	if step.Prefers != "" && !a.up.Has(step.Prefers) {
		c += rackCost
	}
	return c
}

// relativePace is an upstream's pace over the median.
func (t *Table) relativePace(a *agent) float64 {
	if a.room.Pace == 0 || t.pace == 0 {
		return 1
	}
	return a.room.Pace / t.pace
}
