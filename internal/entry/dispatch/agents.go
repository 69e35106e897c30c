package dispatch

import (
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/entry/agent"
)

// upstreamOf is an agent with the tasks that are, or may be, at its upstream.
type upstreamOf struct {
	agent.Account
	runs map[job.TaskID]*task
	// counted is the pace by which the agent counts among all paces; zero is not at all.
	counted float64
	// lost is true while it is not linked, and was.
	lost bool
}

// setLost notes whether an agent is lost.
func (t *Table) setLost(a *upstreamOf, lost bool) {
	if a.lost == lost {
		return
	}
	a.lost = lost
	if lost {
		t.lost++
		return
	}
	t.lost--
}

// Linked handles a new session with an agent, in place of one whose end was not told.
func (t *Table) Linked(now time.Time, id ident.Incarnation, name ident.UpstreamName, zone ident.Zone) {
	t.Unlinked(now, id) // forgets an agent that has no runs
	a := t.agents[id]
	if a == nil {
		a = &upstreamOf{Account: agent.Account{ID: id, Heard: now}, runs: make(map[job.TaskID]*task)}
		t.agents[id] = a
		t.order = append(t.order, a)
		t.crashes.SetUpstreams(len(t.order))
	}
	t.setLost(a, false)
	t.touch.agentSilent = false
	a.Link(name, zone)
	t.countPace(a)
	t.linkedAnew(now, id)
}

// fellSilent times the keep-alive interval is after how long without a word an agent has fallen silent, whose link would have been heard to end
// otherwise.
const fellSilent = 2

// Unlinked handles the end of a session: what was placed there may still run for a while.
func (t *Table) Unlinked(now time.Time, id ident.Incarnation) {
	a := t.agents[id]
	if a == nil || !a.Linked {
		return
	}
	if now.Sub(a.Heard) > fellSilent*t.opts.Timing.KeepAlive {
		t.touch.agentSilent = true
	}
	a.Unlink()
	t.setLost(a, true)
	t.countPace(a)
	for _, k := range a.runs {
		k.phase = lost // the order does not matter
	}
	if len(a.runs) > 0 {
		t.observer.AgentChanged(a.Name, len(a.runs), AgentLost)
	}
	if t.opts.Without.Off(rule.SettleWait) {
		t.settle(now, a, fleet.AgentSilent)
	}
	t.expire(a)
}

// Upstream is an upstream as this entry knows it.
type Upstream struct {
	Name    ident.UpstreamName `json:"name"`
	ID      ident.UpstreamID   `json:"id"`
	Zone    ident.Zone         `json:"zone"`
	Service ident.Service      `json:"service"`
	State   fleet.State        `json:"state"`
	// FreeCPU and TotalCPU are in thousandths of a core.
	FreeCPU  int64 `json:"free_cpu_millis"`
	TotalCPU int64 `json:"total_cpu_millis"`
	// Pace is its recent run time over the estimate.
	Pace float64 `json:"pace"`
	// Runs are this entry's.
	Runs int `json:"runs"`
	// Cordoned: operators have cordoned it, its zone, or what selects it.
	Cordoned bool `json:"cordoned"`
}

// Upstreams lists the upstreams whose agents are linked.
func (t *Table) Upstreams() []Upstream {
	out := []Upstream{}
	for _, a := range t.order {
		if a.Known() {
			out = append(out, Upstream{
				a.Name, a.Up.ID, a.Zone, a.Up.Service, a.Room().State, a.Room().Free.CPU, a.Up.Total.CPU, a.Room().Pace, len(a.runs), !t.open(a, a.Up.Service),
			})
		}
	}
	return out
}

// Ready returns how many upstreams take work now.
func (t *Table) Ready() int {
	n := 0
	for _, a := range t.order {
		if a.Accepts() {
			n++
		}
	}
	return n
}

// anyReady tells whether an upstream of a service that is not to be avoided is ready.
func (t *Table) anyReady(s ident.Service, avoid []ident.UpstreamID) bool {
	return slices.ContainsFunc(t.order, func(a *upstreamOf) bool {
		return a.Serves(s, fleet.Ready) && !slices.Contains(avoid, a.Up.ID) && t.open(a, s)
	})
}

// Upstream handles an agent's description of its upstream.
func (t *Table) Upstream(now time.Time, id ident.Incarnation, u fleet.Upstream) {
	if a := t.agents[id]; a != nil {
		a.Up = u
		t.decideDoubts(now, a)
	}
}

// Room handles an agent's news of its room.
func (t *Table) Room(now time.Time, id ident.Incarnation, r fleet.Room) {
	a := t.agents[id]
	if a == nil || !a.Linked {
		return
	}
	a.Told(now, r)
	t.countPace(a)
	t.replaced(now, a)
	t.fill(now, a)
}

// replaced settles the runs of earlier agents of an upstream: its new agent takes work, but for a cordon, only once it
// knows that nothing of theirs remains.
func (t *Table) replaced(now time.Time, by *upstreamOf) {
	if !by.Known() || !by.Room().State.Settled() || t.lost == 0 {
		return
	}
	for _, a := range slices.Clone(t.order) {
		if a == by || a.Linked || a.Up.ID != by.Up.ID || len(a.runs) == 0 {
			continue
		}
		if !by.Answers() {
			t.question(by)
			return
		}
		t.settle(now, a, fleet.AgentReplaced)
	}
}

// question sends an order without tasks, which the agent's next news of its room take into account. A connection that an
// agent's earlier life has opened may be held up on the way, and bring its news when the present life has runs but no
// link: taken for its successor's, they would let those runs start elsewhere while they go on.
func (t *Table) question(a *upstreamOf) {
	if a.Asked() {
		return
	}
	o := &fleet.Order{}
	a.Number(o)
	t.agentsIO.Order(a.ID, *o)
}

// Resumed handles an agent's word on the runs of this entry's earlier session that go on under the new one.
func (t *Table) Resumed(id ident.Incarnation, runs []fleet.OrderedRun) {
	a := t.agents[id]
	if a == nil {
		return
	}
	for _, r := range runs {
		k := a.runs[r.Task]
		if k == nil || k.ordered() != r {
			t.agentsIO.Stop(id, r, fleet.OnRequest) // it was given up meanwhile
			t.observer.StopsAsked(Stops{Job: r.Task.Job, Why: NotKnown, Asked: []RunAt{{r.RunRef, a.Name}}})
			continue
		}
		k.phase, k.moving = placed, false
		if k.job.ending || k.stopping {
			// The wish to stop it may have been lost with the former session.
			k.stopping = false
			t.stop(k)
			t.tellStops(k.job, AskedBefore, nil)
		}
	}
	t.observer.AgentChanged(a.Name, len(runs), AgentResumed)
}

// Settled handles an agent's word that nothing of this entry's earlier sessions remains there.
func (t *Table) Settled(now time.Time, id ident.Incarnation) {
	if a := t.agents[id]; a != nil {
		t.settle(now, a, fleet.NotListed)
		t.pump(now)
	}
}

// settle lets the tasks that were lost with an agent be placed again.
func (t *Table) settle(now time.Time, a *upstreamOf, why fleet.Reason) {
	n := 0
	for _, k := range sortedTasks(a.runs) {
		if k.phase != lost {
			continue
		}
		n++
		if why != fleet.NotListed {
			t.doubt(now, a, k)
		}
		t.ended(now, a, k, fleet.End{Task: k.id, Run: k.run, ID: k.runID, Outcome: job.Lost, Reason: why})
	}
	if n > 0 {
		t.observer.AgentChanged(a.Name, n, AgentSettled)
	}
	t.expire(a)
}

// sortedTasks lists tasks in the order of their ids, so that runs repeat.
func sortedTasks(m map[job.TaskID]*task) []*task {
	return slices.SortedFunc(maps.Values(m), func(a, b *task) int { return a.id.Compare(b.id) })
}

// expire forgets an agent that is not linked and has nothing.
func (t *Table) expire(a *upstreamOf) {
	if a.Linked || len(a.runs) > 0 {
		return
	}
	t.setLost(a, false)
	delete(t.agents, a.ID)
	t.order = slices.DeleteFunc(t.order, func(o *upstreamOf) bool { return o == a })
	t.crashes.SetUpstreams(len(t.order))
}

// countPace takes an agent's pace into the median of all, by which objectives and upstreams are judged. The paces are kept in order,
// since an entry of a large site hears of room up to 2,000 times a second under load (BenchmarkRoom).
func (t *Table) countPace(a *upstreamOf) {
	pace := a.Room().Pace
	if !a.Linked {
		pace = 0
	}
	if pace == a.counted {
		return
	}
	if i, found := slices.BinarySearch(t.paces, a.counted); found {
		t.paces = slices.Delete(t.paces, i, i+1)
	}
	if pace > 0 {
		i, _ := slices.BinarySearch(t.paces, pace)
		t.paces = slices.Insert(t.paces, i, pace)
	}
	a.counted = pace
	t.pace = 1
	if len(t.paces) > 0 {
		t.pace = t.paces[len(t.paces)/2]
	}
}
