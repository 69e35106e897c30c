package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
)

// A suspected task that crashes its upstream may take its agent and this entry with it. How far its run had come, and that
// it was alone, is then known to nobody. While such runs are alone, agents on other VMs are therefore told of them at each
// tick; they tell the other entries if the link with this entry ends.

// witnessCount is the number of agents that are told: one may be lost too, or may not be linked to the entry that gets the
// job next.
const witnessCount = 2

// reportSuspects reports the suspects that run alone to the witnesses. An empty report withdraws the former one.
func (t *Table) reportSuspects(now time.Time) {
	if len(t.exclusive)+len(t.witnesses)+t.lostAgents == 0 || t.opts.Without.Has(rule.SuspectsWitnessed) {
		return
	}
	running := t.runningSuspects(now)
	var chosen []ident.Incarnation
	if len(running) > 0 {
		chosen = t.chooseWitnesses(running)
	}
	for _, a := range t.witnesses {
		if !slices.Contains(chosen, a) {
			t.agentsIO.SendSuspects(a, nil)
		}
	}
	for _, a := range chosen {
		t.agentsIO.SendSuspects(a, running)
	}
	t.witnesses = chosen
}

// runningSuspects returns the suspects that run alone, also those at agents that were lost lately, each as the crash that it
// is if this entry, its agent and its upstream are lost now.
func (t *Table) runningSuspects(now time.Time) []fleet.Crash {
	var out []fleet.Crash
	for _, r := range t.exclusive {
		k := r.task
		if k.phase != placed || k.runID != r.id || !k.agent.mayCrash() {
			continue
		}
		c := t.lostCrash(now, k.agent, k)
		if c.Loss == 0 {
			c = r.crash(true) // it has not begun, as far as its agent has reported
		}
		out = append(out, c)
	}
	for _, a := range t.agentList {
		if a.lost && a.mayCrash() {
			out = append(out, t.lostSuspects(now, a)...)
		}
	}
	return out
}

// lostSuspects returns the crashes of the suspects whose runs were lost with an agent and are not settled yet.
func (t *Table) lostSuspects(now time.Time, a *agentState) []fleet.Crash {
	var out []fleet.Crash
	for _, k := range sortedTasks(a.runs) {
		if c := t.lostCrash(now, a, k); c.Loss != 0 {
			out = append(out, c)
		}
	}
	return out
}

// chooseWitnesses returns the linked agents that are told of runs: those that were told before, and others in the order in
// which they have linked. It leaves out the agents on the VMs of the runs.
func (t *Table) chooseWitnesses(running []fleet.Crash) []ident.Incarnation {
	var before, others []ident.Incarnation
	for _, a := range t.agentList {
		onVM := func(c fleet.Crash) bool { return c.VM == a.Name }
		switch {
		case !a.Linked || slices.ContainsFunc(running, onVM):
		case slices.Contains(t.witnesses, a.ID):
			before = append(before, a.ID)
		default:
			others = append(others, a.ID)
		}
	}
	all := slices.Concat(before, others)
	return all[:min(len(all), witnessCount)]
}
