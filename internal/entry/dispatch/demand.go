package dispatch

import (
	"cmp"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/admission"
	"hillreel/internal/entry/shares"
)

// SetShares replaces the teams' shares in force. Without any, nothing is counted, sent or refused for them.
func (t *Table) SetShares(all []shares.Share) { t.shares.SetShares(all) }

// SetRoutes tells which services the routes in force use.
func (t *Table) SetRoutes(services map[route.Name]ident.Service) { t.shares.SetRoutes(services) }

// Shares returns the state of the teams that have shares.
func (t *Table) Shares() []shares.Status { return t.shares.Statuses() }

// PreviewShares returns what each team would get now if other shares were in force.
func (t *Table) PreviewShares(now time.Time, all []shares.Share) []shares.Status {
	return t.shares.Preview(now, all, t.site())
}

// HandleDemand handles what callers have asked of another entry.
func (t *Table) HandleDemand(now time.Time, d fleet.Demand) {
	if err := shares.CheckDemand(d); err != nil {
		t.observer.DemandDropped(now, d.Entry, err)
		return
	}
	t.shares.Receive(now, d)
}

// updateShares divides the services' capacity among the teams and tells the other entries what callers ask of this one, if that is due.
func (t *Table) updateShares(now time.Time) {
	if !t.shares.Active() {
		return
	}
	for _, s := range t.shares.Decide(now, t.site()) {
		t.observer.CutChanged(s)
	}
	if d, due := t.shares.Report(now); due {
		for _, a := range t.demandRelays() {
			t.agentsIO.SendDemand(a, d)
		}
	}
}

// demandRelays returns a few linked agents, others each time: where each agent links to only some of the entries, successive reports reach
// different ones.
func (t *Table) demandRelays() []ident.Incarnation {
	var out []ident.Incarnation
	n := len(t.agentList)
	for i := range n {
		a := t.agentList[(t.nextDemandRelay+i)%n]
		if a.Linked {
			out = append(out, a.ID)
		}
		if len(out) == relayCount {
			t.nextDemandRelay = (t.nextDemandRelay + i + 1) % n
			break
		}
	}
	return out
}

// site tells what this entry knows of the upstreams and of the other entries.
func (t *Table) site() shares.Site { return shares.Site{Entries: t.entries, Capacity: t.capacity} }

// milli is the number of thousandths in a core.
const milli = 1000

// capacity returns how many core seconds of work, by callers' estimates, the upstreams that accept work of a service do in a second: their
// cores, divided by the ratio of run times to estimates. If agents link to only some of the entries, it is extrapolated
// from the upstreams that are linked to this one.
func (t *Table) capacity(s ident.Service) float64 {
	var cores float64
	for _, a := range t.agentList {
		if a.Serves(s, fleet.Ready) && t.permits(a, s) {
			cores += float64(a.Upstream.Total.CPU) / milli / cmp.Or(a.Room().Pace, t.pace)
		}
	}
	if links := t.opts.AgentLinks; links > 0 && t.entries > links {
		cores *= float64(t.entries) / float64(links)
	}
	return cores
}

// defaultEstimate is the run time of a task that is assumed if its job names none: an ordinary one for tasks of less than a second.
const defaultEstimate = 100 * time.Millisecond

// work returns the core seconds that a job needs by its caller's estimates.
func (t *Table) work(s *job.Spec) float64 {
	var sum float64
	for _, step := range s.Steps {
		estimate := step.Estimate
		if estimate == 0 {
			estimate = defaultEstimate
		}
		sum += float64(step.Count) * float64(step.Each.CPU) / milli * estimate.Seconds()
	}
	return sum
}

// countDemand counts a new job as asked for.
func (t *Table) countDemand(now time.Time, r *Request) {
	if t.shares.Active() && !t.closing && r.Spec.Unsupported == "" && r.Spec.TaskCount() <= t.opts.MaxTasks {
		t.shares.Ask(now, r.Route.Name, t.work(r.Spec))
	}
}

// overShare returns the refusal of a job that exceeds its team's part, and whether that is the case. Kept jobs are stored already, so they
// are never refused, but use up their team's part.
func (t *Table) overShare(now time.Time, r *Request) (Answer, bool) {
	if !t.shares.Active() {
		return Answer{}, false
	}
	if r.Kept != nil {
		t.shares.Charge(now, &r.Route, t.work(r.Spec))
		return Answer{}, false
	}
	wait, ok := t.shares.Admit(now, &r.Route, t.work(r.Spec))
	if ok {
		return Answer{}, false
	}
	a := refused(verdict.OverShare)
	a.RetryAfter = max(wait, admission.RefusedRetry)
	return a, true
}

// countRefused counts a job that was refused for lack of capacity or of a share.
func (t *Table) countRefused(now time.Time, r *route.Route, s *job.Spec, a Answer) {
	if t.shares.Active() && a.State == verdict.Refused && (a.Reason == verdict.Overloaded || a.Reason == verdict.OverShare) {
		t.shares.Refuse(now, r, t.work(s), a.Reason)
	}
}
