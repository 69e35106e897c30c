package operator

import (
	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/config/view"
	"hillreel/internal/core/ident"
	"hillreel/internal/entry/dispatch"
)

// Moves says what a change would do to one service.
type ServiceImpact struct {
	Service ident.Service `json:"service"`
	// Gained and Lost name the linked upstreams that would begin or cease to serve it.
	Gained []string `json:"gained,omitempty"`
	Lost   []string `json:"lost,omitempty"`
	// Left counts the upstreams that would serve it. Zero: its work would have nowhere to run.
	Left    int  `json:"left"`
	Nowhere bool `json:"nowhere_to_run,omitempty"`
	// UsedCPU is what runs take now at the upstreams that serve it, LeftCPU what those that would serve it have in all, both in
	// thousandths of a core and as far as this entry is linked: with less left than used, work is refused.
	UsedCPU int64 `json:"used_cpu_millis"`
	LeftCPU int64 `json:"left_cpu_millis"`
}

// DryRun says what a change would move; nothing was changed.
type DryRun struct {
	Impacts []ServiceImpact `json:"moves"`
	// Matches names the upstreams that the object selects, if it has a selector over upstreams.
	Matches []string `json:"matches,omitempty"`
	DryRun  bool     `json:"dry_run"`
}

// dryRun compares the view in force with the one that a change would make.
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
	return out
}

// moves lists, for each service, the linked upstreams that one view lets serve it and the other does not.
func (s *Server) impacts(before, after *view.View) []ServiceImpact {
	byService := make(map[ident.Service]*ServiceImpact)
	var services []string
	for _, u := range s.upstreams.Upstreams() {
		m := byService[u.Service]
		if m == nil {
			m = &ServiceImpact{Service: u.Service}
			byService[u.Service] = m
			services = append(services, string(u.Service))
		}
		m.count(u, before.Serves(u.Name, u.Zone, u.Service), after.Serves(u.Name, u.Zone, u.Service))
	}
	var out []ServiceImpact
	for _, service := range sortNames(services) {
		m := byService[ident.Service(service)]
		m.Nowhere = m.Left == 0
		sortNames(m.Gained)
		sortNames(m.Lost)
		out = append(out, *m)
	}
	return out
}

// count takes in one upstream: whether it serves now, and whether it would.
func (m *ServiceImpact) count(u dispatch.Upstream, serves, would bool) {
	switch {
	case would && !serves:
		m.Gained = append(m.Gained, string(u.Name))
	case serves && !would:
		m.Lost = append(m.Lost, string(u.Name))
	}
	if serves {
		m.UsedCPU += u.TotalCPU - u.FreeCPU
	}
	if would {
		m.Left++
		m.LeftCPU += u.TotalCPU
	}
}

// matches names the linked upstreams that a pool would have.
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
