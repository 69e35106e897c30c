package node

import (
	"context"
	"time"

	"hillreel/internal/agent/lives"
	"hillreel/internal/core/ident"
)

// Memory keeps what this agent's next life should know.
type Memory interface {
	Recall(ctx context.Context) (lives.Known, bool, error)
	Remember(ctx context.Context, u lives.Known) error
}

// recallPause is the pause between two attempts to read or write the memory.
const recallPause = 300 * time.Millisecond

// recall reads what an earlier life has remembered, until a heartbeat makes that needless.
func (n *Node) recall() {
	for n.ctx.Err() == nil {
		u, found, err := n.memory.Recall(n.ctx)
		if err == nil {
			if found {
				n.loop.Post(recalled{u})
			}
			return
		}
		n.log.WithField("error", err.Error()).Info("memory_unreadable")
		if ready, _ := n.Ready(); ready {
			return
		}
		time.Sleep(recallPause)
	}
}

// noted is what of an upstream makes it worth remembering anew.
type noted struct {
	life     ident.UpstreamLife
	draining bool
}

// remember writes what is new of the upstream, until it is written or another has come.
func (n *Node) remember(u lives.Known) {
	n.remembered = noted{u.Life(), u.Draining}
	go func() {
		for n.ctx.Err() == nil {
			err := n.memory.Remember(n.ctx, u)
			if err == nil {
				return
			}
			n.log.WithField("error", err.Error()).Info("memory_unwritable")
			time.Sleep(recallPause)
			current := false
			n.loop.Call(func() { current = n.remembered == noted{u.Life(), u.Draining} })
			if !current {
				return
			}
		}
	}()
}
