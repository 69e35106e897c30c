package schedule

import (
	"time"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/ident"
)

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
	// cordons is what the other side knows of cordons.
	cordons *cordon.Peer
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
	deliver := func() {
		o := s.other
		if o.open && o.owner.inc == o.inc {
			o.owner.do(func() {
				if o.open && o.owner.inc == o.inc {
					o.heard = o.owner.now()
					o.owner.hear()
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
	at := w.Now().Add(w.between(100*time.Microsecond, 3*time.Millisecond+*s.slow) + w.sliced.delay())
	if !at.After(s.next) {
		at = s.next.Add(time.Microsecond)
	}
	s.next = at
	w.After(at.Sub(w.Now()), deliver)
}

// heal lets messages that a cut held up arrive late.
func (s *linkSide) heal() {
	waiting := s.wait
	s.wait = nil
	for _, f := range waiting {
		s.carry(f)
	}
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

// dial keeps a pair linked.
func (w *world) dial(p *pair) {
	ready := p.e.alive && p.a.alive && !p.e.frozen && !p.a.frozen && !p.toAgent && !p.toEnt
	if ready && p.a.links[&p.e.proc] == nil {
		w.link(p)
	}
	if !p.e.alive && !p.e.power && p.a.alive && !p.a.frozen && !p.toAgent && !p.toEnt {
		// The VM answers that nobody listens.
		p.a.manager.EntryGone(p.a.now(), p.last, "refused")
		p.a.flush()
	}
	w.After(redial, func() { w.dial(p) })
}

func (w *world) link(p *pair) {
	toAgent := &linkSide{owner: &p.e.proc, inc: p.e.inc, open: true, heard: p.e.now(), cut: &p.toAgent, slow: &p.slow, cordons: cordon.NewPeer()}
	toEntry := &linkSide{owner: &p.a.proc, inc: p.a.inc, open: true, heard: p.a.now(), cut: &p.toEnt, slow: &p.slow, cordons: cordon.NewPeerWithoutCordons()}
	toAgent.other, toEntry.other = toEntry, toAgent
	p.open = append(p.open, toAgent, toEntry)
	if old := p.e.links[&p.a.proc]; old != nil {
		old.open = false
		p.e.unlinked(old.other.inc)
	}
	p.e.links[&p.a.proc], p.a.links[&p.e.proc] = toAgent, toEntry
	if p.last != p.e.inc {
		p.a.manager.EntryGone(p.a.now(), p.last, "restarted")
		p.last = p.e.inc
	}
	p.e.hear()
	p.e.table.HandleLinked(p.e.now(), p.a.inc, ident.UpstreamName(p.a.name), w.zoneOf(p.a))
	p.a.greetCrashes(toEntry)
	p.a.manager.EntryLinked(p.a.now(), p.e.inc)
	p.e.tellCordons(toAgent)
	p.e.greetCrashes(toAgent)
	p.a.tellCordons(toEntry)
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
		w.After(w.between(0, 5*time.Millisecond), func() { p.noticed(side) })
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
			p.a.manager.EntryUnlinked(p.a.now(), s.other.inc, "broken")
			p.a.flush()
		}
	})
}
