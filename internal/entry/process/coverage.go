package process

import (
	"context"
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/entry/node"
	"hillreel/internal/link/members"
)

const (
	// coverageEvery is the pause between two looks at which services have too few upstreams here.
	coverageEvery = 2 * time.Second
	// fewUpstreams is below how many linked upstreams of a service more are asked for: with fewer, the chance that none of
	// them has room grows; and a service with so few may have none here at all.
	fewUpstreams = 24
)

// coverage asks for more agents of services with few upstreams. While agents link to a part of the entries only, an entry
// could otherwise know none of a small service's.
type coverage struct {
	node     *node.Node
	dir      *members.Directory
	register *members.Registrar
	// most is to how many entries agents link; with no more entries there is nothing to ask for.
	most   int
	cancel context.CancelFunc
}

func newCoverage(n *node.Node, d *members.Directory, r *members.Registrar, most int) *coverage {
	return &coverage{node: n, dir: d, register: r, most: most}
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
		if c.dir.Len() > c.most {
			c.register.Want(c.short())
		}
	}
}

// short lists the services of the routes that have few upstreams here.
func (c *coverage) short() []ident.Service {
	count := make(map[ident.Service]int)
	for _, u := range c.node.Upstreams() {
		count[u.Service]++
	}
	var out []ident.Service
	if t := c.node.Routes(); t != nil {
		for _, r := range t.Routes {
			if count[r.Service] < fewUpstreams {
				out = append(out, r.Service)
				count[r.Service] = fewUpstreams // once is enough
			}
		}
	}
	return out
}
