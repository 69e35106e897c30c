package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"hillreel/internal/core/job"
)

// hardFrom is the first seed of the worlds in which VMs are suspended, and the rooms of upstreams shrink and grow again. In every second
// one tasks crash upstreams as well.
const vmFaultsFrom = 5_000_000_000

// hard does so. It draws by itself, like operators.
type vmFaults struct {
	w   *world
	rng *rand.Rand
}

func newVMFaults(w *world) *vmFaults { return &vmFaults{w, rand.New(rand.NewPCG(w.seed, 6))} }

// between draws a time.
func (h *vmFaults) between(least, most time.Duration) time.Duration {
	return least + time.Duration(h.rng.Int64N(int64(most-least)+1))
}

// act plans which VMs are suspended, and which rooms shrink.
func (h *vmFaults) act() {
	if h.w.profile.suspendVMs {
		for range h.rng.IntN(4) {
			p := h.drawProc()
			d := h.between(300*time.Millisecond, 5*time.Second)
			h.w.After(h.between(0, activePeriod), func() { h.suspend(p, d) })
		}
	}
	if h.w.profile.shrinkRooms {
		for range h.rng.IntN(4) {
			u := h.w.agents[h.rng.IntN(len(h.w.agents))].upstream
			room := capacity
			room.CPU = int64(h.rng.IntN(3)) * need.CPU
			from := h.between(0, activePeriod)
			h.w.After(from, func() { u.resize(room) })
			h.w.After(from+h.between(500*time.Millisecond, 8*time.Second), func() { u.resize(capacity) })
		}
	}
}

// anyProc draws a process.
func (h *vmFaults) drawProc() *proc {
	if n := h.rng.IntN(len(h.w.entries) + len(h.w.agents)); n < len(h.w.entries) {
		return &h.w.entries[n].proc
	} else {
		return &h.w.agents[n-len(h.w.entries)].proc
	}
}

// suspend suspends a process's VM. For an agent that is a disturbance.
func (h *vmFaults) suspend(p *proc, d time.Duration) {
	for _, a := range h.w.agents {
		if &a.proc == p {
			a.markDisturbed(d)
		}
	}
	p.suspend(d)
}

// formerRoom is what an upstream has had.
type formerRoom struct {
	room  job.Resources
	until time.Time
}

// shrunkBound is how long after an upstream's room has shrunk starts may still go by the former one: contact_ms and a heartbeat.
const shrunkBound = contactTime + heartbeatInterval

// resize lets the upstream have another room, which its next heartbeat says.
func (u *simUpstream) resize(room job.Resources) {
	if room == u.room {
		return
	}
	u.w.logf("%s has room for %d tasks", u.name, room.CPU/need.CPU)
	u.formerRooms = append(u.formerRooms, formerRoom{u.room, u.w.Now()})
	u.room = room
}

// allowed is the largest room by which starts may go.
func (u *simUpstream) allowedRoom() job.Resources {
	room := u.room
	for _, f := range u.formerRooms {
		if u.w.Now().Sub(f.until) <= shrunkBound && f.room.CPU > room.CPU {
			room = f.room
		}
	}
	return room
}

// TestSuspendedVMsAndShrinkingRooms runs random schedules in which VMs are suspended, which their clocks don't count, and rooms shrink.
func TestSuspendedVMsAndShrinkingRooms(t *testing.T) {
	searchExceptKnown(t, vmFaultsFrom)
}
