package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
)

// SetCordoned replaces the list of availability zones that operators have cordoned. Nothing new is placed there, and runs
// that were placed there continue. Waiting tasks are placed in other zones. Their jobs are refused at once if every linked
// upstream is cordoned.
func (t *Table) SetCordoned(now time.Time, zones []ident.Zone) {
	t.cordoned = slices.Clone(zones)
	t.refuseAllCordoned(now)
	t.placeAll(now)
}

// recordCordonRefusal records that an agent has refused an order because its zone is cordoned, which this entry did not
// know yet.
func (t *Table) recordCordonRefusal(a *agentState) {
	a.MarkCordoned()
	t.cordonRefusals[a.Zone]++
}

// permits reports whether operators let an upstream serve a service.
func (t *Table) permits(a *agentState, s ident.Service) bool {
	return a.Room().State != fleet.Cordoned && !slices.Contains(t.cordoned, a.Zone) && t.allowed(a.Name, a.Zone, s)
}

// agentLinkTime is how long after an entry's start its agents may still be linking. After a complete power loss, 65 agents
// had linked to each of eleven entries within 0.5 s.
const agentLinkTime = time.Second

// allCordoned reports whether operators have cordoned all linked upstreams of a service. It returns false in two cases in
// which usable upstreams may link within moments:
//   - No upstream of the service is linked. That is an outage, and jobs wait for its end for as long as they can be in
//     time.
//   - The entry has just started, and agents of a cordoned zone may happen to link first.
func (t *Table) allCordoned(now time.Time, s ident.Service) bool {
	if now.Sub(t.firstTick) < agentLinkTime {
		return false
	}
	linked := false
	for _, a := range t.agentList {
		if !a.Known() || a.Upstream.Service != s {
			continue
		}
		if t.permits(a, s) {
			return false
		}
		linked = true
	}
	return linked
}

// cordonedRetry is when a caller may try again whose job was refused because of cordons. A cordon lasts from seconds to
// hours, and operators' changes take effect everywhere within a few seconds.
const cordonedRetry = 5 * time.Second

// cordonedAnswer is the answer to a job of which nothing has run and for which every linked upstream is cordoned.
var cordonedAnswer = Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Cordoned, RetryAfter: cordonedRetry}

// refuseAllCordoned gives up the jobs whose waiting tasks have only cordoned upstreams. Otherwise their callers would wait
// in vain until their deadlines. Kept jobs wait until operators lift a cordon.
func (t *Table) refuseAllCordoned(now time.Time) {
	for _, q := range t.queueList {
		if q.Len() == 0 || !t.allCordoned(now, q.Service) {
			continue
		}
		for _, j := range q.All() {
			switch {
			case j.kept || j.ending:
			case j.begun:
				t.close(now, j, Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Cordoned})
			default:
				t.close(now, j, cordonedAnswer)
			}
		}
	}
}

// ZoneStatus describes this entry's work in one availability zone. An operator who drains a zone waits until no entry has
// runs there.
type ZoneStatus struct {
	Zone     ident.Zone `json:"zone"`
	Cordoned bool       `json:"cordoned"`
	// Upstreams counts the linked upstreams, Ready those that accept work.
	Upstreams int `json:"upstreams"`
	Ready     int `json:"ready"`
	// Runs counts the runs of this entry, including lost ones.
	Runs int `json:"runs"`
	// CordonRefusals counts the orders that agents in the zone have refused because it was cordoned.
	CordonRefusals int64 `json:"gated"`
	// FreeCPU and TotalCPU sum up the linked upstreams, in thousandths of a core.
	FreeCPU  int64 `json:"free_cpu_millis"`
	TotalCPU int64 `json:"total_cpu_millis"`
}

// Zones lists, in order, the cordoned zones and those in which this entry knows agents.
func (t *Table) Zones() []ZoneStatus {
	byZone := make(map[ident.Zone]*ZoneStatus)
	zoneStatus := func(z ident.Zone) *ZoneStatus {
		if byZone[z] == nil {
			byZone[z] = &ZoneStatus{Zone: z, Cordoned: slices.Contains(t.cordoned, z), CordonRefusals: t.cordonRefusals[z]}
		}
		return byZone[z]
	}
	for _, z := range t.cordoned {
		zoneStatus(z)
	}
	for _, a := range t.agentList {
		w := zoneStatus(a.Zone)
		w.Runs += len(a.runs)
		if !a.Known() {
			continue
		}
		w.Upstreams++
		w.FreeCPU += a.Free().CPU
		w.TotalCPU += a.Upstream.Total.CPU
		if a.AcceptsWork() && t.permits(a, a.Upstream.Service) {
			w.Ready++
		}
	}
	out := make([]ZoneStatus, 0, len(byZone))
	for _, w := range byZone {
		out = append(out, *w)
	}
	slices.SortFunc(out, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
