package world

import (
	"slices"
	"time"

	"hillreel/internal/core/ident"
)

// link is the connection between an entry and an agent.
type link struct {
	w    *World
	e    *entry
	a    *agent
	open bool
	// lastPing is when the last keep-alive was sent; agentClock is the newest known reading of the agent's clock.
	lastPing   time.Time
	agentClock time.Duration
	// nextAtAgent and nextAtEntry are when the latest message to each side arrives. Later messages arrive no earlier, so that
	// messages keep their order.
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

// unlink breaks a link. Each side that is still alive notices the loss after the link timeout.
func (w *World) unlink(l *link) {
	l.open = false
	e, a, entryInc, agentInc := l.e, l.a, l.e.inc, l.a.inc
	delete(e.links, a)
	delete(a.links, e)
	e.linkOrder = slices.DeleteFunc(e.linkOrder, func(o *agent) bool { return o == a })
	a.linkOrder = slices.DeleteFunc(a.linkOrder, func(o *entry) bool { return o == e })
	w.After(w.links.LinkTimeout(), func() {
		if e.alive && e.inc == entryInc {
			e.table.HandleUnlinked(w.Now(), agentInc)
		}
		if a.alive && a.inc == agentInc {
			a.controller.EntryUnlinked(w.Now(), entryInc, "silent")
			a.controller.Flush(w.Now())
		}
	})
}

// sendToAgent delivers a message of size bytes to the agent; f handles it there.
func (l *link) sendToAgent(size int, f func()) {
	l.deliver(&l.nextAtAgent, l.e.transmitToAgent(size), func() { f(); l.a.controller.Flush(l.w.Now()) })
}

// sendToEntry delivers a message to the entry; f handles it there. Messages from agents hold a few numbers each, and agents' links
// are not limited.
func (l *link) sendToEntry(f func()) {
	l.deliver(&l.nextAtEntry, 0, func() { l.e.receive(shortMessage, func() { l.ifOpen(f) }) })
}

// deliver schedules the arrival of a message whose transmission takes sent. It updates next, the arrival time of the latest
// message in this direction. The message is lost if the link breaks before it arrives.
func (l *link) deliver(next *time.Time, sent time.Duration, f func()) {
	at := l.w.Now().Add(sent + l.w.delay(l.e.zone, l.a.zone))
	if at.Before(*next) {
		at = *next
	}
	*next = at
	l.w.After(at.Sub(l.w.Now()), func() { l.ifOpen(f) })
}

// ifOpen calls f unless the link is broken.
func (l *link) ifOpen(f func()) {
	if l.open {
		f()
	}
}
