package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
)

// SetCordoned replaces the availability zones that operators have cordoned: nothing new is placed there, and what was placed there
// goes on. What waits finds room elsewhere, or is refused at once where there is no elsewhere.
func (t *Table) SetCordoned(now time.Time, zones []ident.Zone) {
	t.cordoned = slices.Clone(zones)
	t.refuseAllCordoned(now)
	t.placeAll(now)
}

// gatedAt notes that an agent has refused an order because their zone is cordoned, which this entry had not heard.
func (t *Table) recordCordonRefusal(a *agentState) {
	a.MarkCordoned()
	t.cordonRefusals[a.Zone]++
}

// open tells whether operators let an upstream serve a service.
func (t *Table) permits(a *agentState, s ident.Service) bool {
	return a.Room().State != fleet.Cordoned && !slices.Contains(t.cordoned, a.Zone) && t.allowed(a.Name, a.Zone, s)
}

// linkTime is how long after an entry has begun its agents may still be coming: after a loss of all power 65 of them had linked to
// each of eleven entries within 0.5 s.
const agentLinkTime = time.Second

// nowhere tells whether operators have cordoned all upstreams of a service that are linked. Without any that are linked, some may come
// within moments: that is an outage, and jobs wait for its end as long as they can be in time. So they do while the entry begins, when
// those of a cordoned zone may happen to come first.
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

// cordonedRetry is when a caller may come back whose job has nowhere to run: a cordon lasts from seconds to hours, and what
// operators change is in force everywhere within a few seconds.
const cordonedRetry = 5 * time.Second

// cordonedAnswer is the answer to a job that has nowhere to run and of which nothing has run.
var cordonedAnswer = Answer{State: verdict.Refused, Verdict: verdict.NotRun, Reason: verdict.Cordoned, RetryAfter: cordonedRetry}

// refuseNowhere gives up the jobs whose waiting tasks have nowhere to run: their callers would wait until their deadlines
// for nothing. Kept jobs wait until operators lift a cordon.
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

// ZoneWork says what this entry has in one availability zone. An operator who empties a zone waits until no entry has runs there.
type ZoneStatus struct {
	Zone     ident.Zone `json:"zone"`
	Cordoned bool       `json:"cordoned"`
	// Upstreams are linked, Ready of them take work.
	Upstreams int `json:"upstreams"`
	Ready     int `json:"ready"`
	// Runs are this entry's, lost ones included.
	Runs int `json:"runs"`
	// Gated counts the orders that agents there have refused because the zone was cordoned.
	CordonRefusals int64 `json:"gated"`
	// FreeCPU and TotalCPU are in thousandths of a core, those of upstreams that are linked.
	FreeCPU  int64 `json:"free_cpu_millis"`
	TotalCPU int64 `json:"total_cpu_millis"`
}

// Zones lists the zones of which this entry knows agents, and those that are cordoned, in order.
func (t *Table) Zones() []ZoneStatus {
	by := make(map[ident.Zone]*ZoneStatus)
	at := func(z ident.Zone) *ZoneStatus {
		if by[z] == nil {
			by[z] = &ZoneStatus{Zone: z, Cordoned: slices.Contains(t.cordoned, z), CordonRefusals: t.cordonRefusals[z]}
		}
		return by[z]
	}
	for _, z := range t.cordoned {
		at(z)
	}
	for _, a := range t.agentList {
		w := at(a.Zone)
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
	out := make([]ZoneStatus, 0, len(by))
	for _, w := range by {
		out = append(out, *w)
	}
	slices.SortFunc(out, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
