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

// timing has the values of the default settings.
var timing = fleet.Timing{
	Silence: 400 * time.Millisecond, Lease: 400 * time.Millisecond, StopBudget: 200 * time.Millisecond,
	KeepAlive: 100 * time.Millisecond,
}

const (
	tickInterval   = 20 * time.Millisecond
	redialInterval = 100 * time.Millisecond
	callTimeout    = 150 * time.Millisecond
	// resendDelay is the pause before a caller that has lost its entry sends its job again.
	resendDelay = 1300 * time.Millisecond
)

// world is the simulation of one schedule.
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
	// delayHeartbeats indicates whether heartbeats that are cut off arrive later, perhaps after their sender's end. In
	// other worlds they are lost. Every third seed has it, so that the schedules of the other seeds stay as they were when
	// they were traced.
	delayHeartbeats bool
	// profile holds the probabilities and kinds of faults of this world.
	profile profile
	// operators cordons zones if profile.cordons is set.
	operators *operators
	// crashes lets tasks crash upstreams if profile.crashes is set.
	crashes *crashes
	// vmFaults suspends VMs and shrinks rooms if profile.suspendVMs and profile.shrinkRooms are set.
	vmFaults *vmFaults
	// partitions cuts entries off if profile.partitions is set.
	partitions *partitions
	// lateCalls lets upstreams read calls late if profile.lateCalls is set.
	lateCalls *lateCalls
	// cpuStarvation gives processes little CPU time if profile.cpuStarvation is set.
	cpuStarvation *cpuStarvation
	// vmCrashes ends processes together with the upstreams that tasks crash, in the worlds from vmCrashesFrom on.
	vmCrashes *vmCrashes
	// silences cuts agents off around crashes, in the worlds from silencesFrom on.
	silences *silences
	// fixed indicates whether the main random source is replaced: durations are the middle of their range, and only events
	// with probability 1 happen.
	fixed bool
	// downtime is how long whatever ends is down, in scripts; zero in other worlds.
	downtime time.Duration
	// onStart and onCrash are called when a run starts, and when a task has crashed its upstream; nil except in scripts.
	onStart, onCrash func(*simUpstream, *simRun)
	// violation describes the first violation; it is empty if there is none.
	violation string
	// log lists what happened, to be printed when the schedule fails.
	log    []string
	faults int
}

// profile holds the probabilities and kinds of faults in which worlds differ. Each draw takes one number whatever its
// probability, so that schedules stay the same.
type profile struct {
	// abandonRate is the probability that a caller abandons its job early; resubmitRate is the probability that such a
	// caller sends it again at once.
	abandonRate, resubmitRate float64
	// extraSlowLinks is the number of additional faults that slow links down; jobFactor multiplies the number of jobs.
	extraSlowLinks, jobFactor int
	// suspendVMs: VMs are suspended for seconds. shrinkRooms: the rooms of upstreams shrink and grow again. recallState:
	// agents that start load the state that their former incarnations stored.
	suspendVMs, shrinkRooms, recallState bool
	// extraAgents is the number of additional agents.
	extraAgents int
	// restarts: upstreams restart under the same ID, their clocks begin at any reading, their lives report when they
	// began, and upstreams leave and come back.
	restarts bool
	// cordons: operators cordon the zones of upstreams. Each upstream has a zone of its own.
	cordons bool
	// crashes: some tasks crash the upstreams that start them, and more upstreams crash for other causes.
	crashes bool
	// fewerCrashes: crashes of other causes are fewer and further apart.
	fewerCrashes bool
	// lateCrashes: tasks crash upstreams at any point of their work.
	lateCrashes bool
	// partitions: entries are cut off from agents, callers and the store. Callers may disconnect before the deadline that
	// they announced, and what they send meanwhile arrives late.
	partitions bool
	// lateCalls: upstreams read calls late and in any order.
	lateCalls bool
	// cpuStarvation: processes get little CPU time.
	cpuStarvation bool
	// claims: entries claim room for jobs that wait.
	claims bool
	// agentsReachable: partitions do not cut entries off from agents.
	agentsReachable bool
	// shares: the team that all jobs belong to may use only a part of the capacity.
	shares bool
	// unsureCancels: callers cancel kept jobs whose requests got no answer.
	unsureCancels bool
}

// impatientFrom is the first seed of the worlds in which many callers give up early and send again at once, over slow
// links.
const impatientFrom = 1_000_000_000

// restartsFrom is the first seed of the worlds in which upstreams restart under the IDs that they had.
const restartsFrom = 2_000_000_000

// cordonsFrom is the first seed of the worlds in which operators cordon zones.
const cordonsFrom = 3_000_000_000

func profileOf(seed uint64) profile {
	if seed >= unsureCancelsFrom {
		return profile{abandonRate: 0.2, resubmitRate: 0.2, jobFactor: 2, unsureCancels: true}
	}
	if isSilence(seed) {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, crashes: true, lateCrashes: true, extraAgents: 1}
	}
	if seed >= claimsFrom {
		return claimsProfile(seed - claimsFrom)
	}
	if seed >= sharesFrom {
		return profile{abandonRate: 0.2, resubmitRate: 0.5, jobFactor: 2, partitions: seed%2 == 0, shares: true}
	}
	if seed >= vmCrashesFrom {
		return profile{abandonRate: 0.05, resubmitRate: 0.2, jobFactor: 1, crashes: true, extraAgents: 1}
	}
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
	w.vmCrashes = newVMCrashes(w)
	w.silences = newSilences(w)
	return w
}

// between draws a duration.
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

// run advances the clock to a time after the start, or until an invariant is violated.
func (w *world) run(until time.Duration) {
	for w.violation == "" && w.RunNext(until) {
	}
	if w.violation == "" {
		w.Advance(until)
	}
}

// violate records the first violation of an invariant.
func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
		w.logf("VIOLATED: %s", w.violation)
	}
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.4f ", w.Elapsed().Seconds())+fmt.Sprintf(format, args...))
}
