package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/unconfirmed"
)

// addUnconfirmed records that a run was lost together with its agent. Whether its upstream has crashed is not known yet. An
// upstream that leaves has not crashed.
func (t *Table) addUnconfirmed(now time.Time, a *agentState, k *task) {
	if !a.mayCrash() {
		return
	}
	t.unconfirmed.Add(now, t.lostCrash(now, a, k), unconfirmed.Own)
	t.resolveOn(now, a.Name)
}

// mayCrash reports whether the loss of the agent's upstream would be a crash: the upstream is known, and has not said that it
// leaves.
func (a *agentState) mayCrash() bool {
	return a.Upstream.ID != "" && a.Room().State != fleet.Leaving
}

// lostCrash returns the crash of the upstream at which a run was lost with its agent. The age of the run is known if it was
// started alone; the agent has then reported how far it came, and the run may have gone on for as long as runs of a silent
// agent do. Otherwise it may have just started, or be as old as it was when the agent was last heard.
func (t *Table) lostCrash(now time.Time, a *agentState, k *task) fleet.Crash {
	c := fleet.Crash{Task: k.id, VM: a.Name, Life: a.Upstream.Life(), Agent: a.ID, WithAgent: true}
	c.MaxAge = max(a.ClockReadAt.Sub(k.placedAt), 0) + t.opts.Timing.KeepAlive
	for _, s := range a.Room().Suspects {
		if s.RunRef == k.runRef() && !t.opts.Without.Has(rule.SuspectsTold) {
			c.Loss, c.Age, c.MaxAge = fleet.LossNumber(now.UnixMilli()), s.Age, s.Age+t.opts.Timing.SettleAfter()
			c.Alone, c.OnlyTask = s.Alone, s.OnlyRun
		}
	}
	return c
}

// resolveOn resolves the unconfirmed crashes on a VM if it is known which upstream runs there.
func (t *Table) resolveOn(now time.Time, vm ident.UpstreamName) {
	for _, a := range t.agentList {
		if a.Known() && a.Name == vm {
			t.resolveUnconfirmed(now, a)
		}
	}
}

// resolveUnconfirmed records the losses that an agent's report confirms: upstreams that ran on the agent's VM count as lost
// if a different upstream runs there now. Other entries confirm by themselves the crashes that they were told of.
func (t *Table) resolveUnconfirmed(now time.Time, a *agentState) {
	if a.Upstream.ID == "" {
		return
	}
	lost := t.unconfirmed.Resolve(now, a.ID, a.Name, a.Upstream.Life(), a.Known() && a.Room().State.RunsKnown())
	own := t.HandleCrashes(now, lost.Own)
	relayed := t.crashes.SelectRepeated(t.HandleCrashes(now, lost.Relayed))
	if newCrashes := slices.Concat(own, relayed); len(newCrashes) > 0 {
		t.agentsIO.SendCrashes(newCrashes)
	}
}

// HandleUnconfirmed records unconfirmed crashes that another entry has told of. Each may have come through several agents.
func (t *Table) HandleUnconfirmed(now time.Time, all []fleet.Crash) {
	for _, c := range all {
		if t.crashes.Has(c.Task, c.Life) {
			t.HandleCrashes(now, []fleet.Crash{c}) // it may tell the age
			continue
		}
		t.unconfirmed.Add(now, c, unconfirmed.Relayed)
		t.resolveOn(now, c.VM)
	}
}

// tellUnconfirmed tells other entries of the crashes that are not confirmed yet, so that they know of them if this entry
// ends or if their callers send the jobs there.
func (t *Table) tellUnconfirmed() {
	if !t.unconfirmed.HasUntold() || t.opts.Without.Has(rule.UnconfirmedTold) {
		return
	}
	relays := t.relayAgents()
	if len(relays) == 0 {
		return
	}
	untold := t.unconfirmed.TakeUntold()
	for _, a := range relays {
		t.agentsIO.SendUnconfirmed(a, untold)
	}
}
