package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/platform/standin"
)

var (
	resendEntries = flag.Int("resend-entries", 0, "how many entries a set of TestResentJobsAtSize has")
	resendAgents  = flag.Int("resend-agents", 16, "how many agents it has")
	resendRate    = flag.Float64("resend-rate", 100, "how many jobs its callers send a second")
	callsShare    = flag.Float64("calls-share", 0.5, "the share of a core that agents of TestLateCalls get, entries twice that")
	callsFor      = flag.Duration("calls-for", 8*time.Second, "how long jobs come in TestLateCalls")
	resendShare   = flag.Float64("resend-share", 1, "the share of a core that its agents get, entries twice that")
)

// kind is a kind of best-effort job.
type jobKind struct {
	tasks, runMs int
	// odds are its share of all jobs.
	share float64
}

// kinds are wide and short, long, and narrow.
var jobKinds = []jobKind{{8, 60, 0.24}, {4, 900, 0.05}, {2, 200, 0.71}}

const (
	// attemptWait is how long a caller waits for one answer; it tells entries how long it waits in all.
	attemptTimeout = 1500 * time.Millisecond
	// callerWait is how long it waits in all.
	callerTimeout = 3300 * time.Millisecond
	// entryFaultEvery is the mean pause between two faults of entries.
	entryFaultInterval = 1200 * time.Millisecond
	// slice is the time in which a process that is held back runs for its share.
	throttlePeriod = 100 * time.Millisecond
)

// drawKind draws a kind of job.
func drawJobKind(rng *rand.Rand) jobKind {
	x := rng.Float64()
	for _, k := range jobKinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return jobKinds[len(jobKinds)-1]
}

// submitImpatient sends one best-effort job, and to another entry 1.3 s after a connection broke, or after an attempt that was
// not answered in time, whose connection it closes at its own side: whether its entry hears of that is not its concern.
func (c *callers) submitImpatient(rng *rand.Rand) {
	k := drawJobKind(rng)
	j := &job{id: fmt.Sprintf("%016x", rng.Uint64()), tasks: k.tasks, runMs: k.runMs}
	first := rng.IntN(len(c.cluster.entries))
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	c.wait.Go(func() {
		began := time.Now()
		for attempt := 0; ; attempt++ {
			left := callerTimeout - time.Since(began)
			if left <= 0 {
				return
			}
			status, state := c.send(j, c.cluster.entries[(first+attempt)%len(c.cluster.entries)], min(attemptTimeout, left), left)
			c.mu.Lock()
			j.answers = append(j.answers, status)
			j.state = state
			c.mu.Unlock()
			if status == http.StatusOK || status == http.StatusServiceUnavailable {
				return
			}
			time.Sleep(resendPause)
		}
	})
}

// holdBack lets a process run for a share of each slice, until ctx ends.
func (s *cluster) throttle(ctx context.Context, p *process, share float64) {
	runs := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		time.Sleep(runs)
		if p.suspended.Load() {
			continue
		}
		s.signal(p, syscall.SIGSTOP)
		time.Sleep(throttlePeriod - runs)
		if !p.suspended.Load() {
			s.signal(p, syscall.SIGCONT)
		}
	}
}

// holdAllBack lets agents run for a share of each slice, and entries for twice that, until ctx ends.
func (s *cluster) throttleAll(ctx context.Context, share float64) {
	for i, p := range s.processes() {
		of := share
		if p.role == "entry" {
			of *= 2
		}
		if of < 1 {
			time.AfterFunc(time.Duration(i)*throttlePeriod/7, func() { s.throttle(ctx, p, of) })
		}
	}
}

// freeze stops a process for a while.
func (s *cluster) suspend(p *process, span time.Duration) {
	p.suspended.Store(true)
	s.signal(p, syscall.SIGSTOP)
	time.AfterFunc(span, func() {
		p.suspended.Store(false)
		s.signal(p, syscall.SIGCONT)
	})
}

// cutOff cuts an entry off from everything for a while, unless it is cut off already. What callers send meanwhile, ends of streams among it,
// is sent again after pauses that double, as a kernel does: it arrives when as much time again has passed.
func (s *cluster) cutOff(e *process, span time.Duration) {
	if !e.cutOff.CompareAndSwap(false, true) {
		return
	}
	for _, p := range []*proxy{e.link, e.store} {
		p.setFault(0, true, true)
	}
	e.front.setFault(0, true, true)
	time.AfterFunc(span, func() {
		e.link.setFault(0, false, false)
		e.store.setFault(0, false, false)
		e.front.setFault(0, true, false)
	})
	time.AfterFunc(2*span, func() {
		e.front.setFault(0, false, false)
		e.cutOff.Store(false)
	})
}

// cutCallersOff cuts an entry off from callers alone for a while; what they send meanwhile arrives as after cutOff.
func (s *cluster) cutCallersOff(e *process, span time.Duration) {
	e.front.setFault(0, true, true)
	time.AfterFunc(span, func() { e.front.setFault(0, true, false) })
	time.AfterFunc(2*span, func() { e.front.setFault(0, false, false) })
}

// entryFault lets something happen to one entry, or to several agents.
func (s *cluster) injectEntryFault(rng *rand.Rand) string {
	e, a := s.entries[rng.IntN(len(s.entries))], s.agents[rng.IntN(len(s.agents))]
	span := time.Duration(300+rng.IntN(2700)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		s.suspend(e, span)
		return fmt.Sprintf("freeze %s %v", e.name, span)
	case 2, 3:
		s.cutOff(e, span)
		return fmt.Sprintf("cut %s off %v", e.name, span)
	case 4:
		s.restart(e, syscall.SIGKILL, span)
		return "kill " + e.name
	case 5:
		s.restart(e, syscall.SIGTERM, span)
		return "term " + e.name
	case 6:
		s.suspend(a, span)
		return fmt.Sprintf("freeze %s %v", a.name, span)
	}
	for i, p := range s.agents {
		if i%4 == 0 {
			time.AfterFunc(time.Duration(i)*span/4, func() { s.restart(p, syscall.SIGTERM, 200*time.Millisecond) })
		}
	}
	return fmt.Sprintf("roll each fourth agent, %v apart", span)
}

// callFault lets an upstream read calls late, after their senders have given up and closed the connections, while newer ones overtake
// them, and its agent stand still or start again beside them.
func (s *cluster) injectCallFault(rng *rand.Rand) string {
	a := s.agents[rng.IntN(len(s.agents))]
	span := time.Duration(100+rng.IntN(1900)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		a.upstream.Break(standin.UpstreamFault{Late: span})
		time.AfterFunc(span, func() { a.upstream.Break(standin.UpstreamFault{}) })
		return fmt.Sprintf("orders of %s are taken up %v late", a.name, span)
	case 2, 3:
		a.calls.setFault(span, false, false)
		time.AfterFunc(span, func() { a.calls.setFault(0, false, false) })
		return fmt.Sprintf("calls of %s and their answers are %v late", a.name, span)
	case 4:
		a.calls.setFault(0, false, true)
		time.AfterFunc(span, func() { a.calls.setFault(0, false, false) })
		return fmt.Sprintf("answers to %s are held up for %v", a.name, span)
	case 5:
		a.calls.setFault(span, false, false)
		time.AfterFunc(span/4, func() { s.restart(a, syscall.SIGKILL, span/4) })
		time.AfterFunc(span/2, func() { a.calls.setFault(0, false, false) })
		return fmt.Sprintf("%s is killed while its calls are %v late", a.name, span)
	case 6:
		s.suspend(a, span)
		return fmt.Sprintf("freeze %s %v", a.name, span)
	}
	a.upstream.Break(standin.UpstreamFault{Status: http.StatusBadGateway})
	time.AfterFunc(span, func() { a.upstream.Break(standin.UpstreamFault{}) })
	return fmt.Sprintf("orders of %s are carried out and answered with errors for %v", a.name, span)
}

// resendCases are schedules of one fault, one after the other, that each run plays.
var resendCases = []struct {
	name  string
	fault func(s *cluster, rng *rand.Rand) string
}{
	{"cut_off", func(s *cluster, rng *rand.Rand) string {
		e := s.entries[rng.IntN(len(s.entries))]
		s.cutOff(e, 2600*time.Millisecond)
		return "cut " + e.name + " off"
	}},
	{"frozen", func(s *cluster, rng *rand.Rand) string {
		e := s.entries[rng.IntN(len(s.entries))]
		s.suspend(e, 2600*time.Millisecond)
		return "freeze " + e.name
	}},
	{"callers_cut_off", func(s *cluster, rng *rand.Rand) string {
		e := s.entries[rng.IntN(len(s.entries))]
		s.cutCallersOff(e, 1600*time.Millisecond)
		return "cut " + e.name + " off from callers"
	}},
	{"callers_cut_one_way", func(s *cluster, rng *rand.Rand) string {
		e := s.entries[rng.IntN(len(s.entries))]
		e.front.setFault(0, true, false)
		time.AfterFunc(2600*time.Millisecond, func() { e.front.setFault(0, false, false) })
		return "cut what callers send to " + e.name
	}},
}

// caseEvery is the pause between two faults of a case.
const caseInterval = 6 * time.Second

// TestResentJobs guards against tasks that two entries run at once: callers that break off or lose their connections at their own
// side send their jobs to other entries, while their first entries stand still or are cut off.
func TestResentJobs(t *testing.T) {
	binary := build(t)
	for _, test := range resendCases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runResends(t, binary, resendRun{
				seed: *soakSeed, entries: 3, agents: 8, rate: 45, share: 1, length: 3 * caseInterval,
				fault: test.fault, every: func(*rand.Rand) time.Duration { return caseInterval },
			})
		})
	}
}

// TestResentJobsAtSize is TestResentJobs with sets of any size, under faults at random, by processes that may get little of a core. It is
// started by hand.
func TestResentJobsAtSize(t *testing.T) {
	if *resendEntries == 0 {
		t.Skip("started by hand, with -resend-entries")
	}
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			runResends(t, binary, resendRun{
				seed: seed, entries: *resendEntries, agents: *resendAgents, rate: *resendRate, share: *resendShare, length: *soakFor,
				fault: (*cluster).injectEntryFault, every: func(rng *rand.Rand) time.Duration { return time.Duration(rng.Int64N(int64(2 * entryFaultInterval))) },
			})
		})
	}
}

// callFaultEvery is the mean pause between two faults of calls.
const callFaultInterval = 250 * time.Millisecond

// TestLateCalls guards against tasks that run at two upstreams because a run was told as not there while a call that starts it was still
// on its way: calls are read late and in any order, by agents that get a part of a core.
func TestLateCalls(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			runResends(t, binary, resendRun{
				seed: seed, entries: 2, agents: 8, rate: 60, share: *callsShare, length: *callsFor,
				fault: (*cluster).injectCallFault, every: func(rng *rand.Rand) time.Duration { return time.Duration(rng.Int64N(int64(2 * callFaultInterval))) },
			})
		})
	}
}

// build builds the program under test.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "hillreel")
	out, err := exec.Command("go", "build", "-o", binary, "hillreel").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// resendRun is one run of resent jobs.
type resendRun struct {
	seed            uint64
	entries, agents int
	// rate is how many jobs come a second, for length; share is the share of a core that agents get, entries twice that.
	rate, share float64
	length      time.Duration
	fault       func(*cluster, *rand.Rand) string
	// every draws the pause between two faults.
	every func(*rand.Rand) time.Duration
}

// resends plays one run.
func runResends(t *testing.T, binary string, r resendRun) {
	s := newSet(t, binary, r.seed, r.entries, r.agents)
	defer s.stop()
	until := time.Now().Add(30 * time.Second)
	for why := probeIdle(s, 1); why != ""; why = probeIdle(s, 1) {
		if time.Now().After(until) {
			s.saveDiagnostics(r.seed, why)
			t.Fatalf("seed %d: the set does not come up: %s", r.seed, why)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.throttleAll(ctx, r.share)
	c := newCallers(s)
	traffic, faults := rand.New(rand.NewPCG(r.seed, 9)), rand.New(rand.NewPCG(r.seed, 10))
	end, nextFault := time.Now().Add(r.length), time.Now().Add(time.Second)
	var log []string
	pause := float64(time.Second) / r.rate
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(pause * traffic.ExpFloat64())) {
		time.Sleep(time.Until(next))
		if time.Now().After(nextFault) {
			log = append(log, time.Now().Format("15:04:05.000 ")+r.fault(s, faults))
			nextFault = time.Now().Add(r.every(faults))
		}
		c.submitImpatient(traffic)
	}
	c.wait.Wait()
	problems := append(s.ledger.Broken(), c.checkAnswers()...)
	t.Logf("seed %d: %d jobs, %v, faults: %s", r.seed, len(c.jobs), c.counts(), strings.Join(log, "; "))
	if len(problems) > 0 {
		s.saveDiagnostics(r.seed, problems...)
		t.Errorf("seed %d: %d problems: %s", r.seed, len(problems), strings.Join(problems, "\n"))
	}
}
