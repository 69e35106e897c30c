package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
)

// maxSetAside is how long a task leaves room at upstreams that it would rather not use. Others that could run it may be full
// for long.
const maxSetAside = 2 * time.Second

// preference decides, for one search, which upstreams a task sets aside although they could run it.
type preference struct {
	table *Table
	task  *task
	// expired is set if the task has left room for so long that it takes any.
	expired bool
	// hasAnother tells, once asked is set, whether an upstream that the task need not avoid could run it.
	asked, hasAnother bool
	// leftRoom is set once an upstream was set aside.
	leftRoom bool
}

// preferenceOf returns the preference of a task for a search that begins now.
func (t *Table) preferenceOf(now time.Time, k *task) *preference {
	expired := !k.leftRoomAt.IsZero() && now.Sub(k.leftRoomAt) >= maxSetAside
	return &preference{table: t, task: k, expired: expired}
}

// setsAside reports whether the task leaves an upstream aside that could run it: the task has failed or stalled there, or
// the upstream is probing and the task has run before. It does so only while another upstream could run this task.
func (p *preference) setsAside(a *agentState) bool {
	if p.expired || !p.task.isUnwanted(a) {
		return false
	}
	if !p.asked {
		p.asked, p.hasAnother = true, p.table.hasAnother(p.task)
	}
	p.leftRoom = p.leftRoom || p.hasAnother
	return p.hasAnother
}

// isUnwanted reports whether the task would rather run at another upstream.
func (k *task) isUnwanted(a *agentState) bool {
	return a.Probing() && k.run > 0 || slices.Contains(k.avoid, a.Upstream.ID)
}

// hasAnother reports whether an upstream that a task need not avoid could run it.
func (t *Table) hasAnother(k *task) bool {
	return slices.ContainsFunc(t.agentList, func(a *agentState) bool {
		return t.couldRun(a, k) && !slices.Contains(k.avoid, a.Upstream.ID)
	})
}

// couldRun reports whether an upstream is ready and could run a task as soon as enough of its runs have ended.
func (t *Table) couldRun(a *agentState, k *task) bool {
	return a.Serves(k.job.route.Service, fleet.Ready) && t.suits(a, k)
}

// suits reports whether an upstream has what a task requires: it serves the task's service, has the label, is large enough,
// and operators permit it.
func (t *Table) suits(a *agentState, k *task) bool {
	step, service := t.step(k), k.job.route.Service
	return a.Upstream.Service == service && a.Upstream.HasLabel(step.Requires) && step.Each.Fits(a.Upstream.Total) && t.permits(a, service)
}

// noteLeftRoom records that a task has left room at an upstream, if the search has set one aside.
func (k *task) noteLeftRoom(now time.Time, p *preference) {
	if p.leftRoom && k.leftRoomAt.IsZero() {
		k.leftRoomAt = now
	}
}
