package world

import (
	"fmt"
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/load/plan"
)

// agent is the VM that an upstream and its agent run on.
type agent struct {
	w          *World
	name       ident.UpstreamName
	zone       string
	inc        ident.Incarnation
	alive      bool
	controller *upstream.Controller
	up         *simUpstream
	links      map[*entry]*link
	linkOrder  []*entry
}

func (w *World) addAgent(z *plan.Zone, rack job.Label) {
	n := len(w.agents)
	a := &agent{w: w, name: ident.UpstreamName(fmt.Sprintf("%s-%d", z.Name, n)), zone: z.Name}
	a.up = &simUpstream{a: a, w: w, kind: w.plan.UpstreamKind(n), rack: rack, slowFactor: 1}
	w.agents = append(w.agents, a)
	a.start()
}

// start boots the VM: the agent gets a new incarnation and the upstream a new id.
func (a *agent) start() {
	a.inc, a.alive = ident.Incarnation(a.w.rng.Uint64()|1), true
	a.links, a.linkOrder = make(map[*entry]*link), nil
	a.up.idCount++
	a.controller = upstream.New(a.w.timing, 0, nil, a.w.Now(), calls{a, a.inc}, entryMessages{a}, discardObserver{})
	a.up.startLife()
	a.applyCordons()
	a.tick(a.inc)
}

// tick calls the controller's Tick periodically while the agent has incarnation inc.
func (a *agent) tick(inc ident.Incarnation) {
	if !a.alive || a.inc != inc {
		return
	}
	a.controller.Tick(a.w.Now())
	a.controller.Flush(a.w.Now())
	a.w.After(a.w.links.Tick, func() { a.tick(inc) })
}

// losePower lets the VM lose power, and starts it again after down.
func (a *agent) losePower(down time.Duration) {
	a.alive = false
	a.up.crash()
	for _, e := range append([]*entry(nil), a.linkOrder...) {
		a.w.unlink(a.links[e])
	}
	a.w.After(down, func() {
		a.start()
		for _, e := range a.w.entries {
			if e.alive {
				a.w.link(e, a)
			}
		}
	})
}

// calls delivers an agent's calls to its upstream, which runs on the same VM.
type calls struct {
	a   *agent
	inc ident.Incarnation
}

// reply hands an answer to the agent, unless the agent has lost power since the call.
func (c calls) reply(f func()) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		if c.a.alive && c.a.inc == c.inc {
			f()
			c.a.controller.Flush(c.a.w.Now())
		}
	})
}

// Start asks the upstream to start a run.
func (c calls) Start(s call.Start) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		answer, clock := c.a.up.start(s), c.a.up.clock()
		c.reply(func() { c.a.controller.StartDone(c.a.w.Now(), s, answer, clock) })
	})
}

// Stop asks the upstream to stop a run.
func (c calls) Stop(s call.Stop) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		answer, clock := c.a.up.stop(s), c.a.up.clock()
		c.reply(func() { c.a.controller.StopDone(c.a.w.Now(), s, answer, clock) })
	})
}

// Hold extends the lease at the upstream and asks for its runs and their ends.
func (c calls) Hold(h call.Hold) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		c.a.up.hold(h, func(held call.HoldResult) { c.reply(func() { c.a.controller.HoldDone(c.a.w.Now(), h, held) }) })
	})
}

// entryMessages delivers an agent's messages to entries.
type entryMessages struct{ a *agent }

func (x entryMessages) send(to ident.Incarnation, f func(e *entry, l *link)) {
	for _, e := range x.a.linkOrder {
		if l := x.a.links[e]; e.inc == to {
			l.sendToEntry(func() { f(e, l) })
			return
		}
	}
}

// Upstream sends the description of the upstream.
func (x entryMessages) Upstream(to ident.Incarnation, u fleet.Upstream) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleUpstream(e.w.Now(), x.a.inc, u) })
}

// Room sends the free room of the upstream.
func (x entryMessages) Room(to ident.Incarnation, r fleet.Room) {
	x.a.w.result.Messages.Rooms++
	x.send(to, func(e *entry, l *link) {
		first := l.agentClock == 0
		l.agentClock = r.Clock
		if first {
			e.ping(x.a, l)
		}
		e.table.HandleRoom(e.w.Now(), x.a.inc, r)
	})
}

// End reports the end of a run.
func (x entryMessages) End(to ident.Incarnation, end fleet.End) {
	x.a.w.result.Messages.Ends++
	x.send(to, func(e *entry, _ *link) { e.table.HandleEnd(e.w.Now(), x.a.inc, end) })
}

// Progress reports the progress of runs.
func (x entryMessages) Progress(to ident.Incarnation, runs []fleet.Progress) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleProgress(e.w.Now(), x.a.inc, runs) })
}

// Resumed reports which runs continue after the entry has linked again.
func (x entryMessages) Resumed(to ident.Incarnation, runs []fleet.OrderedRun) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleResumed(x.a.inc, runs) })
}

// EndsSent does nothing: it concerns kept jobs, which are not simulated.
func (entryMessages) EndsSent(ident.Incarnation, uint64) {}

// Holding reports which jobs another entry has held for a long time.
func (x entryMessages) Holding(to, holder ident.Incarnation, jobs []job.ID) {
	x.a.w.result.Messages.Takeovers++
	x.send(to, func(e *entry, _ *link) { e.table.HandleHeld(e.w.Now(), holder, jobs) })
}

// Release asks the entry that holds a job to release it.
func (x entryMessages) Release(t fleet.Takeover) {
	x.a.w.result.Messages.Takeovers++
	x.send(t.Holder, func(e *entry, _ *link) { e.table.HandleTakeover(e.w.Now(), x.a.inc, t) })
}

// Released tells the entry that takes over a job that the job is released: no run of it remains.
func (x entryMessages) Released(r fleet.Released) {
	x.a.w.result.Messages.Takeovers++
	x.send(r.NewHolder, func(e *entry, _ *link) { e.table.HandleReleased(e.w.Now(), x.a.inc, r) })
}

// Settled reports that no runs of earlier sessions remain.
func (x entryMessages) Settled(to ident.Incarnation) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleSettled(e.w.Now(), x.a.inc) })
}

// UpstreamLost reports to all entries which tasks were running when the upstream was lost.
func (x entryMessages) UpstreamLost(l upstream.Loss) {
	for _, e := range x.a.linkOrder {
		x.a.links[e].sendToEntry(func() { e.table.HandleCrashes(e.w.Now(), l.Crashes(x.a.name)) })
	}
}

// LossRefuted reports to all entries that a life of the upstream that was considered lost has answered.
func (x entryMessages) LossRefuted(r fleet.Refutation) {
	for _, e := range x.a.linkOrder {
		x.a.links[e].sendToEntry(func() { e.table.HandleRefutations(e.w.Now(), []fleet.Refutation{r}) })
	}
}

// relayDemand passes what callers have asked of an entry to the other entries.
func (a *agent) relayDemand(from *entry, d fleet.Demand) {
	for _, e := range a.linkOrder {
		if e != from {
			a.links[e].sendToEntry(func() { e.table.HandleDemand(e.w.Now(), d) })
		}
	}
}

// discardObserver is an upstream.Observer that ignores all events.
type discardObserver struct{}

func (discardObserver) RunEnded(upstream.Ending)                                   {}
func (discardObserver) StateChanged(fleet.State, fleet.State, string)              {}
func (discardObserver) RunsOrphaned(ident.Incarnation, int, string, time.Duration) {}
func (discardObserver) LeaseLapsed(time.Duration)                                  {}
func (discardObserver) EndsUnconfirmed(ident.Incarnation, []fleet.End)             {}
func (discardObserver) HeartbeatOutlived(_, _ ident.UpstreamLife)                  {}
func (discardObserver) OrderGated(job.TaskID, ident.Incarnation)                   {}
func (discardObserver) StartUnsure(job.TaskID, job.Run)                            {}
func (discardObserver) LifeBegun(ident.UpstreamLife, string, bool)                 {}
func (discardObserver) HeartbeatDropped(lives.Heartbeat, uint64)                   {}
func (discardObserver) StrayChanged(fleet.RunRef, upstream.StrayEvent)             {}
func (discardObserver) ListingOvertaken()                                          {}
func (discardObserver) UpstreamLost(upstream.Loss)                                 {}
