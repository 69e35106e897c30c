package node

import (
	"context"
	"time"

	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
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

// grownPause is how long a room that has grown waits to be remembered: to recall less costs a heartbeat's time of a part of the room, while
// each write of agents whose rooms change all the time takes of what the store can carry for all.
const grownPause = 4 * time.Second

// noted is what was remembered of an upstream, and when.
type noted struct {
	life     ident.UpstreamLife
	draining bool
	// total is its room: a next life of the agent that recalled more would start runs beyond it.
	total job.Resources
	at    time.Time
	// crash is the newest loss of an upstream that tasks ran at.
	crash fleet.LossNumber
}

// notedOf is what of a known upstream is remembered.
func notedOf(now time.Time, u *lives.Known) noted {
	n := noted{life: u.Life(), draining: u.Draining, total: u.Total, at: now}
	for _, c := range u.Crashes {
		n.crash = max(n.crash, c.Loss)
	}
	return n
}

// outdated tells whether something else is to be remembered.
func (n noted) outdated(now time.Time, next noted) bool {
	shrunk := !n.total.Fits(next.total)
	grown := n.total != next.total && now.Sub(n.at) >= grownPause
	return next.crash > n.crash || n.life != next.life || n.draining != next.draining || shrunk || grown
}

// remember lets what is new of the upstream be written, in place of what has not been yet.
func (n *Node) remember(now time.Time, u lives.Known) {
	n.remembered = notedOf(now, &u)
	select {
	case <-n.toRemember:
	default:
	}
	n.toRemember <- u
}

// keepRemembering writes what is to be remembered, one thing at a time, until the node stops.
func (n *Node) keepRemembering() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case u := <-n.toRemember:
			n.write(u)
		}
	}
}

// write writes what is to be remembered, until it is written or something newer is.
func (n *Node) write(u lives.Known) {
	for {
		err := n.memory.Remember(n.ctx, u)
		if err == nil || n.ctx.Err() != nil {
			return
		}
		n.log.WithField("error", err.Error()).Info("memory_unwritable")
		select {
		case <-n.ctx.Done():
			return
		case u = <-n.toRemember:
		case <-time.After(recallPause):
		}
	}
}
