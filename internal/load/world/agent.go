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
	w       *World
	name    ident.UpstreamName
	zone    string
	inc     ident.Incarnation
	alive   bool
	manager *upstream.Controller
	up      *simUpstream
	links   map[*entry]*link
	order   []*entry
}

func (w *World) addAgent(z *plan.Zone) {
	n := len(w.agents)
	a := &agent{w: w, name: ident.UpstreamName(fmt.Sprintf("%s-%d", z.Name, n)), zone: z.Name}
	a.up = &simUpstream{a: a, w: w, kind: w.plan.KindOf(n), slow: 1}
	w.agents = append(w.agents, a)
	a.start()
}

// start begins a life of the VM.
func (a *agent) start() {
	a.inc, a.alive = ident.Incarnation(a.w.rng.Uint64()|1), true
	a.links, a.order = make(map[*entry]*link), nil
	a.up.named++
	a.manager = upstream.New(a.w.timing, nil, a.w.Now(), calls{a, a.inc}, words{a}, quiet{})
	a.up.begin()
	a.hearCordons()
	a.tick(a.inc)
}

// tick lets time pass for one life of the agent.
func (a *agent) tick(inc ident.Incarnation) {
	if !a.alive || a.inc != inc {
		return
	}
	a.manager.Tick(a.w.Now())
	a.manager.Flush(a.w.Now())
	a.w.After(a.w.links.Tick, func() { a.tick(inc) })
}

// lose lets the VM lose power for a while.
func (a *agent) lose(down time.Duration) {
	a.alive = false
	a.up.crash()
	for _, e := range append([]*entry(nil), a.order...) {
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
func (c calls) back(f func()) {
	c.a.w.After(c.a.w.handling(), func() {
		if c.a.alive && c.a.inc == c.inc {
			f()
			c.a.manager.Flush(c.a.w.Now())
		}
	})
}

// Start starts a run.
func (c calls) Start(s call.Start) {
	c.a.w.After(c.a.w.handling(), func() {
		answer, clock := c.a.up.start(s), c.a.up.clock()
		c.back(func() { c.a.manager.StartDone(c.a.w.Now(), s, answer, clock) })
	})
}

// Stop stops a run.
func (c calls) Stop(s call.Stop) {
	c.a.w.After(c.a.w.handling(), func() {
		answer, clock := c.a.up.stop(s), c.a.up.clock()
		c.back(func() { c.a.manager.StopDone(c.a.w.Now(), s, answer, clock) })
	})
}

// Hold asks what runs.
func (c calls) Hold(h call.Hold) {
	c.a.w.After(c.a.w.handling(), func() {
		c.a.up.hold(h, func(held call.HoldResult) { c.back(func() { c.a.manager.HoldDone(c.a.w.Now(), h, held) }) })
	})
}

// words carries an agent's words to entries.
type words struct{ a *agent }

func (x words) tell(to ident.Incarnation, f func(e *entry, l *link)) {
	for _, e := range x.a.order {
		if l := x.a.links[e]; e.inc == to {
			l.toEntry(func() { f(e, l) })
			return
		}
	}
}

// Upstream describes the upstream.
func (x words) Upstream(to ident.Incarnation, u fleet.Upstream) {
	x.tell(to, func(e *entry, _ *link) { e.table.HandleUpstream(e.w.Now(), x.a.inc, u) })
}

// Room tells what room there is.
func (x words) Room(to ident.Incarnation, r fleet.Room) {
	x.a.w.result.Messages.Rooms++
	x.tell(to, func(e *entry, l *link) {
		first := l.clock == 0
		l.clock = r.Clock
		if first {
			e.ping(x.a, l)
		}
		e.table.HandleRoom(e.w.Now(), x.a.inc, r)
	})
}

// End tells how a run ended.
func (x words) End(to ident.Incarnation, end fleet.End) {
	x.a.w.result.Messages.Ends++
	x.tell(to, func(e *entry, _ *link) { e.table.HandleEnd(e.w.Now(), x.a.inc, end) })
}

// Progress tells how runs get on.
func (x words) Progress(to ident.Incarnation, runs []fleet.Progress) {
	x.tell(to, func(e *entry, _ *link) { e.table.HandleProgress(e.w.Now(), x.a.inc, runs) })
}

// Resumed tells which runs go on.
func (x words) Resumed(to ident.Incarnation, runs []fleet.OrderedRun) {
	x.tell(to, func(e *entry, _ *link) { e.table.HandleResumed(x.a.inc, runs) })
}

// Asked is for kept jobs, of which there are none.
func (words) EndsSent(ident.Incarnation, uint64) {}

// Holding tells which jobs another entry has held for long.
func (x words) Holding(to, holder ident.Incarnation, jobs []job.ID) {
	x.a.w.result.Messages.Takeovers++
	x.tell(to, func(e *entry, _ *link) { e.table.HandleHeld(e.w.Now(), holder, jobs) })
}

// Release asks the holder of a job to give it up.
func (x words) Release(t fleet.Takeover) {
	x.a.w.result.Messages.Takeovers++
	x.tell(t.Holder, func(e *entry, _ *link) { e.table.HandleTakeover(e.w.Now(), x.a.inc, t) })
}

// Released tells the entry that takes a job over that nothing of it remains.
func (x words) Released(r fleet.Released) {
	x.a.w.result.Messages.Takeovers++
	x.tell(r.NewHolder, func(e *entry, _ *link) { e.table.HandleReleased(e.w.Now(), x.a.inc, r) })
}

// Settled tells that nothing of earlier sessions remains.
func (x words) Settled(to ident.Incarnation) {
	x.tell(to, func(e *entry, _ *link) { e.table.HandleSettled(e.w.Now(), x.a.inc) })
}

// Lost tells all entries of the tasks that the upstream was lost under.
func (x words) UpstreamLost(l upstream.Loss) {
	for _, e := range x.a.order {
		x.a.links[e].toEntry(func() { e.table.HandleCrashes(e.w.Now(), l.Crashes(x.a.name)) })
	}
}

// Refuted tells all entries that a life has answered which was taken for lost.
func (x words) LossRefuted(r fleet.Refutation) {
	for _, e := range x.a.order {
		x.a.links[e].toEntry(func() { e.table.HandleRefutations(e.w.Now(), []fleet.Refutation{r}) })
	}
}

// quiet observes nothing.
type quiet struct{}

func (quiet) RunEnded(upstream.Ending)                                   {}
func (quiet) StateChanged(fleet.State, fleet.State, string)              {}
func (quiet) RunsOrphaned(ident.Incarnation, int, string, time.Duration) {}
func (quiet) LeaseLapsed(time.Duration)                                  {}
func (quiet) EndsUnconfirmed(ident.Incarnation, []fleet.End)             {}
func (quiet) HeartbeatOutlived(_, _ ident.UpstreamLife)                  {}
func (quiet) OrderGated(job.TaskID, ident.Incarnation)                   {}
func (quiet) StartUnsure(job.TaskID, job.Run)                            {}
func (quiet) LifeBegun(ident.UpstreamLife, string, bool)                 {}
func (quiet) HeartbeatDropped(lives.Heartbeat, uint64)                   {}
func (quiet) StrayChanged(fleet.RunRef, upstream.StrayEvent)             {}
func (quiet) ListingOvertaken()                                          {}
func (quiet) UpstreamLost(upstream.Loss)                                 {}
