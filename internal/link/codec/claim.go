package codec

import (
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/link/wire"
)

// Claim encodes an entry's claim for room.
func Claim(c fleet.Claim) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Claim{Claim: &wire.Claim{
		Tasks: c.Tasks, Each: resources(c.Each), Begun: c.Begun, Late: c.Late, DueUs: c.DueIn.Microseconds(), ValidUs: c.ValidFor.Microseconds(),
	}}}
}

// ReadClaim decodes an entry's claim for room.
func ReadClaim(m *wire.Claim) fleet.Claim {
	return fleet.Claim{
		Tasks: m.GetTasks(), Each: readResources(m.GetEach()), Begun: m.GetBegun(), Late: m.GetLate(), DueIn: microseconds(m.GetDueUs()),
		ValidFor: microseconds(m.GetValidUs()),
	}
}

// Demand encodes what callers have asked of an entry.
func Demand(d fleet.Demand) *wire.Msg {
	m := &wire.Demand{Entry: uint64(d.Entry)}
	for _, r := range d.Routes {
		m.Routes = append(m.Routes, &wire.RouteDemand{Route: string(r.Route), Asked: r.Asked, Refused: r.Refused})
	}
	return &wire.Msg{Kind: &wire.Msg_Demand{Demand: m}}
}

// ReadDemand decodes what callers have asked of an entry. sender is the process that sent the message.
func ReadDemand(m *wire.Demand, sender ident.Incarnation) fleet.Demand {
	d := fleet.Demand{Entry: ident.Incarnation(m.GetEntry())}
	if d.Entry == 0 {
		d.Entry = sender
	}
	for _, r := range m.GetRoutes() {
		d.Routes = append(d.Routes, fleet.RouteDemand{Route: route.Name(r.GetRoute()), Asked: r.GetAsked(), Refused: r.GetRefused()})
	}
	return d
}
