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
	soakFor      = flag.Duration("soak-for", 5*time.Second, "how long faults go on, for each seed")
	soakAgents   = flag.Int("soak-agents", 4, "how many agents a set has; there are half as many entries")
	soakParallel = flag.Int("soak-parallel", 2, "how many seeds run side by side")
	soakKeepDir  = flag.String("soak-keep", "", "keep the logs of seeds that fail in this directory")
)

// regressions are seeds that have failed once, with the cause. Silences have a generator of their own, so that the other faults
// of a seed are those that it had before there were any.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{106, "the set did not come up; not traced, its logs were not kept; as 201 by all signs"},
	{201, "the set did not come up: processes of an earlier set still had its addresses; stop waits for them now"},
	{202, "as 201"},
	{623, "a connection that the agent had long closed, held up by a cut, took the place of its present one at the entry"},
}

// TestSoak runs the regressions and then fresh seeds.
func TestSoak(t *testing.T) {
	binary := build(t)
	var seeds []uint64
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	room := make(chan struct{}, *soakParallel)
	var group sync.WaitGroup
	for _, seed := range seeds {
		room <- struct{}{}
		group.Go(func() {
			defer func() { <-room }()
			t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { soak(t, binary, seed) })
		})
	}
	group.Wait()
}

const (
	// settle is how long a set has to come to rest after its faults: the longest patience, attempts and pauses.
	settleTimeout = 25 * time.Second
	// jobEvery is the mean pause between two jobs.
	jobInterval = 30 * time.Millisecond
	// silenceEvery is the mean pause between two silences.
	silenceInterval = time.Second
	// lifeEvery is the mean pause between two upstreams that start again under their ids.
	restartInterval = 700 * time.Millisecond
	// roomEvery is the mean pause between two changes of an upstream's room.
	resizeInterval = 2 * time.Second
	// undisturbed: in one seed of so many no process and no connection is disturbed, so that agents are held to how often they start a task
	// that crashes upstreams.
	undisturbedOneIn = 5
)

// soak runs one seed.
func soak(t *testing.T, binary string, seed uint64) {
	s := newSet(t, binary, seed, max(*soakAgents/2, 2), *soakAgents)
	defer s.stop()
	c := newCallers(s)
	until := time.Now().Add(20 * time.Second)
	for probeIdle(s, 1) != "" {
		if time.Now().After(until) {
			s.saveDiagnostics(seed, "the set does not come up")
			t.Fatalf("seed %d: the set does not come up: %s", seed, probeIdle(s, 1))
		}
	}
	traffic, faults, silences := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4)), rand.New(rand.NewPCG(seed, 5))
	rooms := rand.New(rand.NewPCG(seed, 8))
	lives, operators := rand.New(rand.NewPCG(seed, 6)), rand.New(rand.NewPCG(seed, 7))
	end := time.Now().Add(*soakFor)
	nextFault, nextSilence, nextLife, nextCordon := time.Now(), time.Now().Add(silenceInterval), time.Now(), time.Now().Add(cordonInterval)
	nextRoom, disturbs := time.Now(), seed%undisturbedOneIn != 0
	var log []string
	for time.Now().Before(end) {
		if disturbs && time.Now().After(nextFault) {
			log = append(log, s.injectFault(faults))
			nextFault = time.Now().Add(time.Duration(faults.Int64N(int64(800 * time.Millisecond))))
		}
		if disturbs && time.Now().After(nextSilence) {
			log = append(log, s.silenceConns(silences))
			nextSilence = time.Now().Add(time.Duration(silences.Int64N(int64(2 * silenceInterval))))
		}
		if disturbs && time.Now().After(nextLife) {
			log = append(log, s.injectRestart(lives))
			nextLife = time.Now().Add(time.Duration(lives.Int64N(int64(2 * restartInterval))))
		}
		if time.Now().After(nextCordon) {
			log = append(log, s.changeEvacuations(operators))
			nextCordon = time.Now().Add(time.Duration(operators.Int64N(int64(2 * cordonInterval))))
		}
		if time.Now().After(nextRoom) {
			log = append(log, s.resizeUpstream(rooms))
			nextRoom = time.Now().Add(time.Duration(rooms.Int64N(int64(2 * resizeInterval))))
		}
		leave := time.Duration(0)
		if traffic.IntN(20) == 0 {
			leave = time.Duration(10+traffic.IntN(300)) * time.Millisecond
		}
		c.submit(traffic, time.Duration(1500+traffic.IntN(3000))*time.Millisecond, leave)
		time.Sleep(time.Duration(traffic.Int64N(int64(2 * jobInterval))))
	}
	left := s.leaveOneZoneEvacuated(operators)
	c.wait.Wait()
	problems := append(s.ledger.Broken(), c.checkAnswers()...)
	rest := time.Now().Add(settleTimeout)
	problems = append(problems, c.checkKept(rest)...)
	for why := "?"; why != ""; {
		if why = probeIdle(s, 10); why != "" && time.Now().After(rest) {
			problems = append(problems, "does not come to rest: "+why)
			break
		}
	}
	problems = append(problems, s.checkEvacuated(left)...)
	problems = append(problems, s.ledger.Broken()...)
	if !disturbs {
		problems = append(problems, s.ledger.Overdone()...)
	}
	t.Logf("seed %d: %v, faults: %s", seed, c.counts(), strings.Join(log, "; "))
	if len(problems) > 0 {
		s.saveDiagnostics(seed, problems...)
		t.Errorf("seed %d: %s", seed, strings.Join(problems, "\n"))
	}
}

// calm sends jobs one after the other and says what keeps one from completing, or what still runs afterwards.
func probeIdle(s *cluster, n int) string {
	c := newCallers(s)
	for i := range n {
		j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), tasks: 1, runMs: 20}
		status, state := c.send(j, s.entries[i%len(s.entries)], 2*time.Second, 2*time.Second)
		if !strings.Contains(state, "completed") {
			time.Sleep(100 * time.Millisecond)
			return fmt.Sprintf("job %s at %s: status %d %s", j.id, s.entries[i%len(s.entries)].name, status, state)
		}
	}
	if running := s.ledger.Running(); running > 0 {
		time.Sleep(100 * time.Millisecond)
		return fmt.Sprintf("%d runs are left", running)
	}
	return ""
}

// silence makes open connections silent for good: those of one kind or of all, of one process or of all. Or it lets heartbeats
// arrive late.
func (s *cluster) silenceConns(rng *rand.Rand) string {
	if rng.IntN(8) == 0 {
		return s.delayHeartbeats(s.agents[rng.IntN(len(s.agents))], time.Duration(100+rng.IntN(1500))*time.Millisecond)
	}
	of, whose := s.processes(), "all"
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
				s.t.Errorf("silence %s of %s: %v", kind.name, p.name, err)
			}
		}
	}
	return fmt.Sprintf("silence %s of %s", what, whose)
}

// lateBeats holds heartbeats up for a while, during which the upstream crashes: those of both lives arrive together afterwards, in
// any order.
func (s *cluster) delayHeartbeats(a *process, span time.Duration) string {
	a.heartbeats.setFault(0, true, false)
	time.AfterFunc(span/2, a.upstream.Crash)
	time.AfterFunc(span, func() { a.heartbeats.setFault(0, false, false) })
	return fmt.Sprintf("heartbeats of %s are %v late, and its upstream crashes meanwhile", a.name, span)
}

// life lets an upstream start again under its id, at once or later, or leave and come back, or lets another writer send heartbeats.
func (s *cluster) injectRestart(rng *rand.Rand) string {
	a := s.agents[rng.IntN(len(s.agents))]
	down := time.Duration(rng.IntN(800)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1, 2:
		a.upstream.Restart(down)
		return fmt.Sprintf("the upstream of %s starts again after %v", a.name, down)
	case 3:
		a.upstream.Restart(down)
		s.restart(a, syscall.SIGKILL, down)
		return fmt.Sprintf("%s and its upstream start again after %v", a.name, down)
	case 4, 5:
		serves, late := time.Duration(500+rng.IntN(3000))*time.Millisecond, time.Duration(rng.IntN(1500))*time.Millisecond
		a.upstream.Leave(serves, down, late)
		return fmt.Sprintf("the upstream of %s leaves after %v and is back %v later", a.name, serves, down)
	case 6:
		for _, p := range s.processes() {
			s.restart(p, syscall.SIGKILL, down)
		}
		for _, p := range s.agents {
			p.upstream.Restart(down)
		}
		return "all VMs lose power"
	}
	n := rng.IntN(16)
	go a.upstream.BeatForeign(n)
	return fmt.Sprintf("a foreign heartbeat at %s", a.name)
}

// resize gives an upstream another room, and after a while its own again.
func (s *cluster) resizeUpstream(rng *rand.Rand) string {
	a, cpu := s.agents[rng.IntN(len(s.agents))], int64(rng.IntN(4))*1000
	span := time.Duration(300+rng.IntN(2500)) * time.Millisecond
	a.upstream.Resize(cpu)
	time.AfterFunc(span, func() { a.upstream.Resize(upstreamCPU) })
	return fmt.Sprintf("the upstream of %s has room for %d tasks for %v", a.name, cpu/1000, span)
}

// fault lets one thing go wrong, and lets it end by itself.
func (s *cluster) injectFault(rng *rand.Rand) string {
	e, a := s.entries[rng.IntN(len(s.entries))], s.agents[rng.IntN(len(s.agents))]
	any := e
	if rng.IntN(2) == 0 {
		any = a
	}
	span := time.Duration(100+rng.IntN(2000)) * time.Millisecond
	later := func(f func()) { time.AfterFunc(span, f) }
	one, other := rng.IntN(2) == 0, rng.IntN(2) == 0
	switch rng.IntN(14) {
	case 0, 1:
		s.restart(any, syscall.SIGKILL, span)
		return "kill " + any.name
	case 2:
		s.restart(any, syscall.SIGTERM, span)
		time.AfterFunc(span/2, func() { s.signal(any, syscall.SIGHUP) })
		return "term " + any.name + ", then tell it to reload"
	case 3, 4:
		s.signal(any, syscall.SIGSTOP)
		later(func() { s.signal(any, syscall.SIGCONT) })
		return fmt.Sprintf("freeze %s %v", any.name, span)
	case 5:
		e.link.setFault(0, one || !other, other || !one)
		later(func() { e.link.setFault(0, false, false) })
		return fmt.Sprintf("cut %s from agents %v (%v %v)", e.name, span, one || !other, other || !one)
	case 6:
		e.link.setFault(span/4, false, false)
		later(func() { e.link.setFault(0, false, false) })
		return fmt.Sprintf("slow links of %s by %v", e.name, span/4)
	case 7:
		e.link.resetAll()
		return "reset links of " + e.name
	case 8:
		e.front.resetAll()
		return "reset callers of " + e.name
	case 9:
		any.store.setFault(0, true, one)
		later(func() { any.store.setFault(0, false, false) })
		return fmt.Sprintf("cut %s from the store %v", any.name, span)
	case 10:
		f := []standin.Fault{{Silent: true}, {Busy: true}, {Lost: true}, {Slow: 300 * time.Millisecond}}[rng.IntN(4)]
		s.store.Break(f)
		later(func() { s.store.Break(standin.Fault{}); s.store.Forget() })
		return fmt.Sprintf("store %+v %v, then its history is gone", f, span)
	case 11:
		a.upstream.Crash()
		return "crash the upstream of " + a.name
	case 12:
		f := []standin.UpstreamFault{{Fail: true}, {Hang: true}, {Mute: true}, {Slow: 5}}[rng.IntN(4)]
		a.upstream.Break(f)
		later(func() { a.upstream.Break(standin.UpstreamFault{}) })
		return fmt.Sprintf("upstream of %s %+v %v", a.name, f, span)
	}
	for _, p := range s.processes() {
		s.restart(p, syscall.SIGKILL, span)
	}
	return "kill all"
}
