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
	Load(ctx context.Context) (lives.Snapshot, bool, error)
	Save(ctx context.Context, u lives.Snapshot) error
}

// recallPause is the pause between two attempts to read or write the memory.
const memoryRetryPause = 300 * time.Millisecond

// recall reads what an earlier life has remembered, until a heartbeat makes that needless.
func (n *Node) recall() {
	for n.ctx.Err() == nil {
		u, found, err := n.memory.Load(n.ctx)
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
		time.Sleep(memoryRetryPause)
	}
}

// grownPause is how long a room that has grown waits to be remembered: to recall less costs a heartbeat's time of a part of the room, while
// each write of agents whose rooms change all the time takes of what the store can carry for all.
const growthDelay = 4 * time.Second

// noted is what was remembered of an upstream, and when.
type savedState struct {
	life     ident.UpstreamLife
	draining bool
	// total is its room: a next life of the agent that recalled more would start runs beyond it.
	total job.Resources
	at    time.Time
	// crash is the newest loss of an upstream that tasks ran at.
	crash fleet.LossNumber
}

// notedOf is what of a known upstream is remembered.
func savedStateOf(now time.Time, u *lives.Snapshot) savedState {
	n := savedState{life: u.Life(), draining: u.Draining, total: u.Total, at: now}
	for _, c := range u.Crashes {
		n.crash = max(n.crash, c.Loss)
	}
	return n
}

// outdated tells whether something else is to be remembered.
func (n savedState) outdated(now time.Time, next savedState) bool {
	shrunk := !n.total.Fits(next.total)
	grown := n.total != next.total && now.Sub(n.at) >= growthDelay
	return next.crash > n.crash || n.life != next.life || n.draining != next.draining || shrunk || grown
}

// remember lets what is new of the upstream be written, in place of what has not been yet.
func (n *Node) queueSave(now time.Time, u lives.Snapshot) {
	n.lastSaved = savedStateOf(now, &u)
	select {
	case <-n.toSave:
	default:
	}
	n.toSave <- u
}

// keepRemembering writes what is to be remembered, one thing at a time, until the node stops.
func (n *Node) writeMemory() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case u := <-n.toSave:
			n.writeWithRetries(u)
		}
	}
}

// write writes what is to be remembered, until it is written or something newer is.
func (n *Node) writeWithRetries(u lives.Snapshot) {
	for {
		err := n.memory.Save(n.ctx, u)
		if err == nil || n.ctx.Err() != nil {
			return
		}
		n.log.WithField("error", err.Error()).Info("memory_unwritable")
		select {
		case <-n.ctx.Done():
			return
		case u = <-n.toSave:
		case <-time.After(memoryRetryPause):
		}
	}
}
