// Package route holds the configuration that the platform's operators provide: which queue a request belongs to, and which service
// runs it.
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
	// Host and Prefix select the requests of the route. If several routes match, the one with the longest prefix is used.
	Host    string        `json:"host,omitempty"`
	Prefix  string        `json:"prefix,omitempty"`
	Service ident.Service `json:"service"`
	// Timeout is the longest time that a request may take; zero means no limit.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
	// Target is the fixed part of the latency objective, independent of the amount of work.
	Target time.Duration `json:"target_ns,omitempty"`
	// Stretch is multiplied by the estimated time of the job's critical path to give the rest of the latency objective.
	Stretch float64 `json:"stretch,omitempty"`
	// Priority orders the routes' jobs; jobs of priority 0 go first.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs of one task after which its job has failed.
	Attempts int `json:"attempts,omitempty"`
}

// Objective returns the response time that a job should keep. criticalPath is the estimated time of the job's longest chain of
// dependent steps.
func (r *Route) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(max(0, min(r.Stretch*float64(criticalPath), float64(maxObjective)))) + r.Target
}

// maxObjective bounds the part of an objective that follows from a job's estimates. Times that far ahead can still be added up.
const maxObjective = 365 * 24 * time.Hour

// Limits bound the requests of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes in bytes; zero means no limit.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is the longest time in which a caller sends the headers; IdleTimeout is the longest pause between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version ident.ConfigVersion
	// Routes must be sorted as Sort does, so that longer prefixes match first.
	Routes []Route
	Limits Limits
	// Raw is the configuration as it was read, so that it can be sent to other processes.
	Raw []byte
}

// Sort sorts the routes by falling length of their prefix, which Match relies on.
func (t *Table) Sort() {
	slices.SortStableFunc(t.Routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
}

// Match returns the first route that matches a request, or nil. The port in host is ignored.
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
