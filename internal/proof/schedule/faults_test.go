package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// endEntry kills an entry. With power, its VM loses power and no peer is notified.
func (w *world) endEntry(e *entryProc, power bool, down time.Duration) {
	if !e.alive {
		return
	}
	w.logf("%s is killed (power %v)", e.name, power)
	e.alive, e.powerLost = false, power
	e.inc = 0
	for _, p := range w.pairs {
		if p.e == e {
			w.breakSide(p, p.a.links[&e.proc], power)
		}
	}
	var open []openRequest
	for _, o := range e.open {
		open = append(open, o)
	}
	slices.SortFunc(open, func(a, b openRequest) int {
		return cmp.Or(cmp.Compare(a.s.id, b.s.id), cmp.Compare(len(a.s.attempts), len(b.s.attempts)))
	})
	e.open = nil
	if !power {
		for _, o := range open {
			o.s.connectionLost(o.a)
		}
	}
	w.After(down, func() { w.startEntry(e); w.logf("%s starts", e.name) })
}

// endAgent kills an agent. Its upstream runs on until the lease lapses. With power, the agent's VM loses power and no peer
// is notified.
func (w *world) endAgent(a *agentProc, power bool, down time.Duration) {
	if !a.alive {
		return
	}
	w.logf("%s is killed (power %v)", a.name, power)
	a.markDisturbed(down)
	a.alive = false
	a.inc = 0
	for _, p := range w.pairs {
		if p.a == a {
			w.breakSide(p, p.e.links[&a.proc], power)
		}
	}
	w.After(down, func() { w.startAgent(a); w.logf("%s starts", a.name) })
}

// breakSide lets the surviving side of a link detect the break, unless the break is silent.
func (w *world) breakSide(p *pair, s *linkSide, silent bool) {
	if s != nil && !silent {
		w.After(w.between(0, 5*time.Millisecond), func() { p.detectBroken(s) })
	}
}

// partition holds back the messages between the processes of a pair, in one direction or both.
func (w *world) partition(p *pair, d time.Duration) {
	both := w.chance(0.6)
	toAgent := both || w.chance(0.5)
	p.cutToAgent, p.cutToEntry = toAgent || p.cutToAgent, both || !toAgent || p.cutToEntry
	w.logf("%s and %s are cut off for %v (to agent %v, to entry %v)", p.e.name, p.a.name, d, p.cutToAgent, p.cutToEntry)
	w.After(d, p.heal)
}

// heal ends the partition of a pair, unless its entry is isolated for longer.
func (p *pair) heal() {
	if w := p.e.w; !w.profile.agentsReachable && w.Now().Before(p.e.isolatedUntil) {
		return
	}
	p.cutToAgent, p.cutToEntry = false, false
	open := p.open[:0]
	for _, s := range p.open {
		if s.open {
			s.heal()
			open = append(open, s)
		}
	}
	p.open = open
}

// setDuring calls set now and unset after d.
func (w *world) setDuring(what string, d time.Duration, set, unset func()) {
	w.logf("%s for %v", what, d)
	set()
	w.After(d, unset)
}

// crashBehindCut may crash an upstream that is cut off and may restart its agent meanwhile, each in half of the cases. The
// new agent then knows neither life of the upstream.
func (w *world) crashBehindCut(a *agentProc, cut time.Duration) {
	if w.chance(0.5) {
		w.After(w.between(0, cut), func() {
			w.logf("%s crashes behind the cut", a.upstream.id)
			a.upstream.crash(w.between(0, cut))
		})
	}
	if w.chance(0.5) {
		w.After(w.between(0, cut), func() { w.endAgent(a, false, w.between(0, cut)) })
	}
}

// planRestarts plans restarts and drains of upstreams that keep their IDs.
func (w *world) planRestarts() {
	if !w.profile.restarts {
		return
	}
	w.planPowerLoss()
	for range 1 + w.rng.IntN(4) {
		u := w.agents[w.rng.IntN(len(w.agents))].upstream
		down := w.between(0, 800*time.Millisecond)
		if w.chance(0.2) {
			down = 0
		}
		if w.chance(0.4) {
			remaining := w.between(500*time.Millisecond, 3*time.Second)
			w.After(w.between(0, activePeriod), func() { u.drain(remaining, down) })
			continue
		}
		w.After(w.between(0, activePeriod), func() {
			if u.up {
				w.logf("%s crashes for %v", u.id, down)
				u.crash(down)
			}
		})
	}
}

// planPowerLoss lets all VMs, those of upstreams included, lose power at once in every fourth schedule. It has a random
// source of its own, so that all other draws of a seed stay as they were when its schedule was traced.
func (w *world) planPowerLoss() {
	if w.seed%4 != 2 {
		return
	}
	rng := rand.New(rand.NewPCG(w.seed, 3))
	at := time.Duration(rng.Int64N(int64(activePeriod)))
	down := time.Duration(rng.Int64N(int64(2 * time.Second)))
	w.After(at, func() {
		for _, e := range w.entries {
			w.endEntry(e, true, down)
		}
		for _, a := range w.agents {
			w.endAgent(a, true, down)
			if a.upstream.up {
				a.upstream.crash(down)
			}
		}
	})
}

// planSlowLinks plans when links are slow.
func (w *world) planSlowLinks() {
	for range w.profile.extraSlowLinks {
		w.After(w.between(0, activePeriod), func() {
			p := w.pairs[w.rng.IntN(len(w.pairs))]
			slow := w.between(20*time.Millisecond, 300*time.Millisecond)
			w.setDuring("the link of "+p.e.name+" and "+p.a.name+" is slow", w.between(time.Second, 3*time.Second), func() { p.slow = slow }, func() { p.slow = 0 })
		})
	}
}

// injectFault injects one random fault.
func (w *world) injectFault() {
	w.faults++
	e, a := w.entries[w.rng.IntN(len(w.entries))], w.agents[w.rng.IntN(len(w.agents))]
	p := w.pairs[w.rng.IntN(len(w.pairs))]
	u := a.upstream
	short := w.between(200*time.Millisecond, 3*time.Second)
	down := w.between(100*time.Millisecond, 2*time.Second)
	switch w.rng.IntN(24) {
	case 0, 1:
		w.endEntry(e, w.chance(0.5), down)
	case 2, 3:
		w.endAgent(a, w.chance(0.5), down)
	case 4:
		e.freeze(short)
	case 5:
		a.markDisturbed(short)
		a.freeze(short)
	case 6, 7:
		p.a.markDisturbed(short)
		w.partition(p, short)
	case 8:
		p.a.markDisturbed(0)
		w.breakLink(p, w.chance(0.3))
	case 9:
		w.logf("%s crashes", u.id)
		u.crash(down)
	case 10:
		w.setDuring("upstream "+u.name+" is cut off", short, func() { u.cut = true }, func() { u.cut = false })
		if w.delayHeartbeats {
			w.crashBehindCut(a, short)
		}
	case 11, 12:
		lateRate, lossRate := w.rng.Float64(), 0.3+0.6*w.rng.Float64()
		w.setDuring("upstream "+u.name+" loses orders", short, func() { u.lossRate, u.lateRate, u.dropsLost = lossRate, lateRate, w.chance(0.5) }, func() { u.lossRate = 0 })
	case 13:
		w.setDuring("upstream "+u.name+" fails", short, func() { u.failRate = w.rng.Float64() }, func() { u.failRate = 0 })
	case 14:
		w.setDuring("upstream "+u.name+" hangs", short, func() { u.hangRate = w.rng.Float64() }, func() { u.hangRate = 0 })
	case 15:
		if w.profile.partitions {
			w.partitions.isolate(e, short)
			return
		}
		w.setDuring("callers are cut off from "+e.name, short, func() { e.callersCut = true }, func() { e.callersCut = false })
	case 16:
		slow := w.between(50*time.Millisecond, 2*time.Second)
		p.a.markDisturbed(short)
		w.setDuring("the link of "+p.e.name+" and "+p.a.name+" is slow", short, func() { p.slow = slow }, func() { p.slow = 0 })
	case 18:
		w.setDuring("upstream "+u.name+" is slow", short, func() { u.slowdown = 2 + 4*w.rng.Float64() }, func() { u.slowdown = 0 })
	case 19:
		w.markAllDisturbed(short)
		w.setDuring("the store is silent", short, func() { w.store.silent = true }, func() { w.store.silent = false })
	case 20:
		w.markAllDisturbed(short)
		w.setDuring("the store is busy", short, func() { w.store.busy = true }, func() { w.store.busy = false })
	case 21, 22:
		lossRate, lateRate := 0.2+0.6*w.rng.Float64(), w.rng.Float64()
		w.markAllDisturbed(short)
		w.setDuring("the store loses answers", short, func() { w.store.lossRate, w.store.lateRate = lossRate, lateRate }, func() { w.store.lossRate = 0 })
	case 23:
		w.setDuring("the store is out of reach of "+e.name, w.between(time.Second, 6*time.Second), func() { e.storeCut = true }, func() { e.storeCut = false })
	case 17:
		power := w.chance(0.5)
		for _, x := range w.entries {
			w.endEntry(x, power, down)
		}
		for _, x := range w.agents {
			w.endAgent(x, power, down)
		}
	}
}
