package world

import (
	"slices"
	"time"

	"hillreel/internal/core/ident"
)

// link joins an entry and an agent.
type link struct {
	w    *World
	e    *entry
	a    *agent
	open bool
	// pinged is when the last keep-alive went out, clock the newest reading of the agent's clock.
	pinged time.Time
	clock  time.Duration
	// nextA and nextE are when the newest message to either side arrives: order is kept.
	nextA, nextE time.Time
}

func (w *World) link(e *entry, a *agent) {
	l := &link{w: w, e: e, a: a, open: true, pinged: w.Now()}
	e.links[a], a.links[e] = l, l
	e.order, a.order = append(e.order, a), append(a.order, e)
	e.table.HandleLinked(w.Now(), a.inc, a.name, ident.Zone(a.zone))
	a.manager.EntryLinked(w.Now(), e.inc)
	a.manager.Flush(w.Now())
}

// unlink breaks a link. The sides that live notice it once they have heard nothing for a while.
func (w *World) unlink(l *link) {
	l.open = false
	e, a, entryLife, agentLife := l.e, l.a, l.e.inc, l.a.inc
	delete(e.links, a)
	delete(a.links, e)
	e.order = slices.DeleteFunc(e.order, func(o *agent) bool { return o == a })
	a.order = slices.DeleteFunc(a.order, func(o *entry) bool { return o == e })
	w.After(w.links.LinkTimeout(), func() {
		if e.alive && e.inc == entryLife {
			e.table.HandleUnlinked(w.Now(), agentLife)
		}
		if a.alive && a.inc == agentLife {
			a.manager.EntryUnlinked(w.Now(), entryLife, "silent")
			a.manager.Flush(w.Now())
		}
	})
}

// toAgent carries a message of so many bytes to the agent.
func (l *link) toAgent(size int, f func()) {
	l.carry(&l.nextA, l.e.transmit(size), func() { f(); l.a.manager.Flush(l.w.Now()) })
}

// toEntry carries a message to the entry.
func (l *link) toEntry(f func()) { l.carry(&l.nextE, 0, f) }

// carry carries a message that its sender's link has sent after a while.
func (l *link) carry(next *time.Time, sent time.Duration, f func()) {
	at := l.w.Now().Add(sent + l.w.delay(l.e.zone, l.a.zone))
	if at.Before(*next) {
		at = *next
	}
	*next = at
	l.w.After(at.Sub(l.w.Now()), func() {
		if l.open {
			f()
		}
	})
}
