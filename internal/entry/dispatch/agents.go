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
type agentState struct {
	agent.Record
	runs map[job.TaskID]*task
	// counted is the pace by which the agent counts among all paces; zero is not at all.
	countedPace float64
	// lost is true while it is not linked, and was.
	lost bool
}

// setLost notes whether an agent is lost.
func (t *Table) setLost(a *agentState, lost bool) {
	if a.lost == lost {
		return
	}
	a.lost = lost
	if lost {
		t.lostAgents++
		return
	}
	t.lostAgents--
}

// Linked handles a new session with an agent, in place of one whose end was not told.
func (t *Table) HandleLinked(now time.Time, id ident.Incarnation, name ident.UpstreamName, zone ident.Zone) {
	t.HandleUnlinked(now, id) // forgets an agent that has no runs
	a := t.agents[id]
	if a == nil {
		a = &agentState{Record: agent.Record{ID: id, ClockReadAt: now}, runs: make(map[job.TaskID]*task)}
		t.agents[id] = a
		t.agentList = append(t.agentList, a)
		t.crashes.SetUpstreamCount(len(t.agentList))
	}
	t.setLost(a, false)
	t.contact.agentSilent = false
	a.Link(name, zone)
	t.updatePace(a)
	t.repeatTakeovers(now, id)
}

// fellSilent times the keep-alive interval is after how long without a word an agent has fallen silent, whose link would have been heard to end
// otherwise.
const silentKeepAlives = 2

// Unlinked handles the end of a session: what was placed there may still run for a while.
func (t *Table) HandleUnlinked(now time.Time, id ident.Incarnation) {
	a := t.agents[id]
	if a == nil || !a.Linked {
		return
	}
	if now.Sub(a.ClockReadAt) > silentKeepAlives*t.opts.Timing.KeepAlive {
		t.contact.agentSilent = true
	}
	a.Unlink()
	t.setLost(a, true)
	t.updatePace(a)
	for _, k := range a.runs {
		k.phase = lost // the order does not matter
	}
	if len(a.runs) > 0 {
		t.observer.AgentChanged(a.Name, len(a.runs), AgentLost)
	}
	if t.opts.Without.Has(rule.SettleWait) {
		t.settle(now, a, fleet.AgentSilent)
	}
	t.removeIfUnused(a)
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
	for _, a := range t.agentList {
		if a.Known() {
			out = append(out, Upstream{
				a.Name, a.Upstream.ID, a.Zone, a.Upstream.Service, a.Room().State, a.Room().Free.CPU, a.Upstream.Total.CPU, a.Room().Pace, len(a.runs), !t.permits(a, a.Upstream.Service),
			})
		}
	}
	return out
}

// Ready returns how many upstreams take work now.
func (t *Table) Ready() int {
	n := 0
	for _, a := range t.agentList {
		if a.AcceptsWork() {
			n++
		}
	}
	return n
}

// anyReady tells whether an upstream of a service that is not to be avoided is ready.
func (t *Table) anyReady(s ident.Service, avoid []ident.UpstreamID) bool {
	return slices.ContainsFunc(t.agentList, func(a *agentState) bool {
		return a.Serves(s, fleet.Ready) && !slices.Contains(avoid, a.Upstream.ID) && t.permits(a, s)
	})
}

// Upstream handles an agent's description of its upstream.
func (t *Table) HandleUpstream(now time.Time, id ident.Incarnation, u fleet.Upstream) {
	if a := t.agents[id]; a != nil {
		a.Upstream = u
		t.resolveUnconfirmed(now, a)
	}
}

// Room handles an agent's news of its room.
func (t *Table) HandleRoom(now time.Time, id ident.Incarnation, r fleet.Room) {
	a := t.agents[id]
	if a == nil || !a.Linked {
		return
	}
	a.UpdateRoom(now, r)
	t.updatePace(a)
	t.settleReplaced(now, a)
	t.placeAt(now, a)
}

// replaced settles the runs of earlier agents of an upstream: its new agent takes work, but for a cordon, only once it
// knows that nothing of theirs remains.
func (t *Table) settleReplaced(now time.Time, by *agentState) {
	if !by.Known() || !by.Room().State.RunsKnown() || t.lostAgents == 0 {
		return
	}
	for _, a := range slices.Clone(t.agentList) {
		if a == by || a.Linked || a.Upstream.ID != by.Upstream.ID || len(a.runs) == 0 {
			continue
		}
		if !by.HasAnswered() {
			t.queryAgent(by)
			return
		}
		t.settle(now, a, fleet.AgentReplaced)
	}
}

// question sends an order without tasks, which the agent's next news of its room take into account. A connection that an
// agent's earlier life has opened may be held up on the way, and bring its news when the present life has runs but no
// link: taken for its successor's, they would let those runs start elsewhere while they go on.
func (t *Table) queryAgent(a *agentState) {
	if a.HasOrders() {
		return
	}
	o := &fleet.Order{}
	a.AssignSeq(o)
	t.agentsIO.Order(a.ID, *o)
}

// Resumed handles an agent's word on the runs of this entry's earlier session that go on under the new one.
func (t *Table) HandleResumed(id ident.Incarnation, runs []fleet.OrderedRun) {
	a := t.agents[id]
	if a == nil {
		return
	}
	for _, r := range runs {
		k := a.runs[r.Task]
		if k == nil || k.orderedRun() != r {
			t.agentsIO.Stop(id, r, fleet.OnRequest) // it was given up meanwhile
			t.observer.StopsRequested(Stops{Job: r.Task.Job, Cause: StopUnknownRun, Requested: []RunAt{{r.RunRef, a.Name}}})
			continue
		}
		k.phase, k.moving = placed, false
		if k.job.ending || k.stopping {
			// The wish to stop it may have been lost with the former session.
			k.stopping = false
			t.stop(k)
			t.reportStops(k.job, StopRepeated, nil)
		}
	}
	t.observer.AgentChanged(a.Name, len(runs), AgentResumed)
}

// Settled handles an agent's word that nothing of this entry's earlier sessions remains there.
func (t *Table) HandleSettled(now time.Time, id ident.Incarnation) {
	if a := t.agents[id]; a != nil {
		t.settle(now, a, fleet.NotListed)
		t.placeAll(now)
	}
}

// settle lets the tasks that were lost with an agent be placed again.
func (t *Table) settle(now time.Time, a *agentState, why fleet.Reason) {
	n := 0
	for _, k := range sortedTasks(a.runs) {
		if k.phase != lost {
			continue
		}
		n++
		if why != fleet.NotListed {
			t.addUnconfirmed(now, a, k)
		}
		t.endRun(now, a, k, fleet.End{Task: k.id, Run: k.run, ID: k.runID, Outcome: job.Lost, Reason: why})
	}
	if n > 0 {
		t.observer.AgentChanged(a.Name, n, AgentSettled)
	}
	t.removeIfUnused(a)
}

// sortedTasks lists tasks in the order of their ids, so that runs repeat.
func sortedTasks(m map[job.TaskID]*task) []*task {
	return slices.SortedFunc(maps.Values(m), func(a, b *task) int { return a.id.Compare(b.id) })
}

// expire forgets an agent that is not linked and has nothing.
func (t *Table) removeIfUnused(a *agentState) {
	if a.Linked || len(a.runs) > 0 {
		return
	}
	t.setLost(a, false)
	delete(t.agents, a.ID)
	t.agentList = slices.DeleteFunc(t.agentList, func(o *agentState) bool { return o == a })
	t.crashes.SetUpstreamCount(len(t.agentList))
}

// countPace takes an agent's pace into the median of all, by which objectives and upstreams are judged. The paces are kept in order,
// since an entry of a large site hears of room up to 2,000 times a second under load (BenchmarkRoom).
func (t *Table) updatePace(a *agentState) {
	pace := a.Room().Pace
	if !a.Linked {
		pace = 0
	}
	if pace == a.countedPace {
		return
	}
	if i, found := slices.BinarySearch(t.paces, a.countedPace); found {
		t.paces = slices.Delete(t.paces, i, i+1)
	}
	if pace > 0 {
		i, _ := slices.BinarySearch(t.paces, pace)
		t.paces = slices.Insert(t.paces, i, pace)
	}
	a.countedPace = pace
	t.pace = 1
	if len(t.paces) > 0 {
		t.pace = t.paces[len(t.paces)/2]
	}
}
