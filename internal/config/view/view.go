// Package view holds one version of the configuration objects, with the label selectors parsed in advance for the hot path.
package view

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"hillreel/internal/config/object"
	"hillreel/internal/core/ident"
)

// Labels that every upstream has without configuration.
const (
	LabelZone     = "zone"
	LabelUpstream = "upstream"
)

// View is one version of the configuration. It does not change once it is built.
type View struct {
	Version   ident.ConfigVersion
	objects   []object.Object
	pools     map[ident.Service][]labels.Selector
	services  map[ident.Service]object.Service
	upstreams map[ident.UpstreamName]object.Upstream
	zones     map[ident.Zone]object.Zone
}

// New returns a View of objects. Objects that can't be decoded are ignored, because objects are validated before they are accepted.
func New(version ident.ConfigVersion, objects []object.Object) *View {
	v := &View{
		Version: version, objects: slices.Clone(objects), pools: make(map[ident.Service][]labels.Selector),
		services: make(map[ident.Service]object.Service), upstreams: make(map[ident.UpstreamName]object.Upstream),
		zones: make(map[ident.Zone]object.Zone),
	}
	slices.SortFunc(v.objects, func(a, b object.Object) int { return cmp.Compare(a.Ref.String(), b.Ref.String()) })
	for _, o := range v.objects {
		v.add(o)
	}
	return v
}

// List returns the objects of a kind, or all objects if kind is empty, sorted by kind and name.
func (v *View) List(kind object.Kind) []object.Object {
	var out []object.Object
	for _, o := range v.objects {
		if kind == "" || o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}

// Find returns an object, and whether it exists.
func (v *View) Find(r object.Ref) (object.Object, bool) {
	for _, o := range v.objects {
		if o.Ref == r {
			return o, true
		}
	}
	return object.Object{Ref: r}, false
}

// Objectives returns the specs of all service-level objectives.
func (v *View) Objectives() []object.Objective {
	var out []object.Objective
	for _, o := range v.List(object.KindObjective) {
		if x, err := object.DecodeSpec[object.Objective](o); err == nil {
			out = append(out, x)
		}
	}
	return out
}

func (v *View) add(o object.Object) {
	switch o.Kind {
	case object.KindService:
		if s, err := object.DecodeSpec[object.Service](o); err == nil {
			v.services[ident.Service(o.Name)] = s
		}
	case object.KindPool:
		p, err := object.DecodeSpec[object.Pool](o)
		if err != nil {
			return
		}
		if sel, err := labels.Parse(p.Selector); err == nil {
			v.pools[ident.Service(p.Service)] = append(v.pools[ident.Service(p.Service)], sel)
		}
	case object.KindZone:
		if z, err := object.DecodeSpec[object.Zone](o); err == nil {
			v.zones[ident.Zone(o.Name)] = z
		}
	case object.KindUpstream:
		if u, err := object.DecodeSpec[object.Upstream](o); err == nil {
			v.upstreams[ident.UpstreamName(o.Name)] = u
		}
	}
}

// Serves reports whether the configuration allows an upstream to serve a service. Neither the upstream nor its zone may be
// cordoned, and a pool of the service must select the upstream. If the service has no pools, any upstream may serve it.
func (v *View) Serves(u ident.UpstreamName, zone ident.Zone, s ident.Service) bool {
	if v.upstreams[u].Cordoned || v.zones[zone].Cordoned {
		return false
	}
	pools := v.pools[s]
	if len(pools) == 0 {
		return true
	}
	set := v.Labels(u, zone)
	for _, p := range pools {
		if p.Matches(set) {
			return true
		}
	}
	return false
}

// Labels returns the configured labels of an upstream, with LabelZone and LabelUpstream.
func (v *View) Labels(u ident.UpstreamName, zone ident.Zone) labels.Set {
	set := labels.Set{}
	for k, val := range v.upstreams[u].Labels {
		set[k] = val
	}
	set[LabelZone], set[LabelUpstream] = string(zone), string(u)
	return set
}

// MaxTasks returns the maximum number of tasks in a job of a service. Zero means that the service has no limit of its own.
func (v *View) MaxTasks(s ident.Service) int { return v.services[s].MaxTasks }

// maxDeadlineMs is the longest deadline of a service, a year: a larger number would not fit into a duration.
const maxDeadlineMs = 365 * 24 * 3600 * 1000

// Deadline returns the deadline of a service's jobs that have none of their own. Zero means no deadline.
func (v *View) Deadline(s ident.Service) time.Duration {
	return time.Duration(min(v.services[s].DeadlineMs, maxDeadlineMs)) * time.Millisecond
}

// Knows reports whether jobs of a service are accepted. If no service is configured, jobs of all services are.
func (v *View) Knows(s ident.Service) bool {
	if len(v.services) == 0 {
		return true
	}
	_, ok := v.services[s]
	return ok
}
