package schedule

import (
	"time"

	"hillreel/internal/agent/lives"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/agent/witness"
	"hillreel/internal/config/cordon"
	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/unconfirmed"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/kept/owner"
)

// proc is the common part of entries and agents: a process that can die, freeze and wake.
type proc struct {
	w        *world
	name     string
	inc      ident.Incarnation
	alive    bool
	frozen   bool
	deferred []func()
	lastTick time.Time
	// tickNow runs the state machine's periodic work.
	tickNow func()
	// recordContact records that a message has arrived.
	recordContact func()
	links         map[*proc]*linkSide
	// suspendedFor is how long the VM was suspended during this incarnation.
	suspendedFor time.Duration
	// clockSetBack is by how much the VM's clock was set back before this incarnation.
	clockSetBack time.Duration
}

// now returns the reading of the process's clock.
func (p *proc) now() time.Time {
	now := p.w.Now().Add(-p.clockSetBack)
	if p.w.without.Has(rule.CountSuspensions) {
		return now.Add(-p.suspendedFor)
	}
	return now
}

// do handles an event now, or once the process wakes.
func (p *proc) do(f func()) {
	switch {
	case !p.alive:
	case p.frozen:
		p.deferred = append(p.deferred, f)
	default:
		p.catchUp()
		f()
	}
}

// doIn is do for an event that only the given incarnation may handle.
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
	if p.now().Sub(p.lastTick) > timing.Silence/2 {
		p.lastTick = p.now()
		p.tickNow()
	}
}

// scheduleTicks runs a tick now and every tickInterval while the incarnation lives.
func (p *proc) scheduleTicks(inc ident.Incarnation) {
	if p.inc != inc || !p.alive {
		return
	}
	if !p.frozen {
		p.lastTick = p.now()
		p.tickNow()
	}
	p.w.After(tickInterval, func() { p.scheduleTicks(inc) })
}

func (p *proc) freeze(d time.Duration) { p.pause(d, "stands still", 0) }

// suspend suspends the VM. The process stops, and so does a clock that doesn't count suspensions, which the process must
// not use.
func (p *proc) suspend(d time.Duration) { p.pause(d, "is suspended", d) }

// pause freezes the process for d and logs it. suspended is the part of d for which its VM is suspended.
func (p *proc) pause(d time.Duration, how string, suspended time.Duration) {
	if !p.alive || p.frozen {
		return
	}
	p.w.logf("%s %s for %v", p.name, how, d)
	p.block(d, suspended, func() { p.w.logf("%s wakes", p.name) })
}

// block freezes the process for d and calls onWake when that time is over. It does nothing if the process is frozen or has
// ended.
func (p *proc) block(d, suspended time.Duration, onWake func()) {
	if !p.alive || p.frozen {
		return
	}
	p.frozen = true
	inc := p.inc
	p.w.After(d, func() {
		if p.inc != inc {
			return
		}
		onWake()
		p.frozen = false
		p.suspendedFor += suspended
		deferred := p.deferred
		p.deferred = nil
		for _, f := range deferred {
			p.do(f)
		}
	})
}

// entryProc is an entry.
type entryProc struct {
	proc
	table    *dispatch.Table
	keptJobs *owner.Owner
	// storeCut indicates whether the store is unreachable from this entry.
	storeCut bool
	// storeSilentSince is when the first call since the last successful one failed or was refused; zero if there is none.
	storeSilentSince time.Time
	waiting          map[dispatch.CallerID]func(dispatch.Answer)
	// open holds the requests whose connections end with the process.
	open map[dispatch.CallerID]openRequest
	// powerLost indicates whether the process ended because its VM lost power, so that no peer is notified.
	powerLost bool
	// cordons is what this incarnation knows of cordons.
	cordons *cordon.Set
	// callersCut indicates whether the entry is cut off from callers without noticing.
	callersCut bool
	// isolatedUntil is when the newest isolation of the entry ends.
	isolatedUntil time.Time
}

// agentProc is an agent.
type agentProc struct {
	proc
	controller *upstream.Controller
	upstream   *simUpstream
	// cordons is what this incarnation knows of cordons. cordonedAt is when it learned that its zone is cordoned, and zero
	// while the zone is not; begunAt is when it began.
	cordons             *cordon.Set
	cordonedAt, begunAt time.Time
	// crashes is what this incarnation knows of crashes.
	crashes *crash.Tracker
	// unconfirmed is what this incarnation knows of crashes that are not confirmed yet.
	unconfirmed unconfirmed.Crashes
	// witness holds the runs of suspected tasks that entries have reported to this incarnation.
	witness witness.Book
	// disturbedUntil is the end of the time in which the agent may be out of contact.
	disturbedUntil time.Time
	// storedState outlives the process, as its row in the store does.
	storedState *lives.Snapshot
	// storedCrashes outlives the process too. Crashes are in it rowWriteTime after the agent learned of them.
	storedCrashes []fleet.Crash
}

// Leases of kept jobs are shorter than by default, to keep schedules short.
const (
	keptLease = 2 * time.Second
	keptRenew = 300 * time.Millisecond
)

func (w *world) startEntry(e *entryProc) {
	e.inc, e.alive, e.frozen, e.deferred = ident.Incarnation(w.rng.Uint64()), true, false, nil
	e.suspendedFor = 0
	e.links = make(map[*proc]*linkSide)
	e.waiting, e.storeSilentSince = make(map[dispatch.CallerID]func(dispatch.Answer)), time.Time{}
	o := dispatch.Options{Timing: timing, Zone: "z", MaxQueue: 100, MaxTasks: 100, Without: w.without}
	if w.profile.claims {
		o.ClaimFrom = claimingEntries
	}
	e.table = dispatch.New(o, entryIO{e}, entryIO{e}, nopObserver{}, w.rng.Uint64())
	if w.profile.claims {
		e.table.SetEntries(claimingEntries)
	}
	e.keptJobs = owner.New(owner.Options{
		Node: e.name, Incarnation: e.inc, Layout: layout, LeaseDuration: keptLease, RenewInterval: keptRenew, Retention: time.Hour,
		SettleTime: timing.SettleAfter(), Without: w.without, MaxRow: 1 << 16, Count: func(string) {}, Log: w.newLog(e.name),
	}, storeIO{e, e.inc}, e.table, entryIO{e}, entryIO{e}, e.now())
	e.table.SetKeeper(e.keptJobs)
	w.applyShares(e)
	e.cordons = cordon.NewSet(w.without)
	w.operators.pollCordons(&e.proc, func() bool { return e.storeCut }, e.adoptCordons)
	e.tickNow, e.recordContact = e.onTick, func() { e.table.RecordContact(e.now()) }
	e.scheduleTicks(e.inc)
}

func (e *entryProc) onTick() {
	e.keptJobs.Tick(e.now())
	e.table.Tick(e.now())
	for _, a := range e.w.agents {
		s := e.links[&a.proc]
		if s == nil {
			continue
		}
		if e.now().Sub(s.lastHeard) > timing.Silence {
			s.open = false
			delete(e.links, &a.proc)
			e.unlinked(s.other.inc)
			continue
		}
		if e.now().Sub(s.lastPing) >= timing.KeepAlive {
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
	s.lastPing = e.now()
	echo, pace, inc := s.agentClock, e.table.Pace(), e.inc
	s.send(func() { a.controller.Ping(a.now(), inc, echo, pace); a.flush() })
}

func (w *world) startAgent(a *agentProc) {
	a.inc, a.alive, a.frozen, a.deferred = ident.Incarnation(w.rng.Uint64()), true, false, nil
	a.suspendedFor = 0
	a.links = make(map[*proc]*linkSide)
	a.controller = upstream.New(timing, 0, w.without, a.now(), agentIO{a, a.inc}, agentIO{a, a.inc}, agentObserver{a})
	a.crashes, a.unconfirmed = crash.New(w.without), unconfirmed.Crashes{}
	a.witness = witness.Book{}
	a.cordons, a.cordonedAt, a.begunAt = cordon.NewSet(w.without), time.Time{}, w.Now()
	if w.profile.cordons {
		a.controller.SetZone(upstream.ZoneUnknown)
	}
	w.operators.pollCordons(&a.proc, func() bool { return false }, a.adoptCordons)
	a.tickNow, a.recordContact = a.onTick, func() {}
	a.scheduleTicks(a.inc)
	a.loadCrashes()
	if u := a.storedState; u != nil && (w.profile.restarts || w.profile.recallState) {
		inc := a.inc
		w.After(w.between(5*time.Millisecond, 200*time.Millisecond), func() { a.doIn(inc, func() { a.controller.Recall(a.now(), *u); a.flush() }) })
	}
}

// unlinked handles the end of a link.
func (a *agentProc) unlinked(e *entryProc, inc ident.Incarnation, why string) {
	a.controller.EntryUnlinked(a.now(), inc, why)
	if running := a.witness.Take(inc); len(running) > 0 {
		a.w.logf("%s tells of suspects of %s: %v", a.name, e.name, describe(running))
		a.relayUnconfirmed(e, running)
	}
}

func (a *agentProc) flush() {
	a.controller.Flush(a.now())
	if u, known := a.controller.Snapshot(); known {
		a.storedState = &u
	}
}

func (a *agentProc) onTick() {
	a.controller.Tick(a.now())
	for _, e := range a.w.entries {
		s := a.links[&e.proc]
		if s != nil && a.now().Sub(s.lastHeard) > timing.Silence {
			s.open = false
			delete(a.links, &e.proc)
			a.unlinked(e, s.other.inc, "silent")
		}
	}
	a.flush()
}
