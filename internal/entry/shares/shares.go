// Package shares decides which teams go without when callers ask for more than there is. Operators give teams a weight, a floor and a limit;
// entries tell each other what callers ask of them, compute the same division of each service's capacity, and refuse by the same fraction
// the jobs of a team that asks for more than its part. The package does no I/O and has no clock.
package shares

import (
	"cmp"
	"slices"

	"hillreel/internal/config/object"
	"hillreel/internal/config/view"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
)

// Team names a team. The empty name stands for all routes of a service that no share lists.
type Team string

// Share is the part of a service's capacity that operators give to a team.
type Share struct {
	Team    Team
	Service ident.Service
	// Routes lists the team's routes.
	Routes []route.Name
	// Weight is positive.
	Weight float64
	// Floor is the part of the capacity that the team gets at least if it asks for it, Limit the part that it gets at most; zero means no
	// limit.
	Floor, Limit float64
}

// FromView returns the shares of a configuration, sorted by team.
func FromView(v *view.View) []Share {
	var out []Share
	for _, o := range v.List(object.KindShare) {
		if s, err := object.DecodeSpec[object.Share](o); err == nil { // objects are checked before they are accepted
			out = append(out, FromObject(o.Name, s))
		}
	}
	return out
}

// FromObject returns the share that an object describes.
func FromObject(name object.Name, s object.Share) Share {
	out := Share{Team: Team(name), Service: ident.Service(s.Service), Weight: s.WeightOrDefault(), Floor: s.Floor, Limit: s.Limit}
	for _, r := range s.Routes {
		out.Routes = append(out.Routes, route.Name(r))
	}
	return out
}

// key identifies a team of a service.
type key struct {
	service ident.Service
	team    Team
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.team, b.team))
}

// rest is the share of the routes of a service that no share lists.
func rest(s ident.Service) Share { return Share{Service: s, Weight: 1} }

// withRests returns shares with one more for each of their services: that of the routes which no share lists.
func withRests(all []Share) []Share {
	out := slices.Clone(all)
	var services []ident.Service
	for _, s := range all {
		if !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
			out = append(out, rest(s.Service))
		}
	}
	slices.SortFunc(out, func(a, b Share) int { return compareKeys(key{a.Service, a.Team}, key{b.Service, b.Team}) })
	return out
}
