// Package world simulates a plan in virtual time, without a network. It uses the dispatch tables of entries and the upstream
// controllers of agents from the running processes, drives them by one virtual clock, and delays the messages between them.
//
// It does not model processor time (a process handles any number of messages, except for the kinds of entries that have a Handling),
// the store, kept jobs, and leases that lapse
// while the upstream stays up.
package world

import (
	"math/rand/v2"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/core/settings"
	"hillreel/internal/load/clock"
	"hillreel/internal/load/plan"
)

const (
	// service is the service that all upstreams provide.
	service = ident.Service("load")
	// drainTime is how long the simulation continues after the load ends, so that unfinished jobs can end: the longest deadline
	// of the users plus the time that the loss of an upstream costs.
	drainTime = 10 * time.Second
	// resendPause is how long a caller waits before it resends a job after its entry was lost, as the platform's callers do.
	resendPause = 1300 * time.Millisecond
	// loadStart is when callers start to send: by then all links are up and all startup pauses are over.
	loadStart = time.Second
)

// World is the state of one simulation.
type World struct {
	*clock.Clock
	plan   *plan.Plan
	links  settings.Links
	timing fleet.Timing
	// rng draws delays and everything that processes draw, loadRNG the jobs of callers, and faultRNG the VMs that faults affect.
	// They are separate so that two policies are compared under the same load and the same faults.
	rng, loadRNG, faultRNG *rand.Rand
	// cordoned lists the cordoned availability zones.
	cordoned []ident.Zone
	// racks lists the racks of all zones, hotRacks those that many jobs want now.
	racks    []rack
	hotRacks []hotRack
	entries  []*entry
	agents   []*agent
	routes   map[string]route.Route
	result   Result
	nextJob  uint64
}

// Run simulates a plan and returns its result.
func Run(p *plan.Plan) (*Result, error) {
	w, err := newWorld(p)
	if err != nil {
		return nil, err
	}
	w.runUntil(loadStart + p.Length + drainTime)
	w.result.Cores = p.Cores()
	w.result.tallyLargest()
	return &w.result, nil
}

// runUntil runs all events until a time since the start of the simulation.
func (w *World) runUntil(end time.Duration) {
	for w.RunNext(end) {
	}
}

// newWorld creates the VMs of a plan and schedules its load.
func newWorld(p *plan.Plan) (*World, error) {
	set, err := settings.Load("")
	if err != nil {
		return nil, err
	}
	w := &World{
		Clock: clock.New(time.Unix(1_000_000, 0)), plan: p, links: set.Links, timing: set.Links.Timing(),
		rng: rand.New(rand.NewPCG(p.Seed, 1)), loadRNG: rand.New(rand.NewPCG(p.Seed, 2)), faultRNG: rand.New(rand.NewPCG(p.Seed, 3)), routes: make(map[string]route.Route),
	}
	w.result = newResult(p)
	w.build()
	w.After(loadStart, w.startLoad)
	return w, nil
}

// build creates the VMs and links every entry with every agent.
func (w *World) build() {
	for i := range w.plan.Jobs {
		j := &w.plan.Jobs[i]
		w.routes[j.Name] = route.Route{
			Name: route.Name(j.Name), Service: service, Target: j.Target, Stretch: j.Stretch, Priority: j.Priority, Attempts: j.Attempts,
		}
	}
	for i := range w.plan.Zones {
		z := &w.plan.Zones[i]
		for n := range z.Upstreams {
			w.addAgent(z, w.rackLabel(z, n))
		}
		for range z.Entries {
			if !w.plan.Central || len(w.entries) == 0 {
				w.addEntry(z)
			}
		}
	}
	for _, e := range w.entries {
		for _, a := range w.agents {
			w.link(e, a)
		}
	}
}

// startLoad starts the callers and schedules the faults.
func (w *World) startLoad() {
	w.sampleIdle()
	for i := range w.plan.Zones {
		for k := range w.plan.Jobs {
			w.scheduleArrivals(&w.plan.Zones[i], &w.plan.Jobs[k])
		}
	}
	for i := range w.plan.Faults {
		f := &w.plan.Faults[i]
		w.After(f.At, func() { w.applyFault(f) })
	}
}

// elapsed returns the time since the start of the load.
func (w *World) elapsed() time.Duration { return w.Elapsed() - loadStart }

// delay draws the time that a message takes between two availability zones, including its handling.
func (w *World) delay(from, to string) time.Duration {
	if w.plan.Central {
		return 0
	}
	d := w.plan.Delays.Far
	if from == to {
		d = w.plan.Delays.Near
	}
	return d + w.handlingDelay()
}

// handlingDelay draws the time that a process takes to handle a message.
func (w *World) handlingDelay() time.Duration {
	if w.plan.Central || w.plan.Delays.Handling == 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(w.plan.Delays.Handling)))
}

// applyFault starts a fault. Burst and CallersLeave need nothing here: scheduleArrivals and submit read them from the plan.
func (w *World) applyFault(f *plan.Fault) {
	switch f.Kind {
	case plan.UpstreamsLost:
		for _, a := range w.chooseAgents(f) {
			a.losePower(f.For)
		}
	case plan.UpstreamsRestart:
		for _, a := range w.chooseAgents(f) {
			a.up.restart(f.For)
		}
	case plan.UpstreamsSlow:
		for _, a := range w.chooseAgents(f) {
			a.up.slowFactor = f.Factor
			w.After(f.For, func() { a.up.slowFactor = 1 })
		}
	case plan.UpstreamsHang:
		for _, a := range w.chooseAgents(f) {
			a.up.hang = true
			w.After(f.For, func() { a.up.hang = false })
		}
	case plan.UpstreamsFail:
		for _, a := range w.chooseAgents(f) {
			a.up.fail = true
			w.After(f.For, func() { a.up.fail = false })
		}
	case plan.EntriesLost:
		w.loseEntries(f)
	case plan.AllLost:
		w.loseAll(f)
	case plan.ZoneCordoned:
		w.cordon(f)
	case plan.HotRack:
		w.heatRack(f)
	case plan.Burst, plan.CallersLeave:
	}
}

// chooseAgents draws the agents whose upstreams a fault affects.
func (w *World) chooseAgents(f *plan.Fault) []*agent {
	var out []*agent
	for _, i := range w.faultRNG.Perm(len(w.agents)) {
		a := w.agents[i]
		if len(out) < f.Count && a.alive && (f.Zone == "" || f.Zone == a.zone) {
			out = append(out, a)
		}
	}
	return out
}

// loseEntries lets entries lose power, except for the last one that is alive.
func (w *World) loseEntries(f *plan.Fault) {
	n := 0
	for _, i := range w.faultRNG.Perm(len(w.entries)) {
		e := w.entries[i]
		if n < f.Count && e.alive && w.countLiving() > 1 && (f.Zone == "" || f.Zone == e.zone) {
			e.losePower(f.For)
			n++
		}
	}
}

// maxStartSpread is the longest time by which VMs that lost power together start later than the first of them.
const maxStartSpread = 400 * time.Millisecond

// loseAll lets all VMs lose power.
func (w *World) loseAll(f *plan.Fault) {
	down := func() time.Duration { return f.For + time.Duration(w.faultRNG.Int64N(int64(maxStartSpread))) }
	for _, e := range w.entries {
		if e.alive {
			e.losePower(down())
		}
	}
	for _, a := range w.agents {
		if a.alive {
			a.losePower(down())
		}
	}
}

func (w *World) countLiving() int {
	n := 0
	for _, e := range w.entries {
		if e.alive {
			n++
		}
	}
	return n
}
