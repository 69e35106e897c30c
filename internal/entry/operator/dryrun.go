package operator

import (
	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/config/view"
	"hillreel/internal/core/ident"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/shares"
)

// ServiceImpact describes the effect that a change would have on one service.
type ServiceImpact struct {
	Service ident.Service `json:"service"`
	// Gained names the linked upstreams that would begin to serve the service, and Lost those that would cease to serve it.
	Gained []string `json:"gained,omitempty"`
	Lost   []string `json:"lost,omitempty"`
	// Left is the number of linked upstreams that would serve the service.
	Left int `json:"left"`
	// Nowhere is true if Left is zero: the service's jobs could not run.
	Nowhere bool `json:"nowhere_to_run,omitempty"`
	// UsedCPU is the CPU that is now in use at the upstreams that serve the service. LeftCPU is the total CPU of the upstreams that
	// would serve it. Both are in thousandths of a core and cover only upstreams whose agents are linked to this entry. If LeftCPU is
	// less than UsedCPU, jobs will be refused.
	UsedCPU int64 `json:"used_cpu_millis"`
	LeftCPU int64 `json:"left_cpu_millis"`
}

// DryRun is the body of the answer to a dry run. It describes the effects of a change that was not made.
type DryRun struct {
	Impacts []ServiceImpact `json:"moves"`
	// Matches names the linked upstreams that the object selects. It is set only if the change creates or replaces a pool.
	Matches []string `json:"matches,omitempty"`
	// Shares tells what each team would get now. It is set only if the change is that of a share.
	Shares []shares.Status `json:"shares,omitempty"`
	// DryRun is always true, which tells the body from that of a change.
	DryRun bool `json:"dry_run"`
}

// dryRun compares the configuration in force with the one that would result from a change.
func (s *Server) dryRun(c store.Change) DryRun {
	before := s.objects.View()
	var next []object.Object
	for _, o := range before.List("") {
		if o.Ref != c.Ref {
			next = append(next, o)
		}
	}
	version := before.Version + 1
	if c.Spec != nil {
		next = append(next, object.Object{Ref: c.Ref, Version: uint64(version), Spec: c.Spec})
	}
	after := view.New(version, next)
	out := DryRun{DryRun: true, Impacts: s.impacts(before, after)}
	if c.Ref.Kind == object.KindPool && c.Spec != nil {
		out.Matches = s.matchingUpstreams(c, after)
	}
	if c.Ref.Kind == object.KindShare {
		out.Shares = s.upstreams.PreviewShares(shares.FromView(after))
	}
	return out
}

// impacts returns the effect of replacing one configuration by another on each service that has linked upstreams.
func (s *Server) impacts(before, after *view.View) []ServiceImpact {
	byService := make(map[ident.Service]*ServiceImpact)
	var services []string
	for _, u := range s.upstreams.Upstreams() {
		impact := byService[u.Service]
		if impact == nil {
			impact = &ServiceImpact{Service: u.Service}
			byService[u.Service] = impact
			services = append(services, string(u.Service))
		}
		impact.count(u, before.Serves(u.Name, u.Zone, u.Service), after.Serves(u.Name, u.Zone, u.Service))
	}
	var out []ServiceImpact
	for _, service := range sortNames(services) {
		impact := byService[ident.Service(service)]
		impact.Nowhere = impact.Left == 0
		sortNames(impact.Gained)
		sortNames(impact.Lost)
		out = append(out, *impact)
	}
	return out
}

// count adds one upstream. serves tells whether it serves the service now, and would whether it would serve it after the change.
func (i *ServiceImpact) count(u dispatch.Upstream, serves, would bool) {
	switch {
	case would && !serves:
		i.Gained = append(i.Gained, string(u.Name))
	case serves && !would:
		i.Lost = append(i.Lost, string(u.Name))
	}
	if serves {
		i.UsedCPU += u.TotalCPU - u.FreeCPU
	}
	if would {
		i.Left++
		i.LeftCPU += u.TotalCPU
	}
}

// matchingUpstreams names the linked upstreams that would belong to a pool after a change.
func (s *Server) matchingUpstreams(c store.Change, after *view.View) []string {
	p, err := object.DecodeSpec[object.Pool](object.Object{Ref: c.Ref, Spec: c.Spec})
	if err != nil {
		return nil
	}
	var out []string
	for _, u := range s.upstreams.Upstreams() {
		if after.Serves(u.Name, u.Zone, ident.Service(p.Service)) {
			out = append(out, string(u.Name))
		}
	}
	return sortNames(out)
}
