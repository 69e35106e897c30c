package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hillreel/platform/standin"
)

var (
	soakSeed     = flag.Uint64("soak-seed", 1, "the first seed")
	soakSeeds    = flag.Int("soak-seeds", 1, "how many seeds to run")
	soakFor      = flag.Duration("soak-for", 5*time.Second, "how long jobs are sent and faults injected for each seed")
	soakAgents   = flag.Int("soak-agents", 4, "how many agents a cluster has; there are half as many entries, at least 2")
	soakParallel = flag.Int("soak-parallel", 2, "how many seeds run at the same time")
	soakKeepDir  = flag.String("soak-keep", "", "save the logs and state of failed seeds in this directory")
)

// regressions lists seeds that failed once, with the cause. TestSoak runs them first. Each kind of fault draws from its own random
// generator, so that the kinds added later, such as silenced connections, leave the other faults of these seeds unchanged.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{106, "the cluster did not come up; cause not proven since the logs were not saved, but the same as 201 by all signs"},
	{201, "the cluster did not come up: processes of an earlier cluster still used its addresses; stop now waits for their exit"},
	{202, "same as 201"},
	{623, "a connection that the agent had closed long before, delayed by a cut, replaced its current one at the entry"},
}

// TestSoak guards against violations of hillreel's guarantees under random faults of processes, connections, store and upstreams. It
// runs the regression seeds and then new seeds.
func TestSoak(t *testing.T) {
	binary := build(t)
	var seeds []uint64
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	slots := make(chan struct{}, *soakParallel)
	var group sync.WaitGroup
	for _, seed := range seeds {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { soak(t, binary, seed) })
		})
	}
	group.Wait()
}

const (
	// settleTimeout is how long a cluster may take to become idle after its faults. It covers the longest wait of a caller with all its
	// attempts and pauses.
	settleTimeout = 25 * time.Second
	// jobInterval is the mean pause between two jobs.
	jobInterval = 30 * time.Millisecond
	// silenceInterval is the mean pause between two calls of silenceConns.
	silenceInterval = time.Second
	// restartInterval is the mean pause between two calls of injectRestart.
	restartInterval = 700 * time.Millisecond
	// resizeInterval is the mean pause between two changes of an upstream's capacity.
	resizeInterval = 2 * time.Second
	// undisturbedOneIn: one seed in this many injects no faults into processes and connections. Only there does the soak check how often
	// agents start a task that crashes upstreams.
	undisturbedOneIn = 5
)

// soak runs one seed: it starts a cluster, sends jobs under faults, waits until the cluster is idle, and checks the guarantees.
func soak(t *testing.T, binary string, seed uint64) {
	cl := newCluster(t, binary, seed, max(*soakAgents/2, 2), *soakAgents)
	defer cl.stop()
	c := newCallers(cl)
	until := time.Now().Add(20 * time.Second)
	for probeIdle(cl, 1) != "" {
		if time.Now().After(until) {
			cl.saveDiagnostics(seed, "the cluster does not come up")
			t.Fatalf("seed %d: the cluster does not come up: %s", seed, probeIdle(cl, 1))
		}
	}
	traffic, faults, silences := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4)), rand.New(rand.NewPCG(seed, 5))
	resizes := rand.New(rand.NewPCG(seed, 8))
	restarts, operators := rand.New(rand.NewPCG(seed, 6)), rand.New(rand.NewPCG(seed, 7))
	end := time.Now().Add(*soakFor)
	nextFault, nextSilence, nextRestart, nextCordon := time.Now(), time.Now().Add(silenceInterval), time.Now(), time.Now().Add(cordonInterval)
	nextResize, disturb := time.Now(), seed%undisturbedOneIn != 0
	var log []string
	for time.Now().Before(end) {
		if disturb && time.Now().After(nextFault) {
			log = append(log, cl.injectFault(faults))
			nextFault = time.Now().Add(time.Duration(faults.Int64N(int64(800 * time.Millisecond))))
		}
		if disturb && time.Now().After(nextSilence) {
			log = append(log, cl.silenceConns(silences))
			nextSilence = time.Now().Add(time.Duration(silences.Int64N(int64(2 * silenceInterval))))
		}
		if disturb && time.Now().After(nextRestart) {
			log = append(log, cl.injectRestart(restarts))
			nextRestart = time.Now().Add(time.Duration(restarts.Int64N(int64(2 * restartInterval))))
		}
		if time.Now().After(nextCordon) {
			log = append(log, cl.changeEvacuations(operators))
			nextCordon = time.Now().Add(time.Duration(operators.Int64N(int64(2 * cordonInterval))))
		}
		if time.Now().After(nextResize) {
			log = append(log, cl.resizeUpstream(resizes))
			nextResize = time.Now().Add(time.Duration(resizes.Int64N(int64(2 * resizeInterval))))
		}
		leave := time.Duration(0)
		if traffic.IntN(20) == 0 {
			leave = time.Duration(10+traffic.IntN(300)) * time.Millisecond
		}
		c.submit(traffic, time.Duration(1500+traffic.IntN(3000))*time.Millisecond, leave)
		time.Sleep(time.Duration(traffic.Int64N(int64(2 * jobInterval))))
	}
	evacuated := cl.leaveOneZoneEvacuated(operators)
	c.wait.Wait()
	problems := append(cl.ledger.Violations(), c.checkAnswers()...)
	settleBy := time.Now().Add(settleTimeout)
	problems = append(problems, c.checkKept(settleBy)...)
	for why := "?"; why != ""; {
		if why = probeIdle(cl, 10); why != "" && time.Now().After(settleBy) {
			problems = append(problems, "the cluster does not become idle: "+why)
			break
		}
	}
	problems = append(problems, cl.checkEvacuated(evacuated)...)
	problems = append(problems, cl.ledger.Violations()...)
	if !disturb {
		problems = append(problems, cl.ledger.ExcessStarts()...)
	}
	t.Logf("seed %d: %v, faults: %s", seed, c.counts(), strings.Join(log, "; "))
	if len(problems) > 0 {
		cl.saveDiagnostics(seed, problems...)
		t.Errorf("seed %d: %s", seed, strings.Join(problems, "\n"))
	}
}

// probeIdle sends n jobs one after another. It returns an empty string if all complete and no run is left; otherwise it returns what
// failed.
func probeIdle(cl *cluster, n int) string {
	c := newCallers(cl)
	for i := range n {
		j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), tasks: 1, runMs: 20}
		status, state := c.send(j, cl.entries[i%len(cl.entries)], 2*time.Second, 2*time.Second)
		if !strings.Contains(state, "completed") {
			time.Sleep(100 * time.Millisecond)
			return fmt.Sprintf("job %s at %s: status %d %s", j.id, cl.entries[i%len(cl.entries)].name, status, state)
		}
	}
	if running := cl.ledger.Running(); running > 0 {
		time.Sleep(100 * time.Millisecond)
		return fmt.Sprintf("%d runs have not ended", running)
	}
	return ""
}

// silenceConns permanently silences open connections of one kind or all kinds, of one process or all processes. One time in eight it
// delays heartbeats instead. It returns a description for the log.
func (cl *cluster) silenceConns(rng *rand.Rand) string {
	if rng.IntN(8) == 0 {
		return cl.delayHeartbeats(cl.agents[rng.IntN(len(cl.agents))], time.Duration(100+rng.IntN(1500))*time.Millisecond)
	}
	of, whose := cl.processes(), "all"
	if rng.IntN(3) > 0 {
		p := of[rng.IntN(len(of))]
		of, whose = []*process{p}, p.name
	}
	kinds, what := connKinds, "all connections"
	if i := rng.IntN(len(connKinds) + 1); i < len(connKinds) {
		kinds, what = connKinds[i:i+1], connKinds[i].name
	}
	for _, p := range of {
		for _, kind := range kinds {
			x := kind.of(p)
			if x == nil {
				continue
			}
			if err := x.silenceAll(); err != nil {
				cl.t.Errorf("silence %s of %s: %v", kind.name, p.name, err)
			}
		}
	}
	return fmt.Sprintf("silence %s of %s", what, whose)
}

// delayHeartbeats holds back the heartbeats to an agent for a while, during which its upstream crashes. Afterwards the heartbeats of
// both lives arrive together, in any order.
func (cl *cluster) delayHeartbeats(a *process, span time.Duration) string {
	a.heartbeats.setFault(0, true, false)
	time.AfterFunc(span/2, a.upstream.Crash)
	time.AfterFunc(span, func() { a.heartbeats.setFault(0, false, false) })
	return fmt.Sprintf("delay heartbeats to %s by %v and crash its upstream meanwhile", a.name, span)
}

// injectRestart does one of the following: it restarts an upstream under its id, alone or with its agent; it makes an upstream leave and
// come back; it restarts all processes and upstreams; or it sends a heartbeat of another writer. It returns a description for the log.
func (cl *cluster) injectRestart(rng *rand.Rand) string {
	a := cl.agents[rng.IntN(len(cl.agents))]
	down := time.Duration(rng.IntN(800)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1, 2:
		a.upstream.Restart(down)
		return fmt.Sprintf("restart the upstream of %s after %v", a.name, down)
	case 3:
		a.upstream.Restart(down)
		cl.restart(a, syscall.SIGKILL, down)
		return fmt.Sprintf("restart %s and its upstream after %v", a.name, down)
	case 4, 5:
		serves, late := time.Duration(500+rng.IntN(3000))*time.Millisecond, time.Duration(rng.IntN(1500))*time.Millisecond
		a.upstream.DrainAndRestart(serves, down, late)
		return fmt.Sprintf("the upstream of %s leaves after %v and returns %v later", a.name, serves, down)
	case 6:
		for _, p := range cl.processes() {
			cl.restart(p, syscall.SIGKILL, down)
		}
		for _, p := range cl.agents {
			p.upstream.Restart(down)
		}
		return "all VMs lose power"
	}
	n := rng.IntN(16)
	go a.upstream.SendForeignHeartbeat(n)
	return fmt.Sprintf("send %s a heartbeat of another writer", a.name)
}

// resizeUpstream changes the capacity of an upstream and restores it after a while.
func (cl *cluster) resizeUpstream(rng *rand.Rand) string {
	a, cpu := cl.agents[rng.IntN(len(cl.agents))], int64(rng.IntN(4))*1000
	span := time.Duration(300+rng.IntN(2500)) * time.Millisecond
	a.upstream.Resize(cpu)
	time.AfterFunc(span, func() { a.upstream.Resize(upstreamCPU) })
	return fmt.Sprintf("the upstream of %s has capacity for %d tasks for %v", a.name, cpu/1000, span)
}

// injectFault injects one fault of a process, its connections, the store or an upstream, which ends by itself. It returns a description
// for the log.
func (cl *cluster) injectFault(rng *rand.Rand) string {
	e, a := cl.entries[rng.IntN(len(cl.entries))], cl.agents[rng.IntN(len(cl.agents))]
	target := e
	if rng.IntN(2) == 0 {
		target = a
	}
	span := time.Duration(100+rng.IntN(2000)) * time.Millisecond
	later := func(f func()) { time.AfterFunc(span, f) }
	one, other := rng.IntN(2) == 0, rng.IntN(2) == 0 // which directions to cut
	switch rng.IntN(14) {
	case 0, 1:
		cl.restart(target, syscall.SIGKILL, span)
		return "kill " + target.name
	case 2:
		cl.restart(target, syscall.SIGTERM, span)
		time.AfterFunc(span/2, func() { cl.signal(target, syscall.SIGHUP) })
		return "terminate " + target.name + ", then make it reload"
	case 3, 4:
		cl.signal(target, syscall.SIGSTOP)
		later(func() { cl.signal(target, syscall.SIGCONT) })
		return fmt.Sprintf("suspend %s for %v", target.name, span)
	case 5:
		e.link.setFault(0, one || !other, other || !one)
		later(func() { e.link.setFault(0, false, false) })
		return fmt.Sprintf("cut %s off from agents for %v (to entry %v, from entry %v)", e.name, span, one || !other, other || !one)
	case 6:
		e.link.setFault(span/4, false, false)
		later(func() { e.link.setFault(0, false, false) })
		return fmt.Sprintf("delay links of %s by %v", e.name, span/4)
	case 7:
		e.link.resetAll()
		return "reset links of " + e.name
	case 8:
		e.front.resetAll()
		return "reset callers of " + e.name
	case 9:
		target.store.setFault(0, true, one)
		later(func() { target.store.setFault(0, false, false) })
		return fmt.Sprintf("cut %s off from the store for %v", target.name, span)
	case 10:
		f := []standin.StoreFault{{Silent: true}, {Busy: true}, {LoseWriteAnswers: true}, {Delay: 300 * time.Millisecond}}[rng.IntN(4)]
		cl.store.SetFault(f)
		later(func() { cl.store.SetFault(standin.StoreFault{}); cl.store.DropHistory() })
		return fmt.Sprintf("store %+v for %v, then drop its history", f, span)
	case 11:
		a.upstream.Crash()
		return "crash the upstream of " + a.name
	case 12:
		f := []standin.UpstreamFault{{Fail: true}, {Hang: true}, {Silent: true}, {Slowdown: 5}}[rng.IntN(4)]
		a.upstream.SetFault(f)
		later(func() { a.upstream.SetFault(standin.UpstreamFault{}) })
		return fmt.Sprintf("upstream of %s %+v for %v", a.name, f, span)
	}
	for _, p := range cl.processes() {
		cl.restart(p, syscall.SIGKILL, span)
	}
	return "kill all processes"
}
