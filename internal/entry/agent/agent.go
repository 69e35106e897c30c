// Package agent holds what an entry knows of one agent: the upstream on the agent's VM, the room that is left there after this
// entry's orders, and the cost of placing a task there.
package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Record holds what an entry knows of one agent.
type Record struct {
	ID ident.Incarnation
	// Name is the name of the agent's VM, by which operators know the upstream.
	Name ident.UpstreamName
	Zone ident.Zone
	// Linked is true while there is a session with the agent.
	Linked bool
	// Upstream is the agent's latest description of the upstream on its VM.
	Upstream fleet.Upstream
	// ClockReadAt is when the newest reading of the agent's clock arrived. The entry's keep-alives echo no later reading.
	ClockReadAt time.Time

	// hasRoom is true once the agent has described its upstream and the room there in this session.
	hasRoom bool
	room    fleet.Room
	// seq is the number of the session's last order. unreflected lists the orders that room does not reflect yet. pending is the sum
	// of their resources and of the resources reserved for the next order.
	seq         uint64
	unreflected []sentOrder
	pending     job.Resources
	// probeSent is true while this entry has reserved or sent a probe that room does not reflect yet.
	probeSent bool
}

// sentOrder is an order that the agent's room may not reflect yet.
type sentOrder struct {
	seq   uint64
	total job.Resources
}

// Link starts a new session with the agent.
func (a *Record) Link(name ident.UpstreamName, zone ident.Zone) {
	a.Name, a.Zone, a.Linked, a.hasRoom = name, zone, true, false
	a.seq, a.unreflected, a.pending = 0, nil, job.Resources{}
}

// Unlink ends the session.
func (a *Record) Unlink() { a.Linked, a.hasRoom = false, false }

// UpdateRoom stores the agent's report of its room, and drops the orders that the report reflects.
func (a *Record) UpdateRoom(now time.Time, r fleet.Room) {
	a.ClockReadAt, a.room, a.hasRoom, a.probeSent = now, r, a.Upstream.ID != "", false
	a.pending = job.Resources{}
	rest := a.unreflected[:0]
	for _, s := range a.unreflected {
		if s.seq > r.Seq {
			rest = append(rest, s)
			a.pending = a.pending.Add(s.total)
			a.probeSent = true
		}
	}
	a.unreflected = rest
}

// MarkCordoned records that the agent has refused an order because its zone is cordoned. The agent's next report replaces this state.
func (a *Record) MarkCordoned() { a.room.State = fleet.Cordoned }

// Reserve reserves the resources of a task that the next order will carry.
func (a *Record) Reserve(each job.Resources) {
	a.pending = a.pending.Add(each)
	a.probeSent = a.room.State == fleet.Probing
}

// ReserveAll reserves the whole upstream for a task that the next order will carry and that must start alone.
func (a *Record) ReserveAll() { a.pending = a.pending.Add(a.Upstream.Total) }

// AssignSeq gives the next sequence number to an order of reserved tasks. The order counts as pending until the agent's report of its
// room reflects it.
func (a *Record) AssignSeq(o *fleet.Order) {
	a.seq++
	o.Seq = a.seq
	total := job.Resources{}
	for _, t := range o.Tasks {
		if t.AloneFor > 0 {
			total = total.Add(a.Upstream.Total)
			continue
		}
		total = total.Add(o.Each)
	}
	a.unreflected = append(a.unreflected, sentOrder{o.Seq, total})
}

// HasOrders reports whether an order was sent in this session.
func (a *Record) HasOrders() bool { return a.seq > 0 }

// HasAnswered reports whether the agent has handled an order of this session, which proves that it was alive after the session began.
func (a *Record) HasAnswered() bool { return a.room.Seq > 0 }

// Room returns the agent's latest report of its room.
func (a *Record) Room() fleet.Room { return a.room }

// Free returns the resources that are free after this entry's pending orders.
func (a *Record) Free() job.Resources { return a.room.Free.Sub(a.pending) }

// Known reports whether the agent is linked and has described its upstream.
func (a *Record) Known() bool { return a.Linked && a.hasRoom }

// AcceptsWork reports whether the upstream is known and accepts work.
func (a *Record) AcceptsWork() bool { return a.Known() && a.room.State.Accepts() }

// Serves reports whether the upstream is known, serves a service, and is in one of the states.
func (a *Record) Serves(s ident.Service, states ...fleet.State) bool {
	return a.Known() && a.Upstream.Service == s && slices.Contains(states, a.room.State)
}

// Probing reports whether the upstream accepts only single probes.
func (a *Record) Probing() bool { return a.room.State == fleet.Probing }

// CanTake reports whether the upstream can be offered a task of a step now. While it is probing, it is offered one probe at a time.
func (a *Record) CanTake(s ident.Service, step *job.Step) bool {
	if !a.Serves(s, fleet.Ready, fleet.Probing) || !a.Upstream.HasLabel(step.Requires) || !step.Each.Fits(a.Free()) {
		return false
	}
	return !a.Probing() || !a.probeSent
}

// The terms of Cost, in multiples of the median run time.
const (
	// loadCost is the additional cost of a full upstream over an empty one. It spreads tasks, so that the loss of one upstream
	// affects few of them, and still prefers fast upstreams to slow ones.
	loadCost = 0.5
	// zoneCost is the cost of placing a task in another availability zone: 1 ms for a task of 50 ms.
	zoneCost = 0.02
	// costJitter keeps entries that see the same room from choosing the same upstream.
	costJitter = 0.2
)

// Cost returns the cost of running a task at the upstream, for an entry in the zone from: when the task would end there, in multiples of
// the median run time, plus the small terms above. The upstream with the lowest cost is chosen. pace is the upstream's pace divided by the
// median of all, and remote the factor by which the upstream's distance from the task's data slows the task (RemoteFactor).
func (a *Record) Cost(pace, remote float64, from ident.Zone, rng *rand.Rand) float64 {
	c := pace * (remote + loadCost*a.Utilization() + costJitter*rng.Float64())
	if a.Zone != from {
		c += zoneCost
	}
	return c
}

// IsRemote reports whether the upstream is away from the data of a step.
func (a *Record) IsRemote(step *job.Step) bool { return !a.Upstream.HasLabel(step.Prefers) }

// RemoteFactor returns how many times as long a task of a step takes at the upstream as near its data, if it takes factor times as long
// on any upstream that is away from it.
func (a *Record) RemoteFactor(step *job.Step, factor float64) float64 {
	if a.IsRemote(step) {
		return factor
	}
	return 1
}

// Utilization returns the share of the upstream's CPU that is used, from 0 to 1.
func (a *Record) Utilization() float64 {
	if a.Upstream.Total.CPU == 0 {
		return 1
	}
	return 1 - float64(a.Free().CPU)/float64(a.Upstream.Total.CPU)
}
