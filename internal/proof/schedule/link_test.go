package schedule

import (
	"time"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/ident"
)

// linkSide is one side of a link.
type linkSide struct {
	other     *linkSide
	owner     *proc
	inc       ident.Incarnation
	open      bool
	lastHeard time.Time
	// lastArrival is when the newest message to the other side arrives. Messages arrive in the order in which they were
	// sent.
	lastArrival time.Time
	agentClock  time.Duration
	lastPing    time.Time
	// cordons is what the other side knows of cordons.
	cordons *cordon.Peer
	// slow is the longest extra delay of a message. Both sides of a link and the links that follow it share the value.
	slow *time.Duration
	// cut indicates whether messages to the other side are held back until the partition ends.
	cut     *bool
	delayed []func()
}

// send delivers a message to the other side, in order.
func (s *linkSide) send(f func()) {
	if !s.open {
		return
	}
	deliver := func() {
		o := s.other
		if o.open && o.owner.inc == o.inc {
			o.owner.do(func() {
				if o.open && o.owner.inc == o.inc {
					o.lastHeard = o.owner.now()
					o.owner.recordContact()
					f()
				}
			})
		}
	}
	if *s.cut {
		s.delayed = append(s.delayed, deliver)
		return
	}
	s.schedule(deliver)
}

func (s *linkSide) schedule(deliver func()) {
	w := s.owner.w
	at := w.Now().Add(w.between(100*time.Microsecond, 3*time.Millisecond+*s.slow) + w.cpuStarvation.drawDelay())
	if !at.After(s.lastArrival) {
		at = s.lastArrival.Add(time.Microsecond)
	}
	s.lastArrival = at
	w.After(at.Sub(w.Now()), deliver)
}

// heal schedules the delivery of the messages that a partition held back.
func (s *linkSide) heal() {
	waiting := s.delayed
	s.delayed = nil
	for _, f := range waiting {
		s.schedule(f)
	}
}

// pair is an entry and an agent. cutToAgent and cutToEntry partition one direction each.
type pair struct {
	e                      *entryProc
	a                      *agentProc
	cutToAgent, cutToEntry bool
	slow                   time.Duration
	open                   []*linkSide
	// linkedInc is the incarnation of the entry that was linked last.
	linkedInc ident.Incarnation
}

// dial keeps a pair linked.
func (w *world) dial(p *pair) {
	ready := p.e.alive && p.a.alive && !p.e.frozen && !p.a.frozen && !p.cutToAgent && !p.cutToEntry
	if ready && p.a.links[&p.e.proc] == nil {
		w.link(p)
	}
	if !p.e.alive && !p.e.powerLost && p.a.alive && !p.a.frozen && !p.cutToAgent && !p.cutToEntry {
		// The entry's VM is up and refuses the connection.
		p.a.controller.EntryGone(p.a.now(), p.linkedInc, "refused")
		p.a.flush()
	}
	w.After(redialInterval, func() { w.dial(p) })
}

func (w *world) link(p *pair) {
	toAgent := &linkSide{owner: &p.e.proc, inc: p.e.inc, open: true, lastHeard: p.e.now(), cut: &p.cutToAgent, slow: &p.slow, cordons: cordon.NewPeer()}
	toEntry := &linkSide{owner: &p.a.proc, inc: p.a.inc, open: true, lastHeard: p.a.now(), cut: &p.cutToEntry, slow: &p.slow, cordons: cordon.NewPeerWithoutCordons()}
	toAgent.other, toEntry.other = toEntry, toAgent
	p.open = append(p.open, toAgent, toEntry)
	if old := p.e.links[&p.a.proc]; old != nil {
		old.open = false
		p.e.unlinked(old.other.inc)
	}
	p.e.links[&p.a.proc], p.a.links[&p.e.proc] = toAgent, toEntry
	if p.linkedInc != p.e.inc {
		p.a.controller.EntryGone(p.a.now(), p.linkedInc, "restarted")
		p.linkedInc = p.e.inc
	}
	p.e.recordContact()
	p.e.table.HandleLinked(p.e.now(), p.a.inc, ident.UpstreamName(p.a.name), w.zoneOf(p.a))
	p.a.sendKnownCrashes(toEntry)
	p.a.controller.EntryLinked(p.a.now(), p.e.inc)
	p.e.sendCordons(toAgent)
	p.e.sendKnownCrashes(toAgent)
	p.a.sendCordons(toEntry)
	p.a.flush()
}

// breakLink breaks a pair's link. Each side detects that at once or, if the break is silent, perhaps only by the other
// side's silence.
func (w *world) breakLink(p *pair, silent bool) {
	for _, s := range []*linkSide{p.e.links[&p.a.proc], p.a.links[&p.e.proc]} {
		if s == nil {
			continue
		}
		if silent && w.chance(0.5) {
			continue
		}
		side := s
		w.After(w.between(0, 5*time.Millisecond), func() { p.detectBroken(side) })
	}
}

// detectBroken lets one side handle the break of its link.
func (p *pair) detectBroken(s *linkSide) {
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
			p.a.unlinked(p.e, s.other.inc, "broken")
			p.a.flush()
		}
	})
}
