package world

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/shares"
	"hillreel/internal/link/codec"
	"hillreel/internal/load/plan"
)

// entry is the VM that an entry runs on.
type entry struct {
	w    *World
	zone string
	kind *plan.Entry
	// tallies count the jobs whose callers asked this entry first.
	tallies []*Tally
	inc     ident.Incarnation
	alive   bool
	table   *dispatch.Table
	links   map[*agent]*link
	// linkOrder lists the agents in the order in which they were linked; iterating over it keeps simulations deterministic.
	linkOrder []*agent
	waiting   map[dispatch.CallerID]*request
	// sentAt and receivedAt are when the VM's network link has transmitted all messages so far, in each direction. handledAt is
	// when the entry's thread has handled all messages received so far.
	sentAt, receivedAt, handledAt time.Time
}

// Bounds of an entry's table, of the same order of magnitude as the defaults of the settings.
const (
	maxQueue = 10_000
	maxTasks = 10_000
)

func (w *World) addEntry(z *plan.Zone) {
	e := &entry{w: w, zone: z.Name, kind: w.plan.EntryKind(z, len(w.entries))}
	e.tallies = w.result.addEntry(e.kind)
	w.entries = append(w.entries, e)
	e.start()
}

// start starts a new incarnation of the entry.
func (e *entry) start() {
	e.inc, e.alive = ident.Incarnation(e.w.rng.Uint64()|1), true
	e.links, e.linkOrder = make(map[*agent]*link), nil
	e.waiting = make(map[dispatch.CallerID]*request)
	e.sentAt, e.receivedAt, e.handledAt = time.Time{}, time.Time{}, time.Time{}
	o := dispatch.Options{
		Timing: e.w.timing, Zone: ident.Zone(e.zone), MaxQueue: maxQueue, MaxTasks: maxTasks,
		ClaimFrom: e.w.plan.ClaimFrom, RemoteFactor: e.w.plan.RemoteFactor,
	}
	e.table = dispatch.New(o, agentMessages{e}, answers{e}, countingObserver{e.w}, e.w.rng.Uint64())
	e.table.SetEntries(e.w.plan.EntryCount())
	e.applyCordons()
	e.applyShares()
	e.tick(e.inc)
}

// tick calls the table's Tick and sends the keep-alives that are due, periodically while the entry has incarnation inc.
func (e *entry) tick(inc ident.Incarnation) {
	if !e.alive || e.inc != inc {
		return
	}
	e.table.Tick(e.w.Now())
	for _, a := range e.linkOrder {
		if l := e.links[a]; l != nil && e.w.Now().Sub(l.lastPing) >= e.w.timing.KeepAlive {
			e.ping(a, l)
		}
	}
	e.w.After(e.w.links.Tick, func() { e.tick(inc) })
}

func (e *entry) ping(a *agent, l *link) {
	l.lastPing = e.w.Now()
	clock, pace := l.agentClock, e.table.Pace()
	l.sendToAgent(shortMessage, func() { a.controller.Ping(e.w.Now(), e.inc, clock, pace) })
}

// Sizes of messages, in bytes.
const (
	// headers is the size of the Ethernet, IP and TCP headers with TCP timestamps. Each message is counted as one packet.
	headers = 14 + 20 + 32
	// shortMessage is the size of a message that holds a few numbers.
	shortMessage = headers + 20
)

// transmitToAgent adds a message of size bytes to those that the VM's network link sends, and returns the time until the link has
// transmitted it, which includes the transmission of all earlier messages.
func (e *entry) transmitToAgent(size int) time.Duration {
	mbits := e.kind.LinkMbits
	if mbits == 0 {
		mbits = e.w.plan.Delays.EntryLinkMbits
	}
	return e.occupy(&e.sentAt, e.w.Now(), linkTime(size, mbits))
}

// transmitToCaller does the same for a message to a caller.
func (e *entry) transmitToCaller(size int) time.Duration {
	return e.occupy(&e.sentAt, e.w.Now(), linkTime(size, e.kind.LinkMbits))
}

// receive lets f handle a message of size bytes once the VM's network link has received it and the entry's thread has handled all
// earlier ones. The message is lost if the entry loses power before.
func (e *entry) receive(size int, f func()) {
	if e.kind.LinkMbits == 0 && e.kind.Handling == 0 {
		f()
		return
	}
	inc, now := e.inc, e.w.Now()
	received := e.occupy(&e.receivedAt, now, linkTime(size, e.kind.LinkMbits))
	handled := e.occupy(&e.handledAt, now.Add(received), e.kind.Handling)
	e.w.After(received+handled, func() {
		if e.alive && e.inc == inc {
			f()
		}
	})
}

// occupy reserves a part of the VM, which is busy until *freeAt, for a time of length d that begins at from at the earliest. It
// returns the time from from until the end of d.
func (e *entry) occupy(freeAt *time.Time, from time.Time, d time.Duration) time.Duration {
	if d == 0 {
		return 0
	}
	if freeAt.Before(from) {
		*freeAt = from
	}
	*freeAt = freeAt.Add(d)
	return freeAt.Sub(from)
}

// linkTime returns how long a link of mbits Mbit/s transmits a message of size bytes; a link of zero takes no time.
func linkTime(size int, mbits float64) time.Duration {
	if mbits == 0 {
		return 0
	}
	return time.Duration(float64(8*size) / mbits * float64(time.Microsecond))
}

// losePower lets the VM lose power, and starts it again after down.
func (e *entry) losePower(down time.Duration) {
	e.alive = false
	for _, a := range slices.Clone(e.linkOrder) {
		e.w.unlink(e.links[a])
	}
	for _, r := range e.waiting {
		r.lost = true
	}
	for _, r := range sortedRequests(e.waiting) {
		e.w.After(resendPause, r.resend)
	}
	e.waiting = nil
	e.w.After(down, func() {
		e.start()
		for _, a := range e.w.agents {
			if a.alive {
				e.w.link(e, a)
			}
		}
	})
}

// agentMessages delivers an entry's messages to agents.
type agentMessages struct{ e *entry }

// Order sends an order.
func (o agentMessages) Order(to ident.Incarnation, order fleet.Order) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Orders++
		l.sendToAgent(headers+proto.Size(codec.Order(order)), func() { l.a.controller.Order(o.e.w.Now(), l.e.inc, order) })
	}
}

// Stop sends the request to stop a run.
func (o agentMessages) Stop(to ident.Incarnation, r fleet.OrderedRun, why fleet.Reason) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Stops++
		l.sendToAgent(shortMessage, func() { l.a.controller.StopTask(o.e.w.Now(), l.e.inc, r, why) })
	}
}

// AnnounceHeld tells an agent which jobs this entry has held for a long time. The agent tells its other entries.
func (o agentMessages) AnnounceHeld(to ident.Incarnation, jobs []job.ID) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Takeovers++
		l.sendToAgent(headers+proto.Size(codec.Holding(0, jobs)), func() { l.a.controller.Holding(o.e.w.Now(), l.e.inc, jobs) })
	}
}

// RequestRelease asks for the release of a job that another entry holds.
func (o agentMessages) RequestRelease(to ident.Incarnation, id job.ID, holder ident.Incarnation) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Takeovers++
		l.sendToAgent(shortMessage, func() {
			l.a.controller.Release(o.e.w.Now(), fleet.Takeover{Job: id, Holder: holder, NewHolder: l.e.inc})
		})
	}
}

// SendReleased reports that a job is released: no run of it remains.
func (o agentMessages) SendReleased(to ident.Incarnation, r fleet.Released) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Takeovers++
		l.sendToAgent(shortMessage, func() { l.a.controller.Released(r) })
	}
}

// SendCrashes does nothing: no simulated task crashes its upstream. A VM that loses power loses its agent and its upstream together.
func (agentMessages) SendCrashes([]fleet.Crash) {}

// SendUnconfirmed tells an agent of crashes that are not confirmed yet. No simulated agent forwards them, since no simulated task
// crashes its upstream.
func (agentMessages) SendUnconfirmed(ident.Incarnation, []fleet.Crash) {}

// SendSuspects reports the runs of suspected tasks to an agent, of which there are none.
func (agentMessages) SendSuspects(ident.Incarnation, []fleet.Crash) {}

// Claim asks an agent to reserve room.
func (o agentMessages) Claim(to ident.Incarnation, c fleet.Claim) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Claims++
		l.sendToAgent(headers+proto.Size(codec.Claim(c)), func() { l.a.controller.Claim(o.e.w.Now(), l.e.inc, c) })
	}
}

// SendDemand tells an agent what callers have asked of this entry. The agent tells its other entries.
func (o agentMessages) SendDemand(to ident.Incarnation, d fleet.Demand) {
	l := o.e.linkTo(to)
	if l == nil {
		return
	}
	o.e.w.result.Messages.Demands++
	d.Entry = o.e.inc
	l.sendToAgent(headers+proto.Size(codec.Demand(d)), func() { l.a.relayDemand(o.e, d) })
}

func (e *entry) linkTo(inc ident.Incarnation) *link {
	for _, a := range e.linkOrder {
		if a.inc == inc {
			return e.links[a]
		}
	}
	return nil
}

// answers delivers an entry's answers to callers.
type answers struct{ e *entry }

// Answer sends an answer to the caller, unless the caller has given up.
func (x answers) Answer(c dispatch.CallerID, a dispatch.Answer) {
	r := x.e.waiting[c]
	if r == nil {
		return
	}
	delete(x.e.waiting, c)
	if a.State == verdict.Refused {
		x.e.w.countRefused(r.s)
	}
	x.e.w.After(x.e.transmitToCaller(shortMessage)+x.e.w.callerDelay(), func() { r.handleAnswer(a) })
}

// countingObserver counts the runs of the simulation.
type countingObserver struct{ w *World }

// Taken does nothing: jobs are counted when their callers send them.
func (countingObserver) Taken(*dispatch.Request) {}

// Placed does nothing: orders are counted as messages.
func (countingObserver) Placed(job.ID, ident.UpstreamName, *fleet.Order, time.Duration) {}

// Ended counts runs that started, and orders that were refused because the upstream had no room.
func (n countingObserver) Ended(_ ident.UpstreamName, e fleet.End, _ string) {
	if e.Reason == fleet.NoRoom {
		n.w.result.NoRoomRefusals++
	}
	if e.Outcome != job.NotStarted && e.Outcome != job.Used {
		n.w.result.Runs++
	}
}

// Answered does nothing: answers are counted when their callers receive them.
func (countingObserver) Answered(job.ID, *route.Route, dispatch.Answer, dispatch.Summary) {}

// StopsRequested does nothing.
func (countingObserver) StopsRequested(dispatch.Stops) {}

// Resubmitted does nothing: jobs are counted when their callers send them.
func (countingObserver) Resubmitted(*dispatch.Request, dispatch.HeldJob) {}

// OutOfTouch does nothing: entries never lose contact with all agents or callers in the simulation.
func (countingObserver) OutOfTouch(time.Duration, int) {}

// Belated does nothing, for the reason given at OutOfTouch.
func (countingObserver) Belated(*dispatch.Request) {}

// TakeoverChanged does nothing: running entries log takeovers.
func (countingObserver) TakeoverChanged(job.ID, ident.Incarnation, time.Duration, dispatch.TakeoverEvent) {
}

// AgentChanged does nothing.
func (countingObserver) AgentChanged(ident.UpstreamName, int, dispatch.AgentEvent) {}

// Waits does nothing.
func (countingObserver) Waits(dispatch.Waiting) {}

// CutChanged does nothing: refusals are counted when their callers receive them.
func (countingObserver) CutChanged(shares.Status) {}

// DemandDropped does nothing: simulated entries send no absurd demand.
func (countingObserver) DemandDropped(time.Time, ident.Incarnation, error) {}
