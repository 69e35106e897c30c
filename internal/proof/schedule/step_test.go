package schedule

import (
	"fmt"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
)

// action is one thing that can happen next.
type action struct {
	weight int
	do     func()
}

// step does one random thing.
func (w *world) step() {
	w.steps++
	actions := w.deliveries()
	actions = append(actions, w.ticks()...)
	actions = append(actions, w.finishes()...)
	actions = append(actions, w.callerActions()...)
	if w.faults {
		actions = append(actions, w.faultActions()...)
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := w.rng.IntN(total)
	for _, a := range actions {
		if n < a.weight {
			a.do()
			return
		}
		n -= a.weight
	}
}

// deliveries are the next messages of all links, and the hellos and breaks to be noticed.
func (w *world) deliveries() []action {
	var out []action
	kept := w.links[:0]
	for _, l := range w.links {
		if l.broken && !l.a.due() && !l.b.due() {
			continue
		}
		kept = append(kept, l)
		for _, s := range []*side{l.a, l.b} {
			if s.due() && !s.owner.paused {
				out = append(out, action{12, func() { w.deliver(s) }})
			}
		}
	}
	clear(w.links[len(kept):])
	w.links = kept
	return out
}

// due tells whether the owner has something to handle on this side.
func (s *side) due() bool {
	if !s.owner.alive {
		return false
	}
	if !s.greeted {
		return !s.link.broken
	}
	return len(s.inbox) > 0 || s.downPending
}

func (w *world) deliver(s *side) {
	p, from := s.owner, s.other.inc
	switch {
	case !s.greeted:
		s.greeted = true
		p.counter++
		s.number = p.counter
		p.out[from] = s
		w.greet(s)
	case len(s.inbox) > 0:
		m := s.inbox[0]
		s.inbox = s.inbox[1:]
		w.trace("deliver %d->%d %s", from, p.inc, describe(m))
		p.handle(s, m)
	default:
		s.downPending = false
		w.noticeDown(s)
	}
}

func (w *world) greet(s *side) {
	p, other := s.owner, s.other
	w.trace("greet %d knows %d", p.inc, other.inc)
	switch {
	case !p.isEntry():
		p.agent.LinkUp(other.inc, s.number)
	case other.isEntry():
		p.table.PeerUp(&wire.Hello{
			Role: "entry", Name: other.name, Incarnation: uint64(other.inc), Address: string(other.address),
			Leaving: other.table.Leaving(),
		}, s.number)
	default:
		p.table.AgentUp(&wire.Hello{
			Role: "agent", Name: other.name, Incarnation: uint64(other.inc), Address: string(other.address),
			Services: []string{string(service)}, Slots: 2,
		}, s.number)
	}
}

func (p *process) handle(s *side, m *wire.Msg) {
	from := s.other.inc
	switch {
	case !p.isEntry():
		p.agent.Handle(from, s.number, m)
	case s.other.isEntry():
		p.table.FromPeer(from, m)
	default:
		p.table.FromAgent(from, s.number, m)
	}
}

func (w *world) noticeDown(s *side) {
	p, from := s.owner, s.other.inc
	w.trace("down %d lost %d", p.inc, from)
	if p.out[from] == s {
		delete(p.out, from)
	}
	switch {
	case !p.isEntry():
		p.agent.LinkDown(from, s.number)
	case s.other.isEntry():
		p.table.PeerDown(from, s.number)
	default:
		p.table.AgentDown(from, s.number)
	}
}

func (w *world) ticks() []action {
	out := []action{{4, func() { w.advance(time.Duration(w.rng.IntN(100)) * time.Millisecond) }}}
	if w.faults {
		jump := action{1, func() { w.advance(time.Duration(w.rng.IntN(4000)) * time.Millisecond) }}
		if w.flavour.hurry {
			jump.weight = 5
		}
		out = append(out, jump)
	}
	for _, p := range w.procs {
		if p.alive && !p.paused {
			out = append(out, action{2, func() { p.tick() }})
		}
	}
	return out
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
}

func (p *process) tick() {
	p.w.trace("tick %d", p.inc)
	if p.isEntry() {
		p.table.Tick()
		return
	}
	p.agent.Tick()
}

// finishes end tasks that run. A paused process does not learn of it.
func (w *world) finishes() []action {
	var out []action
	weight := 6
	if w.flavour.slowTasks {
		weight = 1
	}
	for _, p := range w.procs {
		if p.alive && !p.paused && len(p.running) > 0 {
			out = append(out, action{weight, func() { p.finish(w.rng.IntN(len(p.running))) }})
		}
	}
	return out
}

func (p *process) finish(i int) {
	r := p.running[i]
	p.running = append(p.running[:i:i], p.running[i+1:]...)
	p.w.trace("finish %s %s", taskID(r.task.Key, uint32(r.task.Index)), r.outcome.Verdict)
	p.agent.Ended(r.task.Key, r.task.Index, r.outcome)
}

// faultActions break, kill, pause, replace and drain.
func (w *world) faultActions() []action {
	var out []action
	for _, l := range w.links {
		split := w.flavour.splitEntries && l.a.owner.isEntry() && l.b.owner.isEntry()
		if !l.broken && (split || w.rng.IntN(6) == 0) {
			out = append(out, action{1, func() { w.breakLink(l) }})
		}
	}
	out = append(out, action{4, w.reconnectOne}, action{1, w.changeConfig})
	for _, p := range w.procs {
		switch {
		case !p.alive:
		case p.paused:
			out = append(out, action{2, func() { p.paused = false; w.trace("resume %d", p.inc) }})
		default:
			out = append(out, w.processFaults(p)...)
		}
	}
	if w.rng.IntN(4) == 0 && w.count(func(p *process) bool { return p.alive && p.isEntry() }) < 4 {
		out = append(out, action{1, func() { w.addEntry() }})
	}
	return out
}

func (w *world) processFaults(p *process) []action {
	var out []action
	if w.rng.IntN(5) == 0 {
		out = append(out, action{1, func() { w.pause(p) }})
	}
	if w.rng.IntN(12) == 0 {
		out = append(out, action{1, func() { w.kill(p) }})
	}
	if w.rng.IntN(12) == 0 {
		out = append(out, action{1, func() { w.drain(p) }})
	}
	if p.drained() {
		out = append(out, action{2, func() { p.left = true; w.trace("leave %d", p.inc); w.kill(p) }})
	}
	return out
}

// drained tells whether a leaving process would exit now.
func (p *process) drained() bool {
	if p.isEntry() {
		return p.table.Leaving() && p.table.Open() == 0
	}
	return p.left && p.agent.Idle() && p.agent.Unacked() == 0
}

// pause stops a process without its knowing; the others lose their links to it.
func (w *world) pause(p *process) {
	w.trace("pause %d", p.inc)
	p.paused = true
	w.breakLinksOf(p)
	if !p.isEntry() && w.rng.IntN(2) == 0 {
		w.addAgent(p.name, "")
	}
}

func (w *world) kill(p *process) {
	w.trace("kill %d", p.inc)
	p.alive = false
	w.breakLinksOf(p)
	if !p.isEntry() && w.rng.IntN(2) == 0 {
		address := ident.Address("")
		if w.rng.IntN(2) == 0 {
			address = p.address
		}
		w.addAgent(p.name, address)
	}
	if w.rng.IntN(3) == 0 {
		w.unlist(p)
	}
}

// unlist drops a dead process from the platform's list, which entries read.
func (w *world) unlist(p *process) {
	for _, q := range w.procs {
		if q.alive && !q.paused && q.isEntry() {
			q.table.Unlisted(p.address)
		}
	}
}

func (w *world) drain(p *process) {
	w.trace("drain %d", p.inc)
	if p.isEntry() {
		p.table.Drain()
		return
	}
	p.left = true
	p.agent.Leave()
	for _, q := range w.procs {
		if q.isEntry() {
			p.send(q.inc, &wire.Msg{Kind: &wire.Msg_Leaving{Leaving: &wire.Leaving{}}})
		}
	}
}

func (w *world) breakLinksOf(p *process) {
	for _, l := range w.links {
		if !l.broken && (l.a.owner == p || l.b.owner == p) {
			w.breakLink(l)
		}
	}
}

// view is a configuration that cordons one upstream; the empty name cordons none.
type view struct {
	job.View
	cordoned ident.UpstreamName
}

// Serves is false for the cordoned upstream.
func (v view) Serves(u ident.UpstreamName, _ ident.Zone, _ ident.Service) bool {
	return u != v.cordoned
}

// changeConfig brings one process a configuration, which the others may hear of later or, with the store
// down, not at all.
func (w *world) changeConfig() {
	p := w.procs[w.rng.IntN(len(w.procs))]
	cordoned := ident.UpstreamName("")
	if w.rng.IntN(2) == 0 {
		cordoned = ident.UpstreamName(w.procs[w.rng.IntN(len(w.procs))].name)
	}
	if p.alive && !p.paused {
		w.trace("config at %d cordons %s", p.inc, cordoned)
		p.configure(cordoned)
	}
}

func (p *process) configure(cordoned ident.UpstreamName) {
	if p.isEntry() {
		p.table.SetView(view{job.NoView, cordoned})
		return
	}
	p.agent.SetAllow(func(ident.Service) bool { return ident.UpstreamName(p.name) != cordoned })
}

// reconnectOne links a random pair again.
func (w *world) reconnectOne() {
	p, q := w.procs[w.rng.IntN(len(w.procs))], w.procs[w.rng.IntN(len(w.procs))]
	if p != q && p.alive && q.alive && !p.paused && !q.paused {
		w.connect(p, q)
	}
}

func (w *world) count(f func(*process) bool) int {
	n := 0
	for _, p := range w.procs {
		if f(p) {
			n++
		}
	}
	return n
}

// describe prints what a message says, for the trace.
func describe(m *wire.Msg) string {
	switch k := m.GetKind().(type) {
	case *wire.Msg_Start:
		s := k.Start
		return fmt.Sprintf("start %s/%d attempt %d gen %v ask %v", ident.KeyOf(s.GetKey()), s.GetIndex(), s.GetAttempt(), s.GetGen(), s.GetAsk())
	case *wire.Msg_Result:
		r := k.Result
		return fmt.Sprintf("result %s/%d attempt %d %s %s", ident.KeyOf(r.GetKey()), r.GetIndex(), r.GetAttempt(), r.GetVerdict(), r.GetReason())
	case *wire.Msg_Seal:
		return fmt.Sprintf("seal %s gen %v", ident.KeyOf(k.Seal.GetKey()), k.Seal.GetGen())
	case *wire.Msg_Sealed:
		return fmt.Sprintf("sealed %s running %v ended %d decision %v", ident.KeyOf(k.Sealed.GetKey()), k.Sealed.GetRunning(), len(k.Sealed.GetEnded()), k.Sealed.GetDecision())
	case *wire.Msg_Record:
		return fmt.Sprintf("record %s gen %v %v", ident.KeyOf(k.Record.GetKey()), k.Record.GetGen(), k.Record.GetDecision())
	}
	return fmt.Sprintf("%T", m.GetKind())
}
