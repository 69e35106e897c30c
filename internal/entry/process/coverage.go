package process

import (
	"context"
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/entry/dispatch"
	"hillreel/internal/entry/node"
	"hillreel/internal/link/members"
)

const (
	// coverageEvery is the pause between two looks at which services have too few upstreams here.
	coverageEvery = 2 * time.Second
	// fewUpstreams is below how many linked upstreams of a service more are asked for: with fewer, the chance that none of
	// them has room grows; and a service with so few may have none here at all.
	minUpstreams = 24
	// lookedBefore is how many looks in a row must find too few: while a region starts, every entry is linked to few agents.
	minShortLooks = 4
)

// coverage asks for more agents of services with few upstreams. While agents link to a part of the entries only, an entry
// could otherwise know none of a small service's.
type coverage struct {
	node     *node.Node
	dir      *members.Directory
	register *members.Registrar
	// most is to how many entries agents link; with no more entries there is nothing to ask for.
	maxLinks int
	cancel   context.CancelFunc
	// short counts the looks in a row that have found too few upstreams of a service.
	shortLooks map[ident.Service]int
}

func newCoverage(n *node.Node, d *members.Directory, r *members.Registrar, most int) *coverage {
	return &coverage{node: n, dir: d, register: r, maxLinks: most, shortLooks: make(map[ident.Service]int)}
}

// Start begins to look.
func (c *coverage) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return nil
}

// Stop ends it.
func (c *coverage) Stop() { c.cancel() }

func (c *coverage) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(coverageEvery):
		}
		if t := c.node.Routes(); t != nil && c.dir.Len() > c.maxLinks {
			c.register.RequestAgents(c.servicesShort(t.Routes, c.node.Upstreams()))
		}
	}
}

// look takes in the routes and the upstreams that are linked now, and lists the services of which more are wanted. Those that
// are cordoned don't count: what is left must be known well enough to find room in it.
func (c *coverage) servicesShort(routes []route.Route, upstreams []dispatch.Upstream) []ident.Service {
	count := make(map[ident.Service]int)
	for _, u := range upstreams {
		if !u.Cordoned {
			count[u.Service]++
		}
	}
	services := make(map[ident.Service]bool)
	for _, r := range routes {
		services[r.Service] = true
	}
	var out []ident.Service
	for _, s := range slices.Sorted(maps.Keys(services)) {
		if count[s] >= minUpstreams {
			delete(c.shortLooks, s)
			continue
		}
		c.shortLooks[s]++
		if c.shortLooks[s] >= minShortLooks {
			out = append(out, s)
		}
	}
	return out
}
