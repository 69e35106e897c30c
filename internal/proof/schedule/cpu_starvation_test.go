package schedule

import (
	"math/rand/v2"
	"testing"
	"time"
)

// cpuStarvationFrom is the first seed of the worlds in which processes get little CPU time: for seconds they run only for
// a part of each slice, and their calls and messages leave late.
const cpuStarvationFrom = 8_000_000_000

const (
	// The parts of a slice for which a process pauses and runs. Even maxPause is too short to be detected as a pause.
	minPause, maxPause = 50 * time.Millisecond, 195 * time.Millisecond
	minRun, maxRun     = 3 * time.Millisecond, 30 * time.Millisecond
	// A late call or message is delayed by up to maxDelay, one in ten of them by up to maxLongDelay.
	maxDelay, maxLongDelay = 200 * time.Millisecond, 3 * time.Second
)

// cpuStarvation gives processes little CPU time. It has a random source of its own, as operators has.
type cpuStarvation struct {
	w   *world
	rng *rand.Rand
	// lateRate is the probability that a call or message leaves late.
	lateRate float64
}

func newCPUStarvation(w *world) *cpuStarvation {
	return &cpuStarvation{w: w, rng: rand.New(rand.NewPCG(w.seed, 7))}
}

// between draws a duration.
func (s *cpuStarvation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)+1))
}

// act plans which processes get little CPU time and lose contact, when they do, and how often calls and messages leave
// late.
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

// starveAndPartition cuts an agent off from an entry while the agent gets little CPU time and its upstream loses orders.
// Without lost orders, runs would end as soon as they are to be stopped.
func (s *cpuStarvation) starveAndPartition(p *pair) {
	d, u := s.between(1500*time.Millisecond, 3*time.Second), p.a.upstream
	s.starve(&p.a.proc, d)
	lossRate, dropsLost := 0.5+0.5*s.rng.Float64(), s.rng.IntN(2) == 0
	s.w.setDuring("upstream "+u.name+" loses orders", d, func() { u.lossRate, u.lateRate, u.dropsLost = lossRate, 0, dropsLost }, func() { u.lossRate = 0 })
	s.w.After(s.between(0, 500*time.Millisecond), func() { s.w.partition(p, d) })
}

// starve gives a process little CPU time for d.
func (s *cpuStarvation) starve(p *proc, d time.Duration) {
	s.w.logf("%s gets little of a core for %v", p.name, d)
	for _, a := range s.w.agents {
		if &a.proc == p {
			a.markDisturbed(d)
		}
	}
	s.runSlice(p, s.w.Now().Add(d))
}

// runSlice runs slices, each a pause and a time to run, until a moment.
func (s *cpuStarvation) runSlice(p *proc, until time.Time) {
	if s.w.Now().After(until) {
		return
	}
	pause := s.between(minPause, maxPause)
	p.block(pause, 0, func() {})
	s.w.After(pause+s.between(minRun, maxRun), func() { s.runSlice(p, until) })
}

// drawDelay returns the extra delay of a call or message that is sent now.
func (s *cpuStarvation) drawDelay() time.Duration {
	switch {
	case !s.w.profile.cpuStarvation || s.rng.Float64() >= s.lateRate:
		return 0
	case s.rng.IntN(10) == 0:
		return s.between(0, maxLongDelay)
	}
	return s.between(0, maxDelay)
}

// delayCall makes a call, perhaps late. The call is dropped if the process has ended by then.
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

// TestSlicedProcesses guards against guarantees that rely on a timer firing in time or on a call leaving at once:
// processes get little CPU time.
func TestSlicedProcesses(t *testing.T) {
	requireNoViolation(t, cpuStarvationFrom+*seed, longSchedules())
}
