package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"hillreel/internal/core/job"
)

// vmFaultsFrom is the first seed of the worlds in which VMs are suspended, and the rooms of upstreams shrink and grow
// again. In the worlds with even seeds, tasks crash upstreams as well.
const vmFaultsFrom = 5_000_000_000

// vmFaults suspends VMs and resizes rooms. It has a random source of its own, as operators has.
type vmFaults struct {
	w   *world
	rng *rand.Rand
}

func newVMFaults(w *world) *vmFaults { return &vmFaults{w, rand.New(rand.NewPCG(w.seed, 6))} }

// between draws a duration.
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

// drawProc returns a random process.
func (h *vmFaults) drawProc() *proc {
	if n := h.rng.IntN(len(h.w.entries) + len(h.w.agents)); n < len(h.w.entries) {
		return &h.w.entries[n].proc
	} else {
		return &h.w.agents[n-len(h.w.entries)].proc
	}
}

// suspend suspends the VM of a process. An agent counts as disturbed meanwhile.
func (h *vmFaults) suspend(p *proc, d time.Duration) {
	for _, a := range h.w.agents {
		if &a.proc == p {
			a.markDisturbed(d)
		}
	}
	p.suspend(d)
}

// formerRoom is a total capacity that an upstream had until a moment.
type formerRoom struct {
	room  job.Resources
	until time.Time
}

// shrunkBound is how long after an upstream's capacity has shrunk starts may still rely on the former capacity: contact_ms
// and one heartbeat.
const shrunkBound = contactTime + heartbeatInterval

// resize changes the upstream's total capacity. Its next heartbeat reports the change.
func (u *simUpstream) resize(room job.Resources) {
	if room == u.room {
		return
	}
	u.w.logf("%s has room for %d tasks", u.name, room.CPU/need.CPU)
	u.formerRooms = append(u.formerRooms, formerRoom{u.room, u.w.Now()})
	u.room = room
}

// allowedRoom returns the largest total capacity that starts may rely on now.
func (u *simUpstream) allowedRoom() job.Resources {
	room := u.room
	for _, f := range u.formerRooms {
		if u.w.Now().Sub(f.until) <= shrunkBound && f.room.CPU > room.CPU {
			room = f.room
		}
	}
	return room
}

// TestSuspendedVMsAndShrinkingRooms guards against faults caused by suspended VMs, whose clocks don't count the
// suspension, and by upstreams whose rooms shrink.
func TestSuspendedVMsAndShrinkingRooms(t *testing.T) {
	searchExceptKnown(t, vmFaultsFrom)
}
