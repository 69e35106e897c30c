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
	resendEntries = flag.Int("resend-entries", 0, "how many entries a cluster of TestResentJobsAtSize has; 0 skips the test")
	resendAgents  = flag.Int("resend-agents", 16, "how many agents a cluster of TestResentJobsAtSize has")
	resendRate    = flag.Float64("resend-rate", 100, "how many jobs per second the callers of TestResentJobsAtSize send")
	callsShare    = flag.Float64("calls-share", 0.5, "the share of a core that each agent of TestLateCalls gets; entries get twice that")
	callsFor      = flag.Duration("calls-for", 8*time.Second, "how long jobs are sent in TestLateCalls")
	resendShare   = flag.Float64("resend-share", 1, "the share of a core that each agent of TestResentJobsAtSize gets; entries get twice that")
)

// jobKind is a kind of best-effort job.
type jobKind struct {
	tasks, runMs int
	// share is the fraction of all jobs that are of this kind.
	share float64
}

// jobKinds lists the kinds of jobs: many short tasks, long tasks, and few tasks. The shares add up to 1.
var jobKinds = []jobKind{{8, 60, 0.24}, {4, 900, 0.05}, {2, 200, 0.71}}

const (
	// attemptTimeout is how long a caller waits for the answer to one attempt. The deadline that it sends to the entry is the time that
	// is left of callerTimeout.
	attemptTimeout = 1500 * time.Millisecond
	// callerTimeout is how long a caller waits in total.
	callerTimeout = 3300 * time.Millisecond
	// entryFaultInterval is the mean pause between two entry faults.
	entryFaultInterval = 1200 * time.Millisecond
	// throttlePeriod is the period of which a throttled process runs for its share.
	throttlePeriod = 100 * time.Millisecond
)

// drawJobKind draws a kind of job according to the shares.
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

// submitImpatient sends one best-effort job. If the connection breaks or the attempt is not answered within attemptTimeout, the caller
// closes the connection on its own side, whether or not the entry notices, and sends the job to another entry resendPause later.
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

// throttle lets a process run for a share of each throttlePeriod until ctx is done.
func (cl *cluster) throttle(ctx context.Context, p *process, share float64) {
	runs := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		time.Sleep(runs)
		if p.suspended.Load() {
			continue
		}
		cl.signal(p, syscall.SIGSTOP)
		time.Sleep(throttlePeriod - runs)
		if !p.suspended.Load() {
			cl.signal(p, syscall.SIGCONT)
		}
	}
}

// throttleAll throttles agents to a share of each throttlePeriod, and entries to twice that, until ctx is done. A process whose share
// is 1 or more is not throttled. The periods of the processes are staggered.
func (cl *cluster) throttleAll(ctx context.Context, share float64) {
	for i, p := range cl.processes() {
		of := share
		if p.role == "entry" {
			of *= 2
		}
		if of < 1 {
			time.AfterFunc(time.Duration(i)*throttlePeriod/7, func() { cl.throttle(ctx, p, of) })
		}
	}
}

// suspend stops a process with SIGSTOP and resumes it after a while.
func (cl *cluster) suspend(p *process, span time.Duration) {
	p.suspended.Store(true)
	cl.signal(p, syscall.SIGSTOP)
	time.AfterFunc(span, func() {
		p.suspended.Store(false)
		cl.signal(p, syscall.SIGCONT)
	})
}

// cutOff cuts an entry off from agents, store and callers for a while, unless it is cut off already. What callers send meanwhile,
// including the closing of connections, is delivered only after the same time again, as if a kernel had retransmitted with
// exponential backoff.
func (cl *cluster) cutOff(e *process, span time.Duration) {
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

// cutCallersOff cuts an entry off from callers only. What they send meanwhile is delivered late, as after cutOff.
func (cl *cluster) cutCallersOff(e *process, span time.Duration) {
	e.front.setFault(0, true, true)
	time.AfterFunc(span, func() { e.front.setFault(0, true, false) })
	time.AfterFunc(2*span, func() { e.front.setFault(0, false, false) })
}

// injectEntryFault suspends, cuts off or restarts one entry, suspends one agent, or restarts every fourth agent. It returns a description
// for the log.
func (cl *cluster) injectEntryFault(rng *rand.Rand) string {
	e, a := cl.entries[rng.IntN(len(cl.entries))], cl.agents[rng.IntN(len(cl.agents))]
	span := time.Duration(300+rng.IntN(2700)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		cl.suspend(e, span)
		return fmt.Sprintf("suspend %s for %v", e.name, span)
	case 2, 3:
		cl.cutOff(e, span)
		return fmt.Sprintf("cut %s off for %v", e.name, span)
	case 4:
		cl.restart(e, syscall.SIGKILL, span)
		return "kill " + e.name
	case 5:
		cl.restart(e, syscall.SIGTERM, span)
		return "terminate " + e.name
	case 6:
		cl.suspend(a, span)
		return fmt.Sprintf("suspend %s for %v", a.name, span)
	}
	for i, p := range cl.agents {
		if i%4 == 0 {
			time.AfterFunc(time.Duration(i)*span/4, func() { cl.restart(p, syscall.SIGTERM, 200*time.Millisecond) })
		}
	}
	return fmt.Sprintf("restart every fourth agent, %v apart", span)
}

// injectCallFault disturbs the calls of one agent to its upstream. For example, the upstream reads calls late, after their senders have
// timed out and closed the connections, so that newer calls overtake them; or the agent is suspended or killed meanwhile. It returns a
// description for the log.
func (cl *cluster) injectCallFault(rng *rand.Rand) string {
	a := cl.agents[rng.IntN(len(cl.agents))]
	span := time.Duration(100+rng.IntN(1900)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		a.upstream.Break(standin.UpstreamFault{Late: span})
		time.AfterFunc(span, func() { a.upstream.Break(standin.UpstreamFault{}) })
		return fmt.Sprintf("carry out orders of %s %v late", a.name, span)
	case 2, 3:
		a.calls.setFault(span, false, false)
		time.AfterFunc(span, func() { a.calls.setFault(0, false, false) })
		return fmt.Sprintf("delay calls of %s and their answers by %v", a.name, span)
	case 4:
		a.calls.setFault(0, false, true)
		time.AfterFunc(span, func() { a.calls.setFault(0, false, false) })
		return fmt.Sprintf("hold back answers to %s for %v", a.name, span)
	case 5:
		a.calls.setFault(span, false, false)
		time.AfterFunc(span/4, func() { cl.restart(a, syscall.SIGKILL, span/4) })
		time.AfterFunc(span/2, func() { a.calls.setFault(0, false, false) })
		return fmt.Sprintf("kill %s while its calls are delayed by %v", a.name, span)
	case 6:
		cl.suspend(a, span)
		return fmt.Sprintf("suspend %s for %v", a.name, span)
	}
	a.upstream.Break(standin.UpstreamFault{Status: http.StatusBadGateway})
	time.AfterFunc(span, func() { a.upstream.Break(standin.UpstreamFault{}) })
	return fmt.Sprintf("carry out orders of %s but answer with errors for %v", a.name, span)
}

// resendCases lists the cases of TestResentJobs. Each injects the same fault repeatedly into an entry drawn at random.
var resendCases = []struct {
	name  string
	fault func(cl *cluster, rng *rand.Rand) string
}{
	{"cut_off", func(cl *cluster, rng *rand.Rand) string {
		e := cl.entries[rng.IntN(len(cl.entries))]
		cl.cutOff(e, 2600*time.Millisecond)
		return "cut " + e.name + " off"
	}},
	{"frozen", func(cl *cluster, rng *rand.Rand) string {
		e := cl.entries[rng.IntN(len(cl.entries))]
		cl.suspend(e, 2600*time.Millisecond)
		return "suspend " + e.name
	}},
	{"callers_cut_off", func(cl *cluster, rng *rand.Rand) string {
		e := cl.entries[rng.IntN(len(cl.entries))]
		cl.cutCallersOff(e, 1600*time.Millisecond)
		return "cut " + e.name + " off from callers"
	}},
	{"callers_cut_one_way", func(cl *cluster, rng *rand.Rand) string {
		e := cl.entries[rng.IntN(len(cl.entries))]
		e.front.setFault(0, true, false)
		time.AfterFunc(2600*time.Millisecond, func() { e.front.setFault(0, false, false) })
		return "hold back what callers send to " + e.name
	}},
}

// caseInterval is the pause between two faults of a case.
const caseInterval = 6 * time.Second

// TestResentJobs guards against tasks that two entries run at once. That can happen when callers time out or lose their connections and
// send their jobs to other entries while the first entries are suspended or cut off.
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

// TestResentJobsAtSize is TestResentJobs with clusters of any size, random faults and processes that may be throttled. It runs only when
// started by hand with -resend-entries.
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

// callFaultInterval is the mean pause between two call faults.
const callFaultInterval = 250 * time.Millisecond

// TestLateCalls guards against tasks that run at two upstreams because a run was reported as absent while the call that starts it was
// still in flight. Calls are read late and in any order, and the agents are throttled.
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

// build builds the program under test and returns the path of the binary.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "hillreel")
	out, err := exec.Command("go", "build", "-o", binary, "hillreel").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// resendRun describes one run of runResends.
type resendRun struct {
	seed            uint64
	entries, agents int
	// rate is the mean number of jobs per second, sent for length. share is the share of a core that each agent gets; entries get
	// twice that.
	rate, share float64
	length      time.Duration
	// fault injects one fault and returns a description for the log.
	fault func(*cluster, *rand.Rand) string
	// every draws the pause between two faults.
	every func(*rand.Rand) time.Duration
}

// runResends starts a cluster, sends jobs under the faults of r, and checks the guarantees.
func runResends(t *testing.T, binary string, r resendRun) {
	cl := newCluster(t, binary, r.seed, r.entries, r.agents)
	defer cl.stop()
	until := time.Now().Add(30 * time.Second)
	for why := probeIdle(cl, 1); why != ""; why = probeIdle(cl, 1) {
		if time.Now().After(until) {
			cl.saveDiagnostics(r.seed, why)
			t.Fatalf("seed %d: the cluster does not come up: %s", r.seed, why)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cl.throttleAll(ctx, r.share)
	c := newCallers(cl)
	traffic, faults := rand.New(rand.NewPCG(r.seed, 9)), rand.New(rand.NewPCG(r.seed, 10))
	end, nextFault := time.Now().Add(r.length), time.Now().Add(time.Second)
	var log []string
	pause := float64(time.Second) / r.rate
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(pause * traffic.ExpFloat64())) {
		time.Sleep(time.Until(next))
		if time.Now().After(nextFault) {
			log = append(log, time.Now().Format("15:04:05.000 ")+r.fault(cl, faults))
			nextFault = time.Now().Add(r.every(faults))
		}
		c.submitImpatient(traffic)
	}
	c.wait.Wait()
	problems := append(cl.ledger.Broken(), c.checkAnswers()...)
	t.Logf("seed %d: %d jobs, %v, faults: %s", r.seed, len(c.jobs), c.counts(), strings.Join(log, "; "))
	if len(problems) > 0 {
		cl.saveDiagnostics(r.seed, problems...)
		t.Errorf("seed %d: %d problems: %s", r.seed, len(problems), strings.Join(problems, "\n"))
	}
}
