package world

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/link/codec"
	"hillreel/internal/load/plan"
)

// entry is an entry's VM.
type entry struct {
	w     *World
	zone  string
	inc   ident.Incarnation
	alive bool
	table *dispatch.Table
	links map[*agent]*link
	// order lists the agents in the order in which they were linked, so that runs repeat.
	linkOrder []*agent
	waiting   map[dispatch.CallerID]*request
	// sentAll is when the VM's link has sent all messages so far.
	linkFreeAt time.Time
}

// Bounds of an entry's table: the defaults of the settings are of that order.
const (
	maxQueue = 10_000
	maxTasks = 10_000
)

func (w *World) addEntry(z *plan.Zone) {
	e := &entry{w: w, zone: z.Name}
	w.entries = append(w.entries, e)
	e.start()
}

// start begins a life of the entry.
func (e *entry) start() {
	e.inc, e.alive = ident.Incarnation(e.w.rng.Uint64()|1), true
	e.links, e.linkOrder = make(map[*agent]*link), nil
	e.waiting = make(map[dispatch.CallerID]*request)
	o := dispatch.Options{Timing: e.w.timing, Zone: ident.Zone(e.zone), MaxQueue: maxQueue, MaxTasks: maxTasks}
	e.table = dispatch.New(o, agentMessages{e}, answers{e}, countingObserver{e.w}, e.w.rng.Uint64())
	e.applyCordons()
	e.tick(e.inc)
}

// tick lets time pass for one life of the entry.
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
	// headers are those of Ethernet, IP and TCP with time stamps, each message in a packet of its own.
	headers = 14 + 20 + 32
	// shortMessage is a message of a few numbers.
	shortMessage = headers + 20
)

// transmit returns how long it takes until the VM's link has sent a message of so many bytes, after those before it.
func (e *entry) transmitTime(size int) time.Duration {
	mbits := e.w.plan.Delays.EntryLinkMbits
	if mbits == 0 {
		return 0
	}
	now := e.w.Now()
	if e.linkFreeAt.Before(now) {
		e.linkFreeAt = now
	}
	e.linkFreeAt = e.linkFreeAt.Add(time.Duration(float64(8*size) / mbits * float64(time.Microsecond)))
	return e.linkFreeAt.Sub(now)
}

// lose lets the VM lose power for a while.
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

// orders carries an entry's orders to agents.
type agentMessages struct{ e *entry }

// Order sends an order.
func (o agentMessages) Order(to ident.Incarnation, order fleet.Order) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Orders++
		l.sendToAgent(headers+proto.Size(codec.Order(order)), func() { l.a.controller.Order(o.e.w.Now(), l.e.inc, order) })
	}
}

// Stop sends the wish to stop a run.
func (o agentMessages) Stop(to ident.Incarnation, r fleet.OrderedRun, why fleet.Reason) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Stops++
		l.sendToAgent(shortMessage, func() { l.a.controller.StopTask(o.e.w.Now(), l.e.inc, r, why) })
	}
}

// Holding tells an agent, for its other entries, which jobs this entry has held for long.
func (o agentMessages) AnnounceHeld(to ident.Incarnation, jobs []job.ID) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Takeovers++
		l.sendToAgent(headers+proto.Size(codec.Holding(0, jobs)), func() { l.a.controller.Holding(o.e.w.Now(), l.e.inc, jobs) })
	}
}

// Release asks for a job that another entry holds.
func (o agentMessages) RequestRelease(to ident.Incarnation, id job.ID, holder ident.Incarnation) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Takeovers++
		l.sendToAgent(shortMessage, func() {
			l.a.controller.Release(o.e.w.Now(), fleet.Takeover{Job: id, Holder: holder, NewHolder: l.e.inc})
		})
	}
}

// Released tells that nothing of a job remains.
func (o agentMessages) SendReleased(to ident.Incarnation, r fleet.Released) {
	if l := o.e.linkTo(to); l != nil {
		o.e.w.result.Messages.Takeovers++
		l.sendToAgent(shortMessage, func() { l.a.controller.Released(r) })
	}
}

// Crashes tells nobody: VMs lose power with both, their agent and their upstream.
func (agentMessages) SendCrashes([]fleet.Crash) {}

func (e *entry) linkTo(inc ident.Incarnation) *link {
	for _, a := range e.linkOrder {
		if a.inc == inc {
			return e.links[a]
		}
	}
	return nil
}

// answers carries an entry's answers to callers.
type answers struct{ e *entry }

// Answer answers a caller.
func (x answers) Answer(c dispatch.CallerID, a dispatch.Answer) {
	r := x.e.waiting[c]
	if r == nil {
		return
	}
	delete(x.e.waiting, c)
	x.e.w.After(x.e.w.callerDelay(), func() { r.handleAnswer(a) })
}

// notes counts what entries decide.
type countingObserver struct{ w *World }

// Taken counts nothing: callers count what they send.
func (countingObserver) Taken(*dispatch.Request) {}

// Placed counts nothing: orders are counted as messages.
func (countingObserver) Placed(job.ID, ident.UpstreamName, *fleet.Order, time.Duration) {}

// Ended counts the runs that were refused for want of room.
func (n countingObserver) Ended(_ ident.UpstreamName, e fleet.End, _ string) {
	if e.Reason == fleet.NoRoom {
		n.w.result.NoRoomRefusals++
	}
	if e.Outcome != job.NotStarted && e.Outcome != job.Used {
		n.w.result.Runs++
	}
}

// Answered counts nothing: callers count what they hear.
func (countingObserver) Answered(job.ID, *route.Route, dispatch.Answer, dispatch.Summary) {}

// StopsAsked counts nothing.
func (countingObserver) StopsRequested(dispatch.Stops) {}

// CameAgain counts nothing: callers count what they send.
func (countingObserver) Resubmitted(*dispatch.Request, dispatch.HeldJob) {}

// OutOfTouch and Belated count nothing: entries are never cut off here.
func (countingObserver) OutOfTouch(time.Duration, int) {}

// Belated: see OutOfTouch.
func (countingObserver) Belated(*dispatch.Request) {}

// TakenOver counts nothing: the entries' logs have it.
func (countingObserver) TakeoverChanged(job.ID, ident.Incarnation, time.Duration, dispatch.TakeoverEvent) {
}

// AgentChanged counts nothing.
func (countingObserver) AgentChanged(ident.UpstreamName, int, dispatch.AgentEvent) {}
