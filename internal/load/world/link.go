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
	lastPing   time.Time
	agentClock time.Duration
	// nextA and nextE are when the newest message to either side arrives: order is kept.
	nextAtAgent, nextAtEntry time.Time
}

func (w *World) link(e *entry, a *agent) {
	l := &link{w: w, e: e, a: a, open: true, lastPing: w.Now()}
	e.links[a], a.links[e] = l, l
	e.linkOrder, a.linkOrder = append(e.linkOrder, a), append(a.linkOrder, e)
	e.table.HandleLinked(w.Now(), a.inc, a.name, ident.Zone(a.zone))
	a.controller.EntryLinked(w.Now(), e.inc)
	a.controller.Flush(w.Now())
}

// unlink breaks a link. The sides that live notice it once they have heard nothing for a while.
func (w *World) unlink(l *link) {
	l.open = false
	e, a, entryLife, agentLife := l.e, l.a, l.e.inc, l.a.inc
	delete(e.links, a)
	delete(a.links, e)
	e.linkOrder = slices.DeleteFunc(e.linkOrder, func(o *agent) bool { return o == a })
	a.linkOrder = slices.DeleteFunc(a.linkOrder, func(o *entry) bool { return o == e })
	w.After(w.links.LinkTimeout(), func() {
		if e.alive && e.inc == entryLife {
			e.table.HandleUnlinked(w.Now(), agentLife)
		}
		if a.alive && a.inc == agentLife {
			a.controller.EntryUnlinked(w.Now(), entryLife, "silent")
			a.controller.Flush(w.Now())
		}
	})
}

// toAgent carries a message of so many bytes to the agent.
func (l *link) sendToAgent(size int, f func()) {
	l.deliver(&l.nextAtAgent, l.e.transmitTime(size), func() { f(); l.a.controller.Flush(l.w.Now()) })
}

// toEntry carries a message to the entry.
func (l *link) sendToEntry(f func()) { l.deliver(&l.nextAtEntry, 0, f) }

// carry carries a message that its sender's link has sent after a while.
func (l *link) deliver(next *time.Time, sent time.Duration, f func()) {
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
