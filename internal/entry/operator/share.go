package operator

import (
	"fmt"

	"hillreel/internal/config/object"
	"hillreel/internal/config/store"
	"hillreel/internal/config/view"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
)

// checkShare returns an error if a share contradicts the other shares or the routes in force. routes may be nil. Two changes that are made
// at once may each be valid alone; the entries then scale floors down, and count a route for the first team by name.
func checkShare(c store.Change, present *view.View, routes *route.Table) error {
	s, err := object.DecodeSpec[object.Share](object.Object{Ref: c.Ref, Spec: c.Spec})
	if err != nil {
		return &object.FieldError{Field: "spec", Reason: err.Error()}
	}
	if err := checkRoutes(s, routes); err != nil {
		return err
	}
	floors := s.Floor
	for _, o := range present.List(object.KindShare) {
		other, err := object.DecodeSpec[object.Share](o)
		if err != nil || o.Name == c.Ref.Name {
			continue
		}
		if name, both := commonRoute(s.Routes, other.Routes); both {
			return &object.FieldError{Field: "routes", Reason: fmt.Sprintf("%q belongs to %s", name, o.Ref)}
		}
		if other.Service == s.Service {
			floors += other.Floor
		}
	}
	if floors > 1+floorTolerance {
		return &object.FieldError{Field: "floor", Reason: fmt.Sprintf("the floors of service %s would add up to %.4g, which is more than 1", s.Service, floors)}
	}
	return nil
}

// floorTolerance allows for the rounding of a sum of decimal fractions.
const floorTolerance = 1e-9

// checkRoutes returns an error if a route of a share is not in force or is one of another service.
func checkRoutes(s object.Share, routes *route.Table) error {
	if routes == nil {
		return nil
	}
	services := make(map[string]ident.Service)
	for _, r := range routes.Routes {
		services[string(r.Name)] = r.Service
	}
	for _, name := range s.Routes {
		if name == string(s.Service) {
			continue // that of the callers' own API
		}
		service, known := services[name]
		if !known {
			return &object.FieldError{Field: "routes", Reason: fmt.Sprintf("no route is named %q", name)}
		}
		if service != ident.Service(s.Service) {
			return &object.FieldError{Field: "routes", Reason: fmt.Sprintf("%q is a route of service %s", name, service)}
		}
	}
	return nil
}

// commonRoute returns a route that stands in both lists, and whether there is one.
func commonRoute(a, b []string) (string, bool) {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return x, true
			}
		}
	}
	return "", false
}
