package world

import (
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/shares"
	"hillreel/internal/load/plan"
)

// applyShares hands the plan's shares to the entry's table.
func (e *entry) applyShares() {
	p := e.w.plan
	if len(p.Shares) == 0 {
		return
	}
	services := make(map[route.Name]ident.Service)
	for i := range p.Jobs {
		services[route.Name(p.Jobs[i].Name)] = service
	}
	e.table.SetRoutes(services)
	e.table.SetShares(sharesOf(p))
}

// sharesOf returns the shares of a plan.
func sharesOf(p *plan.Plan) []shares.Share {
	var out []shares.Share
	for _, s := range p.Shares {
		x := shares.Share{Team: shares.Team(s.Team), Service: service, Weight: s.Weight, Floor: s.Floor, Limit: s.Limit}
		for _, r := range s.Routes {
			x.Routes = append(x.Routes, route.Name(r))
		}
		out = append(out, x)
	}
	return out
}
