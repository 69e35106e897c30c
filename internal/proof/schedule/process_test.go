package schedule

import (
	"time"

	"hillreel/internal/agent/call"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/book"
)

// proc is what entries and agents have in common: they die, stand still and wake.
type proc struct {
	w      *world
	name   string
	inc    ident.Incarnation
	alive  bool
	frozen bool
	held   []func()
	tickAt time.Time
	// tickNow lets time pass for the state machine.
	tickNow func()
	links   map[*proc]*linkSide
}

// do handles an event now, or once the process wakes.
func (p *proc) do(f func()) {
	switch {
	case !p.alive:
	case p.frozen:
		p.held = append(p.held, f)
	default:
		p.catchUp()
		f()
	}
}

// doIn is do for an event that only this life of the process may handle.
func (p *proc) doIn(inc ident.Incarnation, f func()) {
	if p.inc == inc {
		p.do(func() {
			if p.inc == inc {
				f()
			}
		})
	}
}

func (p *proc) catchUp() {
	if p.w.now.Sub(p.tickAt) > timing.Silence/2 {
		p.tickAt = p.w.now
		p.tickNow()
	}
}

// ticking lets time pass regularly.
func (p *proc) ticking(inc ident.Incarnation) {
	if p.inc != inc || !p.alive {
		return
	}
	if !p.frozen {
		p.tickAt = p.w.now
		p.tickNow()
	}
	p.w.after(tick, func() { p.ticking(inc) })
}

func (p *proc) freeze(d time.Duration) {
	if !p.alive || p.frozen {
		return
	}
	p.w.note("%s stands still for %v", p.name, d)
	p.frozen = true
	inc := p.inc
	p.w.after(d, func() {
		if p.inc != inc {
			return
		}
		p.w.note("%s wakes", p.name)
		p.frozen = false
		held := p.held
		p.held = nil
		for _, f := range held {
			p.do(f)
		}
	})
}

// linkSide is one side of a link.
type linkSide struct {
	other *linkSide
	owner *proc
	inc   ident.Incarnation
	open  bool
	heard time.Time
	// next is when the newest message to the other side arrives; order is kept.
	next  time.Time
	clock time.Duration
	ping  time.Time
	// slow is the longest delay of a message, which many links share.
	slow *time.Duration
	// cut: messages to the other side wait until the cut ends.
	cut  *bool
	wait []func()
}

// send carries a message to the other side, in order.
func (s *linkSide) send(f func()) {
	if !s.open {
		return
	}
	w := s.owner.w
	deliver := func() {
		o := s.other
		if o.open && o.owner.inc == o.inc {
			o.owner.do(func() {
				if o.open && o.owner.inc == o.inc {
					o.heard = w.now
					f()
				}
			})
		}
	}
	if *s.cut {
		s.wait = append(s.wait, deliver)
		return
	}
	s.carry(deliver)
}

func (s *linkSide) carry(deliver func()) {
	w := s.owner.w
	at := w.now.Add(w.between(100*time.Microsecond, 3*time.Millisecond+*s.slow))
	if !at.After(s.next) {
		at = s.next.Add(time.Microsecond)
	}
	s.next = at
	w.after(at.Sub(w.now), deliver)
}

// heal lets messages that a cut held up arrive late.
func (s *linkSide) heal() {
	waiting := s.wait
	s.wait = nil
	for _, f := range waiting {
		s.carry(f)
	}
}

// entryProc is an entry.
type entryProc struct {
	proc
	table *dispatch.Table
	book  *book.Book
	// storeCut: the store is out of its reach.
	storeCut bool
	// storeSilent is from when on the store has not answered; zero is not.
	storeSilent time.Time
	waiting     map[dispatch.CallerID]func(dispatch.Answer)
	// open holds the requests whose connections end with the process.
	open map[dispatch.CallerID]openRequest
	// power: the process ended with its VM's power, so that nothing says that it has ended.
	power bool
	// clientCut: nothing gets through to callers or from them, unnoticed by the entry.
	clientCut bool
}

// agentProc is an agent.
type agentProc struct {
	proc
	keeper   *upstream.Keeper
	upstream *simUpstream
}

// pair is an entry and an agent; the cuts are one for each direction.
type pair struct {
	e              *entryProc
	a              *agentProc
	toAgent, toEnt bool
	slow           time.Duration
	open           []*linkSide
	// last is the entry's life that was linked last.
	last ident.Incarnation
}

// Leases of kept jobs are shorter than by default, so that schedules are.
const (
	keptLease = 2 * time.Second
	keptRenew = 300 * time.Millisecond
)

func (w *world) startEntry(e *entryProc) {
	e.inc, e.alive, e.frozen, e.held = ident.Incarnation(w.rng.Uint64()), true, false, nil
	e.links = make(map[*proc]*linkSide)
	e.waiting, e.storeSilent = make(map[dispatch.CallerID]func(dispatch.Answer)), time.Time{}
	o := dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 100, MaxTasks: 100, Without: w.without}
	e.table = dispatch.New(o, entryIO{e}, entryIO{e}, nobody{}, w.rng.Uint64())
	e.book = book.New(book.Options{
		Node: e.name, Incarnation: e.inc, Layout: layout, Lease: keptLease, Renew: keptRenew, Keep: time.Hour,
		Settle: timing.SettleAfter(), Without: w.without, MaxRow: 1 << 16, Count: func(string) {}, Log: w.logOf(e.name),
	}, storeIO{e, e.inc}, e.table, entryIO{e}, entryIO{e}, w.now)
	e.table.SetKeeper(e.book)
	e.tickNow = e.passTime
	e.ticking(e.inc)
}

func (e *entryProc) passTime() {
	e.book.Tick(e.w.now)
	e.table.Tick(e.w.now)
	for _, a := range e.w.agents {
		s := e.links[&a.proc]
		if s == nil {
			continue
		}
		if e.w.now.Sub(s.heard) > timing.Silence {
			s.open = false
			delete(e.links, &a.proc)
			e.unlinked(s.other.inc)
			continue
		}
		if e.w.now.Sub(s.ping) >= timing.KeepAlive {
			e.sendPing(s, a)
		}
	}
}

// unlinked handles the end of a link.
func (e *entryProc) unlinked(agent ident.Incarnation) {
	e.table.Unlinked(e.w.now, agent)
	e.book.AgentLost(e.w.now, agent)
}

func (e *entryProc) sendPing(s *linkSide, a *agentProc) {
	s.ping = e.w.now
	echo, pace, inc := s.clock, e.table.Pace(), e.inc
	s.send(func() { a.keeper.Ping(e.w.now, inc, echo, pace); a.flush() })
}

func (w *world) startAgent(a *agentProc) {
	a.inc, a.alive, a.frozen, a.held = ident.Incarnation(w.rng.Uint64()), true, false, nil
	a.links = make(map[*proc]*linkSide)
	a.keeper = upstream.New(timing, w.without, w.now, agentIO{a, a.inc}, agentIO{a, a.inc}, agentNotes{a})
	a.tickNow = a.passTime
	a.ticking(a.inc)
}

func (a *agentProc) flush() { a.keeper.Flush(a.w.now) }

func (a *agentProc) passTime() {
	a.keeper.Tick(a.w.now)
	for _, e := range a.w.entries {
		s := a.links[&e.proc]
		if s != nil && a.w.now.Sub(s.heard) > timing.Silence {
			s.open = false
			delete(a.links, &e.proc)
			a.keeper.Unlinked(a.w.now, s.other.inc, "silent")
		}
	}
	a.flush()
}

// dial keeps a pair linked.
func (w *world) dial(p *pair) {
	ready := p.e.alive && p.a.alive && !p.e.frozen && !p.a.frozen && !p.toAgent && !p.toEnt
	if ready && p.a.links[&p.e.proc] == nil {
		w.link(p)
	}
	if !p.e.alive && !p.e.power && p.a.alive && !p.a.frozen && !p.toAgent && !p.toEnt {
		// The VM answers that nobody listens.
		p.a.keeper.Gone(w.now, p.last, "refused")
		p.a.flush()
	}
	w.after(redial, func() { w.dial(p) })
}

func (w *world) link(p *pair) {
	toAgent := &linkSide{owner: &p.e.proc, inc: p.e.inc, open: true, heard: w.now, cut: &p.toAgent, slow: &p.slow}
	toEntry := &linkSide{owner: &p.a.proc, inc: p.a.inc, open: true, heard: w.now, cut: &p.toEnt, slow: &p.slow}
	toAgent.other, toEntry.other = toEntry, toAgent
	p.open = append(p.open, toAgent, toEntry)
	if old := p.e.links[&p.a.proc]; old != nil {
		old.open = false
		p.e.unlinked(old.other.inc)
	}
	p.e.links[&p.a.proc], p.a.links[&p.e.proc] = toAgent, toEntry
	if p.last != p.e.inc {
		p.a.keeper.Gone(w.now, p.last, "restarted")
		p.last = p.e.inc
	}
	p.e.table.Linked(w.now, p.a.inc, "vm", "z")
	p.a.keeper.Linked(w.now, p.e.inc)
	p.a.flush()
}

// snap breaks a pair's link; each side learns of it, or only by the other's silence.
func (w *world) snap(p *pair, silent bool) {
	for _, s := range []*linkSide{p.e.links[&p.a.proc], p.a.links[&p.e.proc]} {
		if s == nil {
			continue
		}
		if silent && w.chance(0.5) {
			continue
		}
		side := s
		w.after(w.between(0, 5*time.Millisecond), func() { p.noticed(side) })
	}
}

// noticed lets one side take in that its link is broken.
func (p *pair) noticed(s *linkSide) {
	s.owner.doIn(s.inc, func() {
		if !s.open {
			return
		}
		s.open = false
		if s.owner == &p.e.proc && p.e.links[&p.a.proc] == s {
			delete(p.e.links, &p.a.proc)
			p.e.unlinked(s.other.inc)
		}
		if s.owner == &p.a.proc && p.a.links[&p.e.proc] == s {
			delete(p.a.links, &p.e.proc)
			p.a.keeper.Unlinked(p.a.w.now, s.other.inc, "broken")
			p.a.flush()
		}
	})
}

// entryIO carries an entry's words.
type entryIO struct{ e *entryProc }

func (x entryIO) linkTo(agent ident.Incarnation) (*linkSide, *agentProc) {
	for _, a := range x.e.w.agents {
		if s := x.e.links[&a.proc]; s != nil && s.other.inc == agent {
			return s, a
		}
	}
	return nil, nil
}

func (x entryIO) Order(agent ident.Incarnation, o fleet.Order) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.keeper.Order(a.w.now, inc, o); a.flush() })
	}
}

func (x entryIO) Stop(agent ident.Incarnation, r fleet.RunRef, why fleet.Reason) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.keeper.StopTask(a.w.now, inc, r.Task, r.Run, why); a.flush() })
	}
}

func (x entryIO) Linked() []ident.Incarnation {
	var out []ident.Incarnation
	for _, a := range x.e.w.agents {
		if s := x.e.links[&a.proc]; s != nil {
			out = append(out, s.other.inc)
		}
	}
	return out
}

func (x entryIO) Noted(agent ident.Incarnation, runs []fleet.RunRef, void bool) {
	if s, a := x.linkTo(agent); s != nil {
		s.send(func() { a.keeper.Noted(runs, void); a.flush() })
	}
}

func (x entryIO) Ask(agent ident.Incarnation, number uint64, jobs []job.ID) {
	if s, a := x.linkTo(agent); s != nil {
		inc := x.e.inc
		s.send(func() { a.keeper.Ask(a.w.now, inc, number, jobs); a.flush() })
	}
}

func (x entryIO) Answer(c dispatch.CallerID, a dispatch.Answer) {
	answer := x.e.waiting[c]
	if answer == nil {
		x.e.w.violate("caller %d is answered twice, or was never there", c)
		return
	}
	delete(x.e.waiting, c)
	answer(a)
}

// agentIO carries an agent's words and calls.
type agentIO struct {
	a   *agentProc
	inc ident.Incarnation
}

func (x agentIO) back(f func()) {
	x.a.doIn(x.inc, func() { f(); x.a.flush() })
}

func (x agentIO) Start(c call.Start) {
	u := x.a.upstream
	u.order(func() call.Answer { return u.start(c) }, func(a call.Answer, clock call.Clock) {
		x.back(func() { x.a.keeper.StartDone(x.a.w.now, c, a, clock) })
	})
}

func (x agentIO) Stop(c call.Stop) {
	u := x.a.upstream
	u.order(func() call.Answer { return u.stop(c) }, func(a call.Answer, clock call.Clock) {
		x.back(func() { x.a.keeper.StopDone(x.a.w.now, c, a, clock) })
	})
}

func (x agentIO) Hold(c call.Hold) {
	u, w := x.a.upstream, x.a.w
	answered := false
	reply := func(h call.Held) {
		if !answered {
			answered = true
			x.back(func() { x.a.keeper.HoldDone(w.now, c, h) })
		}
	}
	w.after(c.Wait+callTimeout, func() { reply(call.Held{Answer: call.Unanswered}) })
	lost := w.chance(u.loses / 4)
	w.after(w.between(100*time.Microsecond, 2*time.Millisecond), func() {
		if !u.up || u.cut {
			return
		}
		u.hold(c, func(h call.Held) {
			if !lost && !u.cut {
				w.after(w.between(100*time.Microsecond, 2*time.Millisecond), func() { reply(h) })
			}
		})
	})
}

func (x agentIO) to(entry ident.Incarnation) (*linkSide, *entryProc) {
	for _, e := range x.a.w.entries {
		if s := x.a.links[&e.proc]; s != nil && s.other.inc == entry {
			return s, e
		}
	}
	return nil, nil
}

func (x agentIO) tell(entry ident.Incarnation, f func(e *entryProc, s *linkSide)) {
	if s, e := x.to(entry); s != nil {
		s.send(func() { f(e, s.other) })
	}
}

func (x agentIO) Upstream(to ident.Incarnation, u fleet.Upstream) {
	x.tell(to, func(e *entryProc, _ *linkSide) { e.table.Upstream(x.inc, u) })
}

func (x agentIO) Room(to ident.Incarnation, r fleet.Room) {
	x.tell(to, func(e *entryProc, s *linkSide) {
		first := s.clock == 0
		s.clock = r.Clock
		if first {
			e.sendPing(s, x.a)
		}
		e.table.Room(e.w.now, x.inc, r)
	})
}

func (x agentIO) End(to ident.Incarnation, e fleet.End) {
	x.tell(to, func(p *entryProc, _ *linkSide) {
		if !p.table.Ended(p.w.now, x.inc, e) && e.Kept {
			p.book.StrayEnd(p.w.now, x.inc, e)
		}
	})
}

func (x agentIO) Progress(to ident.Incarnation, runs []fleet.Progress) {
	x.tell(to, func(e *entryProc, _ *linkSide) { e.table.Progress(e.w.now, x.inc, runs) })
}

func (x agentIO) Resumed(to ident.Incarnation, runs []fleet.RunRef) {
	x.tell(to, func(e *entryProc, _ *linkSide) { e.table.Resumed(x.inc, runs) })
}

func (x agentIO) Asked(to ident.Incarnation, number uint64) {
	x.tell(to, func(p *entryProc, _ *linkSide) { p.book.Asked(p.w.now, x.inc, number) })
}

func (x agentIO) Settled(to ident.Incarnation) {
	x.tell(to, func(e *entryProc, _ *linkSide) { e.table.Settled(e.w.now, x.inc) })
}

// nobody observes nothing.
type nobody struct{}

func (nobody) Placed(job.ID, ident.UpstreamName, *fleet.Order, time.Duration)   {}
func (nobody) Ended(ident.UpstreamName, fleet.End, string)                      {}
func (nobody) Answered(job.ID, *route.Route, dispatch.Answer, dispatch.Summary) {}
func (nobody) Lost(ident.UpstreamName, int, string)                             {}
func (nobody) Taken(*dispatch.Request)                                          {}

// agentNotes notes what an agent decides.
type agentNotes struct{ a *agentProc }

func (n agentNotes) Ended(_ ident.Incarnation, e fleet.End) {
	if e.Outcome != job.Done {
		n.a.w.note("%s: run %d of %v is %s %s", n.a.name, e.Run, e.Task, e.Outcome, e.Reason)
	}
}

func (n agentNotes) State(from, to fleet.State, why string) {
	n.a.w.note("%s: %s after %s, %s", n.a.name, to, from, why)
}

func (n agentNotes) Orphaned(_ ident.Incarnation, runs int, why string) {
	n.a.w.note("%s: %d runs of an entry that is %s", n.a.name, runs, why)
}

func (n agentNotes) Unsure(task job.TaskID, run job.Run) {
	n.a.w.note("%s: run %d of %v may have started", n.a.name, run, task)
}
