package schedule

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/load/clock"
)

// timing is that of the default settings.
var timing = fleet.Timing{
	Silence: 400 * time.Millisecond, Lease: 400 * time.Millisecond, StopBudget: 200 * time.Millisecond,
	KeepAlive: 100 * time.Millisecond,
}

const (
	tickInterval   = 20 * time.Millisecond
	redialInterval = 100 * time.Millisecond
	callTimeout    = 150 * time.Millisecond
	// resend is when a caller sends a job again after it has lost its entry.
	resendDelay = 1300 * time.Millisecond
)

// world is one schedule.
type world struct {
	*clock.Clock
	seed    uint64
	rng     *rand.Rand
	without rule.Set
	store   *simStore
	entries []*entryProc
	agents  []*agentProc
	pairs   []*pair
	jobs    map[job.ID]*submission
	order   []*submission
	// holdBeats: heartbeats that are cut off arrive later, perhaps after their sender's end; in other worlds they are lost.
	// Every third seed has it, so that the others' schedules stay what they were when they were traced.
	delayHeartbeats bool
	// odds are how callers behave and how often links are slow.
	profile profile
	// operators cordon zones in worlds that have it.
	operators *operators
	// crashes lets tasks crash upstreams in worlds that have it.
	crashes *crashes
	// hard suspends VMs and lets rooms shrink in worlds that have it.
	vmFaults *vmFaults
	// cuts cut entries off from everything in worlds that have it.
	partitions *partitions
	// calls lets upstreams read calls late in worlds that have it.
	lateCalls *lateCalls
	// sliced lets processes get little of a core in worlds that have it.
	cpuStarvation *cpuStarvation
	// fixed: nothing is drawn; times are in the middle, and what is not sure does not happen.
	fixed bool
	// broken is the first violation.
	violation string
	// log holds what happened, for a schedule that fails.
	log    []string
	faults int
}

// odds are chances that differ between worlds; each draw takes one number whatever its chance, so that schedules stay what
// they are.
type profile struct {
	// leaves is how often a caller gives its job up early, again how often one that has left sends it again at once.
	abandonRate, resubmitRate float64
	// slowLinks is how many faults more are slow links, moreJobs how many times as many jobs come.
	extraSlowLinks, jobFactor int
	// suspends: VMs are suspended for seconds. shrinks: the rooms of upstreams shrink and grow again. recalls: agents that start know what
	// their former lives have remembered of their upstreams.
	suspendVMs, shrinkRooms, recallState bool
	// moreAgents is how many more agents there are.
	extraAgents int
	// restarts: upstreams that start again have the id that they had, clocks begin at any reading, lives say when they began, and
	// upstreams leave and come back.
	restarts bool
	// cordons: operators cordon the zones of upstreams, each of which has one of its own.
	cordons bool
	// crashes: some tasks crash the upstreams that start them, and more upstreams crash for other causes.
	crashes bool
	// fewerCrashes: the other causes are fewer, and further apart.
	fewerCrashes bool
	// cutOff: entries are cut off from everything, callers break off before the time that they have told is over, and what callers send meanwhile
	// arrives late.
	partitions bool
	// calls: upstreams read calls late, and in any order.
	lateCalls bool
	// sliced: processes get little of a core.
	cpuStarvation bool
	// agentsHeard: such cuts leave out agents.
	agentsReachable bool
}

// impatientFrom is the first seed of the worlds in which many callers give up early and send again at once, over slow links.
const impatientFrom = 1_000_000_000

// restartsFrom is the first seed of the worlds in which upstreams start again under the ids that they had.
const restartsFrom = 2_000_000_000

// cordonsFrom is the first seed of the worlds in which operators cordon zones.
const cordonsFrom = 3_000_000_000

func profileOf(seed uint64) profile {
	if seed >= lateCallsFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, lateCalls: true}
	}
	if seed >= cpuStarvationFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, cpuStarvation: true}
	}
	if seed >= callerPartitionsFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 2, partitions: true, agentsReachable: true}
	}
	if seed >= partitionsFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 2, partitions: true}
	}
	if seed >= vmFaultsFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, extraAgents: 1, crashes: seed%2 == 0, fewerCrashes: hasFewerCrashes(seed), suspendVMs: true, shrinkRooms: true, recallState: true}
	}
	if seed >= crashesFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, crashes: true, fewerCrashes: hasFewerCrashes(seed), extraAgents: 1}
	}
	if seed >= cordonsFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, cordons: true}
	}
	if seed >= restartsFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, restarts: true}
	}
	if seed >= impatientFrom {
		return profile{abandonRate: 0.5, resubmitRate: 0.9, extraSlowLinks: 4, jobFactor: 3}
	}
	return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1}
}

func newWorld(seed uint64, without rule.Set) *world {
	w := &world{
		Clock: clock.New(time.Unix(1_000_000, 0)), seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), without: without,
		jobs: make(map[job.ID]*submission), delayHeartbeats: seed%3 == 0, profile: profileOf(seed),
	}
	w.store = newSimStore(w)
	w.operators = newOperators(w)
	w.crashes = newCrashes(w)
	w.vmFaults = newVMFaults(w)
	w.partitions = newPartitions(w)
	w.lateCalls = newLateCalls(w)
	w.cpuStarvation = newCPUStarvation(w)
	return w
}

// between draws a time.
func (w *world) between(least, most time.Duration) time.Duration {
	if w.fixed {
		return (least + most) / 2
	}
	return least + time.Duration(w.rng.Int64N(int64(most-least)+1))
}

func (w *world) chance(p float64) bool {
	if w.fixed {
		return p >= 1
	}
	return w.rng.Float64() < p
}

// run lets time pass until a moment after the start, or until something is broken.
func (w *world) run(until time.Duration) {
	for w.violation == "" && w.Next(until) {
	}
	if w.violation == "" {
		w.Advance(until)
	}
}

// violate notes that something does not hold.
func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
		w.logf("VIOLATED: %s", w.violation)
	}
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.4f ", w.Since().Seconds())+fmt.Sprintf(format, args...))
}
