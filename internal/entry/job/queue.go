package job

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"hillreel/internal/core/verdict"
	"hillreel/internal/policy/estimate"
	"hillreel/internal/policy/order"
)

// waitHeap holds the jobs that have tasks to place, the next one first.
type waitHeap []*job

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(h[i].priority, h[k].priority), compareKeys(h[i].key, h[k].key)) < 0
}

func (h waitHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].place, h[k].place = i, k
}

// Push is for package heap.
func (h *waitHeap) Push(x any) {
	j := x.(*job)
	j.place = len(*h)
	*h = append(*h, j)
}

// Pop is for package heap.
func (h *waitHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	j.place = -1
	*h = old[:len(old)-1]
	return j
}

// enqueue lets a task wait for an agent.
func (t *Table) enqueue(j *job, index uint32) {
	j.queue = append(j.queue, index)
	j.work += t.expected(j, index)
	t.waiting++
	t.setPriority(j)
}

// unqueue empties a job's queue.
func (t *Table) unqueue(j *job) {
	t.waiting -= len(j.queue)
	j.queue, j.work = nil, 0
	if j.place >= 0 {
		heap.Remove(&t.wait, j.place)
	}
}

// setPriority puts the job where it belongs among those that wait.
func (t *Table) setPriority(j *job) {
	j.priority = t.opt.Order(order.Job{
		Submitted: max(j.begun, j.tag), Deadline: j.deadline, Work: j.work, Ideal: j.ideal,
	})
	if j.place < 0 {
		heap.Push(&t.wait, j)
		return
	}
	heap.Fix(&t.wait, j.place)
}

// prepare works out what the order needs to know of a job, and puts its longest tasks first: the job is
// not answered before them.
func (t *Table) prepare(j *job) {
	if j.begun == 0 {
		j.begun = t.opt.Now().Sub(t.started)
	}
	allowed := time.Duration(j.spec.GetDeadlineMs()) * time.Millisecond
	if allowed == 0 {
		allowed = t.view.Deadline(j.id.Service)
	}
	if allowed > 0 {
		j.deadline = j.begun + allowed
	}
	j.ideal = 0
	for i := range j.tasks {
		j.ideal = max(j.ideal, t.expected(j, uint32(i)))
	}
	if t.opt.LongestFirst {
		slices.SortStableFunc(j.queue, func(a, b uint32) int {
			return cmp.Compare(t.expected(j, b), t.expected(j, a))
		})
	}
}

// expected is the estimated run time of a task.
func (t *Table) expected(j *job, index uint32) time.Duration {
	if j.spec == nil {
		return t.opt.Estimate.Of(estimate.Kind{Service: j.id.Service}, 0)
	}
	spec := j.spec.GetTasks()[index]
	return t.opt.Estimate.Of(t.kindOf(j, index), time.Duration(spec.GetEstimateMs())*time.Millisecond)
}

func (t *Table) kindOf(j *job, index uint32) estimate.Kind {
	return estimate.Kind{Service: j.id.Service, Task: j.spec.GetTasks()[index].GetKind()}
}

// maxBlocked bounds how many jobs one pump passes over because none of their own agents has room.
const maxBlocked = 64

// pump places queued tasks while agents have room, in the order of the policy. Tasks wait here, not at the
// agents, so that each goes to whichever agent is free first.
func (t *Table) pump() {
	if len(t.wait) == 0 || !t.anyRoom() {
		return
	}
	rooms := make(map[roomKey][]*agent)
	var passed, hopeless []*job
	for len(t.wait) > 0 && len(passed) < maxBlocked {
		j := heap.Pop(&t.wait).(*job)
		room := t.roomFor(j, rooms)
		t.place(j, room, rooms)
		if len(j.queue) == 0 {
			continue
		}
		passed = append(passed, j)
		if j.roster.hopeless() {
			hopeless = append(hopeless, j)
		}
		if !t.anyRoom() {
			break
		}
	}
	for _, j := range passed {
		t.setPriority(j)
	}
	for _, j := range hopeless {
		t.fail(j, verdict.NoAgents)
	}
}

// failHopeless ends the jobs whose agents will never start anything again, when no agent has room either.
func (t *Table) failHopeless() {
	var hopeless []*job
	seen := make(map[*roster]bool)
	for _, j := range t.wait {
		if _, known := seen[j.roster]; !known {
			seen[j.roster] = j.roster.hopeless()
		}
		if seen[j.roster] {
			hopeless = append(hopeless, j)
		}
	}
	sortJobs(hopeless)
	for _, j := range hopeless {
		t.fail(j, verdict.NoAgents)
	}
}

// roomKey names the agents that may serve a service of a roster.
type roomKey struct {
	roster *roster
	pool   *pool
}

// roomFor lists the job's agents that have room, once a pump.
func (t *Table) roomFor(j *job, rooms map[roomKey][]*agent) []*agent {
	key := roomKey{j.roster, t.pool(j.id.Service)}
	room, known := rooms[key]
	if !known {
		room = slices.DeleteFunc(t.rosterAgents(j), func(a *agent) bool { return !a.room() || !a.services[j.id.Service] })
		rooms[key] = room
	}
	return room
}

// place sends as many of the job's tasks as there is room for.
func (t *Table) place(j *job, room []*agent, rooms map[roomKey][]*agent) {
	for len(j.queue) > 0 && len(room) > 0 {
		i := t.placer.Pick(len(room),
			func(i int) float64 { return room[i].cost() },
			func(i int) bool { return room[i].zone == t.opt.Zone })
		if i < 0 {
			break
		}
		a := room[i]
		if !a.room() {
			// Filled meanwhile by a job of another roster.
			room = slices.Delete(room, i, i+1)
			continue
		}
		index := j.queue[0]
		j.queue = j.queue[1:]
		j.work -= t.expected(j, index)
		t.waiting--
		t.start(j, index, a)
		if !a.room() {
			room = slices.Delete(room, i, i+1)
		}
	}
	rooms[roomKey{j.roster, t.pool(j.id.Service)}] = room
}

func (t *Table) anyRoom() bool {
	for _, a := range t.agentList {
		if a.room() {
			return true
		}
	}
	return false
}
