package schedule

import (
	"math/rand/v2"
	"testing"
	"time"
)

// slicedFrom is the first seed of the worlds in which processes get little of a core: for seconds on end they run for a part of each slice
// only, and what they have decided leaves them late.
const cpuStarvationFrom = 8_000_000_000

const (
	// The parts of a slice for which a process stands still and runs. The longest standstill is not noticed as one.
	minPause, maxPause = 50 * time.Millisecond, 195 * time.Millisecond
	minRun, maxRun     = 3 * time.Millisecond, 30 * time.Millisecond
	// A call or a message that leaves late does so by up to lateMost, one in ten of them by up to lateLongest.
	maxDelay, maxLongDelay = 200 * time.Millisecond, 3 * time.Second
)

// sliced lets processes get little of a core. It draws by itself, like hard.
type cpuStarvation struct {
	w   *world
	rng *rand.Rand
	// late is how often something leaves late.
	lateRate float64
}

func newCPUStarvation(w *world) *cpuStarvation {
	return &cpuStarvation{w: w, rng: rand.New(rand.NewPCG(w.seed, 7))}
}

// between draws a time.
func (s *cpuStarvation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)+1))
}

// act plans when which processes get little of a core and lose touch, and how often what is decided leaves late.
func (s *cpuStarvation) act() {
	if !s.w.profile.cpuStarvation {
		return
	}
	w := s.w
	s.lateRate = []float64{0, 0.02, 0.3}[s.rng.IntN(3)]
	w.After(faultsEnd, func() { s.lateRate = 0 })
	var procs []*proc
	for _, e := range w.entries {
		procs = append(procs, &e.proc)
	}
	for _, a := range w.agents {
		procs = append(procs, &a.proc)
	}
	for _, p := range procs {
		for range s.rng.IntN(4) {
			d := s.between(500*time.Millisecond, 3*time.Second)
			w.After(s.between(0, activePeriod), func() { s.starve(p, d) })
		}
	}
	for range 1 + s.rng.IntN(4) {
		p := w.pairs[s.rng.IntN(len(w.pairs))]
		w.After(s.between(0, activePeriod), func() { s.starveAndPartition(p) })
	}
}

// loseTouch cuts an agent off from an entry while it gets little of a core and its upstream loses orders: where none is lost, runs end as
// soon as they are to be stopped.
func (s *cpuStarvation) starveAndPartition(p *pair) {
	d, u := s.between(1500*time.Millisecond, 3*time.Second), p.a.upstream
	s.starve(&p.a.proc, d)
	loses, vanish := 0.5+0.5*s.rng.Float64(), s.rng.IntN(2) == 0
	s.w.setDuring("upstream "+u.name+" loses orders", d, func() { u.lossRate, u.lateRate, u.dropsLost = loses, 0, vanish }, func() { u.lossRate = 0 })
	s.w.After(s.between(0, 500*time.Millisecond), func() { s.w.partition(p, d) })
}

// squeeze lets a process run for a part of each slice only, for a while.
func (s *cpuStarvation) starve(p *proc, d time.Duration) {
	s.w.logf("%s gets little of a core for %v", p.name, d)
	for _, a := range s.w.agents {
		if &a.proc == p {
			a.markDisturbed(d)
		}
	}
	s.runSlice(p, s.w.Now().Add(d))
}

// slice plays one slice, and the next, until a moment.
func (s *cpuStarvation) runSlice(p *proc, until time.Time) {
	if s.w.Now().After(until) {
		return
	}
	still := s.between(minPause, maxPause)
	p.block(still, 0, func() {})
	s.w.After(still+s.between(minRun, maxRun), func() { s.runSlice(p, until) })
}

// delay draws how late something leaves that was decided now.
func (s *cpuStarvation) drawDelay() time.Duration {
	switch {
	case !s.w.profile.cpuStarvation || s.rng.Float64() >= s.lateRate:
		return 0
	case s.rng.IntN(10) == 0:
		return s.between(0, maxLongDelay)
	}
	return s.between(0, maxDelay)
}

// leave lets a call of a process leave, perhaps late; it does not leave if the process has ended by then.
func (s *cpuStarvation) delayCall(p *proc, call func()) {
	d := s.drawDelay()
	if d == 0 {
		call()
		return
	}
	inc := p.inc
	s.w.After(d, func() {
		if p.inc == inc {
			call()
		}
	})
}

// TestSlicedProcesses guards against promises that rest on a timer which fires in time, or on a call that leaves at once: it runs random
// schedules in which processes get little of a core.
func TestSlicedProcesses(t *testing.T) {
	requireNoViolation(t, cpuStarvationFrom+*seed, longSchedules())
}
