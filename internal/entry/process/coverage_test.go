package process

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
)

// TestCoverage checks that more upstreams of a service are asked for only after several checks in a row have found too few. It guards
// against asking while a region starts and every entry is linked to few agents. With 300 VMs, all entries asked within two seconds of
// their start, and then every agent linked to every entry.
func TestCoverage(t *testing.T) {
	routes := []route.Route{{Name: "a", Service: "large"}, {Name: "b", Service: "small"}, {Name: "c", Service: "large"}}
	linked := func(large, small int) (out []dispatch.Upstream) {
		for range large {
			out = append(out, dispatch.Upstream{Service: "large"})
		}
		for range small {
			out = append(out, dispatch.Upstream{Service: "small"})
		}
		return out
	}
	for _, test := range []struct {
		name   string
		checks [][]dispatch.Upstream
		want   []ident.Service
	}{
		{"starting", [][]dispatch.Upstream{nil, linked(5, 1), linked(20, 2), linked(100, 30)}, nil},
		{"a small service", [][]dispatch.Upstream{nil, linked(100, 3), linked(100, 3), linked(100, 3)}, []ident.Service{"small"}},
		{"few for a moment", [][]dispatch.Upstream{linked(100, 3), linked(100, 3), linked(100, 24), linked(100, 3), linked(100, 3)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCoverage(nil, nil, nil, 12)
			var got []ident.Service
			for _, upstreams := range test.checks {
				got = c.servicesShort(routes, upstreams)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
