package node

import (
	"context"
	"time"

	"hillreel/internal/core/fleet"
)

// Memory keeps what this agent's next life should know.
type Memory interface {
	Recall(ctx context.Context) (fleet.Upstream, bool, error)
	Remember(ctx context.Context, u fleet.Upstream) error
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

// remember writes a new upstream, until it is written or another has come.
func (n *Node) remember(u fleet.Upstream) {
	n.remembered = u.ID
	go func() {
		for n.ctx.Err() == nil {
			err := n.memory.Remember(n.ctx, u)
			if err == nil {
				return
			}
			n.log.WithField("error", err.Error()).Info("memory_unwritable")
			time.Sleep(recallPause)
			current := false
			n.loop.Call(func() { current = n.remembered == u.ID })
			if !current {
				return
			}
		}
	}()
}
