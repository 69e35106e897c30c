package schedule

import (
	"time"

	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/config/cordon"
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/owner"
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
	// hear notes that something has come.
	hear  func()
	links map[*proc]*linkSide
	// asleep is for how long the VM was suspended during this life of the process.
	asleep time.Duration
	// back is by how much the VM's clock was set back before this life of the process.
	back time.Duration
}

// now is the process's clock.
func (p *proc) now() time.Time {
	now := p.w.Now().Add(-p.back)
	if p.w.without.Has(rule.CountSuspensions) {
		return now.Add(-p.asleep)
	}
	return now
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
	if p.now().Sub(p.tickAt) > timing.Silence/2 {
		p.tickAt = p.now()
		p.tickNow()
	}
}

// ticking lets time pass regularly.
func (p *proc) ticking(inc ident.Incarnation) {
	if p.inc != inc || !p.alive {
		return
	}
	if !p.frozen {
		p.tickAt = p.now()
		p.tickNow()
	}
	p.w.After(tick, func() { p.ticking(inc) })
}

func (p *proc) freeze(d time.Duration) { p.pause(d, "stands still", 0) }

// suspend lets the VM be suspended: the process stands still, and so does the clock that it must not go by.
func (p *proc) suspend(d time.Duration) { p.pause(d, "is suspended", d) }

// pause lets the process stand still for a while, during a part of which its VM is suspended.
func (p *proc) pause(d time.Duration, how string, suspended time.Duration) {
	if !p.alive || p.frozen {
		return
	}
	p.w.note("%s %s for %v", p.name, how, d)
	p.stand(d, suspended, func() { p.w.note("%s wakes", p.name) })
}

// stand lets the process stand still for a while, unless it does or has ended, and tells when it wakes.
func (p *proc) stand(d, suspended time.Duration, woken func()) {
	if !p.alive || p.frozen {
		return
	}
	p.frozen = true
	inc := p.inc
	p.w.After(d, func() {
		if p.inc != inc {
			return
		}
		woken()
		p.frozen = false
		p.asleep += suspended
		held := p.held
		p.held = nil
		for _, f := range held {
			p.do(f)
		}
	})
}

// entryProc is an entry.
type entryProc struct {
	proc
	table    *dispatch.Table
	keptJobs *owner.Owner
	// storeCut: the store is out of its reach.
	storeCut bool
	// storeSilent is from when on the store has not answered; zero is not.
	storeSilent time.Time
	waiting     map[dispatch.CallerID]func(dispatch.Answer)
	// open holds the requests whose connections end with the process.
	open map[dispatch.CallerID]openRequest
	// power: the process ended with its VM's power, so that nothing says that it has ended.
	power bool
	// cordons is what this life knows of cordons.
	cordons *cordon.Set
	// clientCut: nothing gets through to callers or from them, unnoticed by the entry.
	clientCut bool
	// cutUntil is when the newest cut from everything ends.
	cutUntil time.Time
}

// agentProc is an agent.
type agentProc struct {
	proc
	manager  *upstream.Controller
	upstream *simUpstream
	// cordons is what this life knows of cordons; cordonedAt is when it has learned that its zone is cordoned, zero while it is not, and
	// begunAt when it began.
	cordons             *cordon.Set
	cordonedAt, begunAt time.Time
	// crashes is what this life knows of crashes.
	crashes *crash.Tracker
	// disturbed is until when the agent is not in touch.
	disturbed time.Time
	// remembered outlasts the process, as its row in the store does.
	remembered *lives.Snapshot
	// rememberedCrashes does too, a write's time after they are known.
	rememberedCrashes []fleet.Crash
}

// Leases of kept jobs are shorter than by default, so that schedules are.
const (
	keptLease = 2 * time.Second
	keptRenew = 300 * time.Millisecond
)

func (w *world) startEntry(e *entryProc) {
	e.inc, e.alive, e.frozen, e.held = ident.Incarnation(w.rng.Uint64()), true, false, nil
	e.asleep = 0
	e.links = make(map[*proc]*linkSide)
	e.waiting, e.storeSilent = make(map[dispatch.CallerID]func(dispatch.Answer)), time.Time{}
	o := dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 100, MaxTasks: 100, Without: w.without}
	e.table = dispatch.New(o, entryIO{e}, entryIO{e}, nobody{}, w.rng.Uint64())
	e.keptJobs = owner.New(owner.Options{
		Node: e.name, Incarnation: e.inc, Layout: layout, LeaseDuration: keptLease, RenewInterval: keptRenew, Retention: time.Hour,
		SettleTime: timing.SettleAfter(), Without: w.without, MaxRow: 1 << 16, Count: func(string) {}, Log: w.logOf(e.name),
	}, storeIO{e, e.inc}, e.table, entryIO{e}, entryIO{e}, e.now())
	e.table.SetKeeper(e.keptJobs)
	e.cordons = cordon.NewSet(w.without)
	w.operators.read(&e.proc, func() bool { return e.storeCut }, e.adoptCordons)
	e.tickNow, e.hear = e.passTime, func() { e.table.RecordContact(e.now()) }
	e.ticking(e.inc)
}

func (e *entryProc) passTime() {
	e.keptJobs.Tick(e.now())
	e.table.Tick(e.now())
	for _, a := range e.w.agents {
		s := e.links[&a.proc]
		if s == nil {
			continue
		}
		if e.now().Sub(s.heard) > timing.Silence {
			s.open = false
			delete(e.links, &a.proc)
			e.unlinked(s.other.inc)
			continue
		}
		if e.now().Sub(s.ping) >= timing.KeepAlive {
			e.sendPing(s, a)
		}
	}
}

// unlinked handles the end of a link.
func (e *entryProc) unlinked(agent ident.Incarnation) {
	e.table.HandleUnlinked(e.now(), agent)
	e.keptJobs.HandleAgentLost(e.now(), agent)
}

func (e *entryProc) sendPing(s *linkSide, a *agentProc) {
	s.ping = e.now()
	echo, pace, inc := s.clock, e.table.Pace(), e.inc
	s.send(func() { a.manager.Ping(a.now(), inc, echo, pace); a.flush() })
}

func (w *world) startAgent(a *agentProc) {
	a.inc, a.alive, a.frozen, a.held = ident.Incarnation(w.rng.Uint64()), true, false, nil
	a.asleep = 0
	a.links = make(map[*proc]*linkSide)
	a.manager = upstream.New(timing, w.without, a.now(), agentIO{a, a.inc}, agentIO{a, a.inc}, agentNotes{a})
	a.crashes = crash.New(w.without)
	a.cordons, a.cordonedAt, a.begunAt = cordon.NewSet(w.without), time.Time{}, w.Now()
	if w.odds.cordons {
		a.manager.SetZone(upstream.ZoneUnknown)
	}
	w.operators.read(&a.proc, func() bool { return false }, a.adoptCordons)
	a.tickNow, a.hear = a.passTime, func() {}
	a.ticking(a.inc)
	a.recallCrashes()
	if u := a.remembered; u != nil && (w.odds.restarts || w.odds.recalls) {
		inc := a.inc
		w.After(w.between(5*time.Millisecond, 200*time.Millisecond), func() { a.doIn(inc, func() { a.manager.Recall(a.now(), *u); a.flush() }) })
	}
}

func (a *agentProc) flush() {
	a.manager.Flush(a.now())
	if u, known := a.manager.Snapshot(); known {
		a.remembered = &u
	}
}

func (a *agentProc) passTime() {
	a.manager.Tick(a.now())
	for _, e := range a.w.entries {
		s := a.links[&e.proc]
		if s != nil && a.now().Sub(s.heard) > timing.Silence {
			s.open = false
			delete(a.links, &e.proc)
			a.manager.EntryUnlinked(a.now(), s.other.inc, "silent")
		}
	}
	a.flush()
}
