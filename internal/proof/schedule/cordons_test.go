package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hillreel/internal/agent/upstream"
	"hillreel/internal/config/cordon"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rows"
)

// operators cordons zones at random. It has a random source of its own, so that all other draws of a seed stay as they
// were when its schedule was traced.
type operators struct {
	w   *world
	rng *rand.Rand
	// cordoned holds the zones that are cordoned now; version is the store's version when it last changed.
	cordoned map[ident.Zone]bool
	version  rows.Version
	// refused holds the processes whose reads the store refuses.
	refused map[*proc]bool
}

func newOperators(w *world) *operators {
	return &operators{
		w: w, rng: rand.New(rand.NewPCG(w.seed, 4)), cordoned: make(map[ident.Zone]bool), refused: make(map[*proc]bool),
	}
}

const (
	// cordonPollInterval is the pause between two reads of the cordons.
	cordonPollInterval = 150 * time.Millisecond
	// cordonsLiftedAt is when all cordons are lifted, so that kept jobs can end.
	cordonsLiftedAt = activePeriod + time.Second
	// cordonStartBound is how long a start may still arrive at an upstream after its agent has learned of a cordon or has
	// begun. Such starts were in transit, which takes 2 ms at most.
	cordonStartBound = 10 * time.Millisecond
)

// zoneOf returns the zone of an agent's VM.
func (w *world) zoneOf(a *agentProc) ident.Zone {
	if !w.profile.cordons {
		return "z"
	}
	return ident.Zone("zone of " + a.name)
}

// between draws a duration.
func (o *operators) between(least, most time.Duration) time.Duration {
	return least + time.Duration(o.rng.Int64N(int64(most-least)+1))
}

// act plans when zones are cordoned, and which processes the store refuses.
func (o *operators) act() {
	if !o.w.profile.cordons {
		return
	}
	for _, a := range o.w.agents {
		for range o.rng.IntN(3) {
			from := o.between(0, activePeriod)
			o.w.After(from, func() { o.setCordon(o.w.zoneOf(a), true) })
			o.w.After(from+o.between(10*time.Millisecond, 2*time.Second), func() { o.setCordon(o.w.zoneOf(a), false) })
		}
	}
	for _, p := range o.procs() {
		if o.rng.IntN(2) == 0 {
			from := o.between(0, activePeriod)
			o.w.After(from, func() { o.refused[p] = true })
			o.w.After(from+o.between(500*time.Millisecond, 4*time.Second), func() { delete(o.refused, p) })
		}
	}
	o.w.After(cordonsLiftedAt, func() {
		for _, a := range o.w.agents {
			o.setCordon(o.w.zoneOf(a), false)
		}
	})
}

// procs lists all processes.
func (o *operators) procs() []*proc {
	var out []*proc
	for _, e := range o.w.entries {
		out = append(out, &e.proc)
	}
	for _, a := range o.w.agents {
		out = append(out, &a.proc)
	}
	return out
}

// setCordon cordons a zone or lifts its cordon.
func (o *operators) setCordon(z ident.Zone, cordoned bool) {
	if o.cordoned[z] == cordoned {
		return
	}
	o.w.logf("operators: %s cordoned %v", z, cordoned)
	o.cordoned[z] = cordoned
	o.w.store.Version++
	o.version = o.w.store.Version
}

// snapshot returns what a read of the store returns now.
func (o *operators) snapshot() cordon.Snapshot {
	s := cordon.Snapshot{Source: cordon.Platform, Version: o.version}
	for z, cordoned := range o.cordoned {
		if cordoned {
			s.Zones = append(s.Zones, z)
		}
	}
	slices.Sort(s.Zones)
	return s
}

// pollCordons lets a process read the cordons regularly while it lives. The answer arrives after a moment or, when the
// store is slow, so late that the cordons have changed meanwhile.
func (o *operators) pollCordons(p *proc, cut func() bool, adopt func(cordon.Snapshot)) {
	if !o.w.profile.cordons {
		return
	}
	inc := p.inc
	var poll func()
	poll = func() {
		if p.inc != inc || !p.alive {
			return
		}
		if s := o.w.store; !s.silent && !s.busy && !o.refused[p] && !cut() {
			snapshot, delay := o.snapshot(), o.between(time.Millisecond, 10*time.Millisecond)
			if o.rng.IntN(10) == 0 {
				delay += o.between(0, time.Second)
			}
			o.w.After(delay, func() {
				p.doIn(inc, func() {
					adopt(snapshot)
					adopt(cordon.Snapshot{Source: cordon.Objects})
				})
			})
		}
		o.w.After(cordonPollInterval, poll)
	}
	o.w.After(o.between(0, 300*time.Millisecond), poll)
}

// adoptSnapshot adopts a snapshot, reports whether that changed the set, and checks that the set never returns to an older
// version.
func (w *world) adoptSnapshot(name string, set *cordon.Set, s cordon.Snapshot) bool {
	var before rows.Version
	for _, have := range set.Snapshots() {
		if have.Source == s.Source {
			before = have.Version
		}
	}
	if !set.Adopt(s) {
		return false
	}
	if s.Version < before {
		w.violate("%s believes the cordons of version %d after those of version %d", name, s.Version, before)
	}
	return true
}

// adoptCordons does what the entry's node does with a snapshot of the cordons.
func (e *entryProc) adoptCordons(s cordon.Snapshot) {
	if !e.w.adoptSnapshot(e.name, e.cordons, s) {
		return
	}
	for _, a := range e.w.agents {
		if side := e.links[&a.proc]; side != nil {
			e.sendCordons(side)
		}
	}
	e.table.SetCordoned(e.now(), e.cordons.Zones())
}

// sendCordons sends an agent the snapshots that it lacks.
func (e *entryProc) sendCordons(side *linkSide) {
	for _, a := range e.w.agents {
		if &a.proc != side.other.owner {
			continue
		}
		for _, s := range side.cordons.TakeDue(e.cordons.Snapshots()) {
			side.send(func() {
				replySide := side.other
				replySide.cordons.RecordReceived(s)
				a.adoptCordons(s)
				a.sendCordons(replySide)
			})
		}
	}
}

// adoptCordons does what the agent's node does with a snapshot of the cordons.
func (a *agentProc) adoptCordons(s cordon.Snapshot) {
	if !a.w.adoptSnapshot(a.name, a.cordons, s) {
		return
	}
	for _, e := range a.w.entries {
		if side := a.links[&e.proc]; side != nil {
			a.sendCordons(side)
		}
	}
	switch {
	case a.cordons.Cordoned(a.w.zoneOf(a)):
		if a.cordonedAt.IsZero() {
			a.cordonedAt = a.w.Now()
		}
		a.controller.SetZone(upstream.ZoneCordoned)
	case a.cordons.Complete():
		a.cordonedAt = time.Time{}
		a.controller.SetZone(upstream.ZoneOpen)
	}
	a.flush()
}

// sendCordons sends an entry the snapshots that it lacks.
func (a *agentProc) sendCordons(side *linkSide) {
	for _, e := range a.w.entries {
		if &e.proc != side.other.owner {
			continue
		}
		for _, s := range side.cordons.TakeDue(a.cordons.Snapshots()) {
			side.send(func() {
				replySide := side.other
				replySide.cordons.RecordReceived(s)
				e.adoptCordons(s)
				e.sendCordons(replySide)
			})
		}
	}
}

// checkCordon checks that no start arrives at an upstream whose agent knows that its zone is cordoned, or doesn't know
// which zones are.
func (u *simUpstream) checkCordon(task job.TaskID, run job.Run) {
	a, now := u.agent, u.w.Now()
	if !u.w.profile.cordons || u.executesLate || !a.alive {
		return
	}
	what := fmt.Sprintf("%s starts run %d of %v", u.id, run, task)
	if heard := a.cordonedAt; !heard.IsZero() && now.Sub(heard) > cordonStartBound {
		u.w.violate("%s %v after its agent has heard that its zone is cordoned", what, now.Sub(heard))
	}
	if !a.cordons.Complete() && now.Sub(a.begunAt) > cordonStartBound {
		u.w.violate("%s while its agent has not heard which zones are cordoned", what)
	}
}

// checkCordons checks that after the schedule has settled all processes know that no zone is cordoned.
func (w *world) checkCordons() {
	if !w.profile.cordons {
		return
	}
	for _, e := range w.entries {
		if z := e.cordons.Zones(); e.alive && len(z) > 0 {
			w.violate("%s still takes %v for cordoned", e.name, z)
		}
	}
	for _, a := range w.agents {
		if z := a.cordons.Zones(); a.alive && len(z) > 0 {
			w.violate("%s still takes %v for cordoned", a.name, z)
		}
	}
}
