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

// agent is the VM of an upstream, with the agent beside it.
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

func (w *World) addAgent(z *plan.Zone) {
	n := len(w.agents)
	a := &agent{w: w, name: ident.UpstreamName(fmt.Sprintf("%s-%d", z.Name, n)), zone: z.Name}
	a.up = &simUpstream{a: a, w: w, kind: w.plan.UpstreamKind(n), slowFactor: 1}
	w.agents = append(w.agents, a)
	a.start()
}

// start begins a life of the VM.
func (a *agent) start() {
	a.inc, a.alive = ident.Incarnation(a.w.rng.Uint64()|1), true
	a.links, a.linkOrder = make(map[*entry]*link), nil
	a.up.idCount++
	a.controller = upstream.New(a.w.timing, nil, a.w.Now(), calls{a, a.inc}, entryMessages{a}, discardObserver{})
	a.up.startLife()
	a.applyCordons()
	a.tick(a.inc)
}

// tick lets time pass for one life of the agent.
func (a *agent) tick(inc ident.Incarnation) {
	if !a.alive || a.inc != inc {
		return
	}
	a.controller.Tick(a.w.Now())
	a.controller.Flush(a.w.Now())
	a.w.After(a.w.links.Tick, func() { a.tick(inc) })
}

// lose lets the VM lose power for a while.
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

// calls carries an agent's calls to its upstream, which stands beside it.
type calls struct {
	a   *agent
	inc ident.Incarnation
}

// back hands an answer to the agent, if it still lives.
func (c calls) reply(f func()) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		if c.a.alive && c.a.inc == c.inc {
			f()
			c.a.controller.Flush(c.a.w.Now())
		}
	})
}

// Start starts a run.
func (c calls) Start(s call.Start) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		answer, clock := c.a.up.start(s), c.a.up.clock()
		c.reply(func() { c.a.controller.StartDone(c.a.w.Now(), s, answer, clock) })
	})
}

// Stop stops a run.
func (c calls) Stop(s call.Stop) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		answer, clock := c.a.up.stop(s), c.a.up.clock()
		c.reply(func() { c.a.controller.StopDone(c.a.w.Now(), s, answer, clock) })
	})
}

// Hold asks what runs.
func (c calls) Hold(h call.Hold) {
	c.a.w.After(c.a.w.handlingDelay(), func() {
		c.a.up.hold(h, func(held call.HoldResult) { c.reply(func() { c.a.controller.HoldDone(c.a.w.Now(), h, held) }) })
	})
}

// words carries an agent's words to entries.
type entryMessages struct{ a *agent }

func (x entryMessages) send(to ident.Incarnation, f func(e *entry, l *link)) {
	for _, e := range x.a.linkOrder {
		if l := x.a.links[e]; e.inc == to {
			l.sendToEntry(func() { f(e, l) })
			return
		}
	}
}

// Upstream describes the upstream.
func (x entryMessages) Upstream(to ident.Incarnation, u fleet.Upstream) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleUpstream(e.w.Now(), x.a.inc, u) })
}

// Room tells what room there is.
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

// End tells how a run ended.
func (x entryMessages) End(to ident.Incarnation, end fleet.End) {
	x.a.w.result.Messages.Ends++
	x.send(to, func(e *entry, _ *link) { e.table.HandleEnd(e.w.Now(), x.a.inc, end) })
}

// Progress tells how runs get on.
func (x entryMessages) Progress(to ident.Incarnation, runs []fleet.Progress) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleProgress(e.w.Now(), x.a.inc, runs) })
}

// Resumed tells which runs go on.
func (x entryMessages) Resumed(to ident.Incarnation, runs []fleet.OrderedRun) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleResumed(x.a.inc, runs) })
}

// Asked is for kept jobs, of which there are none.
func (entryMessages) EndsSent(ident.Incarnation, uint64) {}

// Holding tells which jobs another entry has held for long.
func (x entryMessages) Holding(to, holder ident.Incarnation, jobs []job.ID) {
	x.a.w.result.Messages.Takeovers++
	x.send(to, func(e *entry, _ *link) { e.table.HandleHeld(e.w.Now(), holder, jobs) })
}

// Release asks the holder of a job to give it up.
func (x entryMessages) Release(t fleet.Takeover) {
	x.a.w.result.Messages.Takeovers++
	x.send(t.Holder, func(e *entry, _ *link) { e.table.HandleTakeover(e.w.Now(), x.a.inc, t) })
}

// Released tells the entry that takes a job over that nothing of it remains.
func (x entryMessages) Released(r fleet.Released) {
	x.a.w.result.Messages.Takeovers++
	x.send(r.NewHolder, func(e *entry, _ *link) { e.table.HandleReleased(e.w.Now(), x.a.inc, r) })
}

// Settled tells that nothing of earlier sessions remains.
func (x entryMessages) Settled(to ident.Incarnation) {
	x.send(to, func(e *entry, _ *link) { e.table.HandleSettled(e.w.Now(), x.a.inc) })
}

// Lost tells all entries of the tasks that the upstream was lost under.
func (x entryMessages) UpstreamLost(l upstream.Loss) {
	for _, e := range x.a.linkOrder {
		x.a.links[e].sendToEntry(func() { e.table.HandleCrashes(e.w.Now(), l.Crashes(x.a.name)) })
	}
}

// Refuted tells all entries that a life has answered which was taken for lost.
func (x entryMessages) LossRefuted(r fleet.Refutation) {
	for _, e := range x.a.linkOrder {
		x.a.links[e].sendToEntry(func() { e.table.HandleRefutations(e.w.Now(), []fleet.Refutation{r}) })
	}
}

// quiet observes nothing.
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
