package node

import (
	"context"
	"time"

	"hillreel/internal/agent/lives"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

// Memory stores what the agent must know when its process starts again.
type Memory interface {
	// Load returns the saved snapshot. It returns false if there is none.
	Load(ctx context.Context) (lives.Snapshot, bool, error)
	// Save replaces the saved snapshot.
	Save(ctx context.Context, u lives.Snapshot) error
}

// memoryRetryPause is the pause between two attempts to read or write the memory.
const memoryRetryPause = 300 * time.Millisecond

// recall loads the snapshot that an earlier incarnation of this agent has saved. It retries until it succeeds, or until the agent is ready
// because of a heartbeat and no longer needs the snapshot.
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

// growthDelay is the shortest time between a save and the next one that is due only because the room has grown. An agent that loads too
// small a room leaves a part of it unused until the next heartbeat. Saving each growth would load the store, which all agents share, if
// rooms change all the time.
const growthDelay = 4 * time.Second

// savedState is the part of a snapshot that decides whether a new one must be saved, and the time of the save.
type savedState struct {
	life     ident.UpstreamLife
	draining bool
	// total is the upstream's room. If it shrinks, it is saved at once: an agent that loaded too large a room after a restart would start
	// more runs than there is room for.
	total job.Resources
	at    time.Time
	// crash is the number of the newest loss of an upstream that had running tasks.
	crash fleet.LossNumber
}

// savedStateOf returns the savedState of a snapshot that is saved now.
func savedStateOf(now time.Time, u *lives.Snapshot) savedState {
	s := savedState{life: u.Life(), draining: u.Draining, total: u.Total, at: now}
	for _, c := range u.Crashes {
		s.crash = max(s.crash, c.Loss)
	}
	return s
}

// outdated reports whether next must be saved in place of s.
func (s savedState) outdated(now time.Time, next savedState) bool {
	shrunk := !s.total.Fits(next.total)
	grown := s.total != next.total && now.Sub(s.at) >= growthDelay
	return next.crash > s.crash || s.life != next.life || s.draining != next.draining || shrunk || grown
}

// queueSave queues a snapshot to be written. It replaces a snapshot that still waits.
func (n *Node) queueSave(now time.Time, u lives.Snapshot) {
	n.lastSaved = savedStateOf(now, &u)
	select {
	case <-n.toSave:
	default:
	}
	n.toSave <- u
}

// writeMemory writes queued snapshots to the memory, one at a time, until the node stops.
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

// writeWithRetries writes a snapshot. It retries until the snapshot, or a newer one that is queued meanwhile, is written.
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
