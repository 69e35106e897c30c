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
	// coverageEvery is the pause between two checks for services with too few linked upstreams.
	coverageEvery = 2 * time.Second
	// minUpstreams is the number of linked upstreams of a service below which the entry asks for more. With fewer upstreams, it is more
	// likely that none of them has free capacity. A small service may even have no linked upstream at all.
	minUpstreams = 24
	// minShortChecks is the number of checks in a row that must find too few upstreams, because every entry is linked to few agents while
	// a region starts.
	minShortChecks = 4
)

// coverage asks agents of services with few linked upstreams to link to this entry. If there are so many entries that each agent links to
// only some of them, an entry might otherwise be linked to no upstream of a small service.
type coverage struct {
	node     *node.Node
	dir      *members.Directory
	register *members.Registrar
	// maxLinks is the number of entries to which an agent links. If there are no more entries than that, all agents are linked already.
	maxLinks int
	cancel   context.CancelFunc
	// shortChecks counts, for each service, the latest checks in a row that have found too few upstreams.
	shortChecks map[ident.Service]int
}

func newCoverage(n *node.Node, d *members.Directory, r *members.Registrar, maxLinks int) *coverage {
	return &coverage{node: n, dir: d, register: r, maxLinks: maxLinks, shortChecks: make(map[ident.Service]int)}
}

// Start starts the periodic checks.
func (c *coverage) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return nil
}

// Stop ends the checks.
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

// servicesShort does one check with the present routes and linked upstreams. It lists the services that need more linked upstreams.
// Cordoned upstreams don't count, because the entry must know enough others to find free capacity there.
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
			delete(c.shortChecks, s)
			continue
		}
		c.shortChecks[s]++
		if c.shortChecks[s] >= minShortChecks {
			out = append(out, s)
		}
	}
	return out
}
