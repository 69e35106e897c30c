// Package agent keeps what an entry knows of one agent: the upstream beside it, the room that is left there once this
// entry's orders are counted, and how dear a task is there.
package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Account is what is known of one agent.
type Record struct {
	ID ident.Incarnation
	// Name is that of the agent's VM, by which operators know the upstream.
	Name ident.UpstreamName
	Zone ident.Zone
	// Linked is true while there is a session.
	Linked bool
	// Up is the upstream beside the agent, as it was described last.
	Upstream fleet.Upstream
	// Heard is when the newest reading of the agent's clock came; the entry echoes none that came later.
	ClockReadAt time.Time

	// described is true once the session has told of an upstream and its room.
	hasRoom bool
	room    fleet.Room
	// seq numbers the session's orders; sent lists those that room does not reflect yet, pending sums them.
	seq         uint64
	unreflected []sentOrder
	pending     job.Resources
	// probing is true while a probe of this entry is on its way.
	probeSent bool
}

// sent is an order that the agent's room may not reflect yet.
type sentOrder struct {
	seq   uint64
	total job.Resources
}

// Link begins a new session.
func (a *Record) Link(name ident.UpstreamName, zone ident.Zone) {
	a.Name, a.Zone, a.Linked, a.hasRoom = name, zone, true, false
	a.seq, a.unreflected, a.pending = 0, nil, job.Resources{}
}

// Unlink ends the session.
func (a *Record) Unlink() { a.Linked, a.hasRoom = false, false }

// Told takes in the agent's news of its room.
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

// Cordon notes that the agent has refused an order because its zone is cordoned; its next news say how it stands then.
func (a *Record) MarkCordoned() { a.room.State = fleet.Cordoned }

// Reserve counts a task that the next order will carry.
func (a *Record) Reserve(each job.Resources) {
	a.pending = a.pending.Add(each)
	a.probeSent = a.room.State == fleet.Probing
}

// ReserveAll counts a task that nothing else may be started beside, which the next order will carry.
func (a *Record) ReserveAll() { a.pending = a.pending.Add(a.Upstream.Total) }

// Number numbers an order of tasks that were reserved; it takes room until the agent's news reflect it.
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

// Asked tells whether the session has carried an order.
func (a *Record) HasOrders() bool { return a.seq > 0 }

// Answers tells whether the agent has taken in an order of this session: then it has lived since the session began.
func (a *Record) HasAnswered() bool { return a.room.Seq > 0 }

// Room is the agent's newest word on its room.
func (a *Record) Room() fleet.Room { return a.room }

// Free is the room that this entry has not given away yet.
func (a *Record) Free() job.Resources { return a.room.Free.Sub(a.pending) }

// Known tells whether the agent is linked and has told of its upstream.
func (a *Record) Known() bool { return a.Linked && a.hasRoom }

// Accepts tells whether the upstream is known and takes work.
func (a *Record) AcceptsWork() bool { return a.Known() && a.room.State.Accepts() }

// Serves tells whether the upstream is known, serves a service, and is in one of the states.
func (a *Record) Serves(s ident.Service, states ...fleet.State) bool {
	return a.Known() && a.Upstream.Service == s && slices.Contains(states, a.room.State)
}

// Probing tells whether the upstream takes nothing but single probes.
func (a *Record) Probing() bool { return a.room.State == fleet.Probing }

// Takes tells whether a task of a step can be offered now.
func (a *Record) CanTake(s ident.Service, step *job.Step) bool {
	if !a.Serves(s, fleet.Ready, fleet.Probing) || !a.Upstream.HasLabel(step.Requires) || !step.Each.Fits(a.Free()) {
		return false
	}
	return !a.Probing() || !a.probeSent
}

// How upstreams are compared: in multiples of the median run time.
const (
	// loadCost is what a full upstream costs more than an empty one. It spreads tasks, so that the loss of one
	// upstream costs few, and leaves fast ones ahead of slow ones.
	loadCost = 0.5
	// zoneCost is what another availability zone costs: 1 ms of a task of 50 ms.
	zoneCost = 0.02
	// rackCost is what a task pays away from its data: the platform's remote_factor of 1.5.
	rackCost = 0.5
	// spread keeps entries that see the same room from choosing the same upstream.
	costJitter = 0.2
)

// Cost rates the agent for a task of a step, from an entry in a zone; the lowest is chosen. median is the median pace
// of all upstreams.
func (a *Record) Cost(step *job.Step, from ident.Zone, median float64, rng *rand.Rand) float64 {
	c := a.relativePace(median) * (1 + loadCost*a.Utilization() + costJitter*rng.Float64())
	if a.Zone != from {
		c += zoneCost
	}
	if step.Prefers != "" && !a.Upstream.HasLabel(step.Prefers) {
		c += rackCost
	}
	return c
}

// Used is how much of the upstream's processors is taken, from 0 to 1.
func (a *Record) Utilization() float64 {
	if a.Upstream.Total.CPU == 0 {
		return 1
	}
	return 1 - float64(a.Free().CPU)/float64(a.Upstream.Total.CPU)
}

// Slow tells whether the upstream is slow beside others; median is the median of all paces.
func (a *Record) IsSlow(median float64) bool { return fleet.Slow(a.room.Pace, median) }

// relativePace is the upstream's pace over the median.
func (a *Record) relativePace(median float64) float64 {
	if a.room.Pace == 0 || median == 0 {
		return 1
	}
	return a.room.Pace / median
}
