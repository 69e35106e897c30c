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
	"hillreel/internal/entry/pace"
)

// agentState is an agent together with the tasks that are, or may be, at its upstream.
type agentState struct {
	agent.Record
	runs map[job.TaskID]*task
	// lost is set while the agent was linked before and is not now.
	lost bool
}

// setLost records whether an agent is lost.
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

// HandleLinked handles a new session with an agent. It replaces an earlier session even if the end of that session was not
// reported.
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

// silentKeepAlives is the number of keep-alive intervals without a message after which an agent counts as silent. If a link
// ends sooner after the agent's last message, this entry has received the end of the connection, so it is not cut off.
const silentKeepAlives = 2

// HandleUnlinked handles the end of a session. The runs at the agent may continue for a while.
func (t *Table) HandleUnlinked(now time.Time, id ident.Incarnation) {
	a := t.agents[id]
	if a == nil || !a.Linked {
		return
	}
	if now.Sub(a.ClockReadAt) > silentKeepAlives*t.opts.Timing.KeepAlive {
		t.contact.agentSilent = true
	}
	a.Unlink()
	t.forgetClaims(id)
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
	// Pace is the ratio of the upstream's recent run times to their estimates, or what is taken for it; PaceSource says which.
	Pace       float64     `json:"pace"`
	PaceSource pace.Source `json:"pace_source"`
	// Runs counts only the runs of this entry.
	Runs int `json:"runs"`
	// Cordoned is set if operators have cordoned the upstream, its zone, or a selector that matches it.
	Cordoned bool `json:"cordoned"`
}

// Upstreams lists the upstreams whose agents are linked.
func (t *Table) Upstreams() []Upstream {
	out := []Upstream{}
	for _, a := range t.agentList {
		if a.Known() {
			p, source := t.paces.Of(a.ID, "")
			out = append(out, Upstream{
				a.Name, a.Upstream.ID, a.Zone, a.Upstream.Service, a.Room().State, a.Room().Free.CPU, a.Upstream.Total.CPU,
				p, source, len(a.runs), !t.permits(a, a.Upstream.Service),
			})
		}
	}
	return out
}

// Ready returns the number of upstreams that accept work now.
func (t *Table) Ready() int {
	n := 0
	for _, a := range t.agentList {
		if a.AcceptsWork() {
			n++
		}
	}
	return n
}

// anyReady reports whether an upstream of a service is ready.
func (t *Table) anyReady(s ident.Service) bool {
	return slices.ContainsFunc(t.agentList, func(a *agentState) bool { return a.Serves(s, fleet.Ready) && t.permits(a, s) })
}

// HandleUpstream handles an agent's description of its upstream.
func (t *Table) HandleUpstream(now time.Time, id ident.Incarnation, u fleet.Upstream) {
	if a := t.agents[id]; a != nil {
		a.Upstream = u
		t.updatePace(a)
		t.resolveUnconfirmed(now, a)
	}
}

// HandleRoom handles an agent's report of its free capacity.
func (t *Table) HandleRoom(now time.Time, id ident.Incarnation, r fleet.Room) {
	a := t.agents[id]
	if a == nil || !a.Linked {
		return
	}
	a.UpdateRoom(now, r)
	t.updatePace(a)
	t.resolveUnconfirmed(now, a)
	t.settleReplaced(now, a)
	t.placeReserved(now, a)
}

// settleReplaced settles the runs of an upstream's earlier agents. The upstream's new agent, the successor, reports a state
// for which RunsKnown is true only once none of those runs remains. In such a state the upstream accepts work, or would
// accept it without a cordon.
func (t *Table) settleReplaced(now time.Time, successor *agentState) {
	if !successor.Known() || !successor.Room().State.RunsKnown() || t.lostAgents == 0 {
		return
	}
	for _, a := range slices.Clone(t.agentList) {
		if a == successor || a.Linked || a.Upstream.ID != successor.Upstream.ID || len(a.runs) == 0 {
			continue
		}
		if !successor.HasAnswered() {
			t.sendEmptyOrder(successor)
			return
		}
		t.settle(now, a, fleet.AgentReplaced)
	}
}

// sendEmptyOrder sends an order without tasks, which the agent acknowledges in its next report of free capacity. The order
// guards against delayed reports: a connection opened by an earlier incarnation of the agent may be held up in the network,
// and its report may arrive when the present incarnation has runs but no link. If that report were attributed to a
// successor of the present incarnation, those runs would be started elsewhere while they continue.
func (t *Table) sendEmptyOrder(a *agentState) {
	if a.HasOrders() {
		return
	}
	o := &fleet.Order{}
	a.AssignSeq(o)
	t.agentsIO.Order(a.ID, *o)
}

// HandleResumed handles an agent's list of the runs from this entry's earlier session that continue under the new one.
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
			// The earlier request to stop it may have been lost with the previous session.
			k.stopping = false
			t.stop(k)
			t.reportStops(k.job, StopRepeated, nil)
		}
	}
	t.observer.AgentChanged(a.Name, len(runs), AgentResumed)
}

// HandleSettled handles an agent's report that nothing from this entry's earlier sessions remains there.
func (t *Table) HandleSettled(now time.Time, id ident.Incarnation) {
	if a := t.agents[id]; a != nil {
		t.settle(now, a, fleet.NotListed)
		t.placeAll(now)
	}
}

// settle makes the tasks that were lost with an agent eligible for placement again.
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

// sortedTasks lists tasks in the order of their ids, to make runs reproducible.
func sortedTasks(m map[job.TaskID]*task) []*task {
	return slices.SortedFunc(maps.Values(m), func(a, b *task) int { return a.id.Compare(b.id) })
}

// removeIfUnused removes an agent that is neither linked nor has runs.
func (t *Table) removeIfUnused(a *agentState) {
	if a.Linked || len(a.runs) > 0 {
		return
	}
	t.setLost(a, false)
	delete(t.agents, a.ID)
	t.agentList = slices.DeleteFunc(t.agentList, func(o *agentState) bool { return o == a })
	t.crashes.SetUpstreamCount(len(t.agentList))
}

// updatePace updates the paces of the upstreams, and their median, with an agent's pace. The median is the reference for rating upstreams
// and for estimating how long a job will take.
func (t *Table) updatePace(a *agentState) {
	if a.Linked {
		t.paces.Set(a.ID, a.Upstream.Labels, a.Room().Pace)
	} else {
		t.paces.Remove(a.ID)
	}
	t.pace = t.paces.Median()
}

// paceFor returns the pace that an upstream is taken to have for a task of a step.
func (t *Table) paceFor(a *agentState, step *job.Step) float64 {
	p, _ := t.paces.Of(a.ID, step.Prefers)
	return p
}
