// Package route holds the configuration that the platform's operator gives: which queue a request belongs to,
// and which service runs it.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hillreel/internal/core/ident"
)

// Name is a route's name.
type Name string

// Route is one queue of jobs.
type Route struct {
	Name Name `json:"name"`
	// Host and Prefix choose the route; among several that match, the longest prefix wins.
	Host    string        `json:"host,omitempty"`
	Prefix  string        `json:"prefix,omitempty"`
	Service ident.Service `json:"service"`
	// Timeout is the longest a request may take; zero is none.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
	// Target is the part of the latency objective that does not depend on the work.
	Target time.Duration `json:"target_ns,omitempty"`
	// Stretch times the longest chain of work is the rest of the latency objective.
	Stretch float64 `json:"stretch,omitempty"`
	// Priority 0 goes first.
	Priority int `json:"priority,omitempty"`
	// Attempts is after how many failed runs of one task its job has failed.
	Attempts int `json:"attempts,omitempty"`
}

// Objective is the response time that a job with this chain of work should keep.
func (r *Route) Objective(chain time.Duration) time.Duration {
	return time.Duration(r.Stretch*float64(chain)) + r.Target
}

// Limits bound what callers send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes; zero is no limit.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is the longest time in which headers arrive, IdleTimeout that between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version ident.ConfigVersion
	// Routes are sorted so that the longest prefix comes first.
	Routes []Route
	Limits Limits
	// Raw is the configuration as it was read, for passing it on.
	Raw []byte
}

// Sort brings the routes into the order that Match relies on.
func (t *Table) Sort() {
	slices.SortStableFunc(t.Routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
}

// Match returns the route of a request, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
