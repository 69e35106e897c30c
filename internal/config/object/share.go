package object

import "slices"

// Share is the part of a service's capacity that a team gets. The object's name is the team's.
type Share struct {
	Service Name `json:"service"`
	// Routes lists the routes of the service whose jobs are the team's.
	Routes []string `json:"routes"`
	// Weight says by how much more the team gets than others when there is not enough. Nil means 1.
	Weight *float64 `json:"weight,omitempty"`
	// Floor is the part of the capacity that the team gets at least if it asks for it. Limit is the part that it gets at most; zero means
	// no limit. Both are between 0 and 1.
	Floor float64 `json:"floor,omitempty"`
	Limit float64 `json:"limit,omitempty"`
}

// WeightOrDefault returns the team's weight.
func (s *Share) WeightOrDefault() float64 {
	if s.Weight == nil {
		return 1
	}
	return *s.Weight
}

// maxWeight bounds weights, so that sums of them stay exact.
const maxWeight = 1e6

// check returns an error that names the first invalid field.
func (s *Share) check() error {
	if err := checkName("service", &s.Service)(); err != nil {
		return err
	}
	if len(s.Routes) == 0 {
		return newFieldError("routes", "want at least one route")
	}
	for i, r := range s.Routes {
		if r == "" {
			return newFieldError("routes", "a route has no name")
		}
		if slices.Contains(s.Routes[:i], r) {
			return newFieldError("routes", "%q is listed twice", r)
		}
	}
	if w := s.WeightOrDefault(); w <= 0 || w > maxWeight {
		return newFieldError("weight", "must be greater than 0 and at most %v, is %v", float64(maxWeight), w)
	}
	if s.Floor < 0 || s.Floor > 1 {
		return newFieldError("floor", "must be between 0 and 1, is %v", s.Floor)
	}
	if s.Limit < 0 || s.Limit > 1 {
		return newFieldError("limit", "must be between 0 and 1, is %v", s.Limit)
	}
	if s.Limit > 0 && s.Floor > s.Limit {
		return newFieldError("floor", "must be at most the limit %v, is %v", s.Limit, s.Floor)
	}
	return nil
}
