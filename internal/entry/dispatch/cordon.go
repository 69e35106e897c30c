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
	t.refuseNowhere(now)
	t.pump(now)
}

// gatedAt notes that an agent has refused an order because their zone is cordoned, which this entry had not heard.
func (t *Table) gatedAt(a *upstreamOf) {
	a.Cordon()
	t.gated[a.Zone]++
}

// open tells whether operators let an upstream serve a service.
func (t *Table) open(a *upstreamOf, s ident.Service) bool {
	return a.Room().State != fleet.Cordoned && !slices.Contains(t.cordoned, a.Zone) && t.allowed(a.Name, a.Zone, s)
}

// linkTime is how long after an entry has begun its agents may still be coming: after a loss of all power 65 of them had linked to
// each of eleven entries within 0.5 s.
const linkTime = time.Second

// nowhere tells whether operators have cordoned all upstreams of a service that are linked. Without any that are linked, some may come
// within moments: that is an outage, and jobs wait for its end as long as they can be in time. So they do while the entry begins, when
// those of a cordoned zone may happen to come first.
func (t *Table) nowhere(now time.Time, s ident.Service) bool {
	if now.Sub(t.began) < linkTime {
		return false
	}
	linked := false
	for _, a := range t.order {
		if !a.Known() || a.Up.Service != s {
			continue
		}
		if t.open(a, s) {
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
func (t *Table) refuseNowhere(now time.Time) {
	for _, q := range t.queued {
		if q.Len() == 0 || !t.nowhere(now, q.Service) {
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
type ZoneWork struct {
	Zone     ident.Zone `json:"zone"`
	Cordoned bool       `json:"cordoned"`
	// Upstreams are linked, Ready of them take work.
	Upstreams int `json:"upstreams"`
	Ready     int `json:"ready"`
	// Runs are this entry's, lost ones included.
	Runs int `json:"runs"`
	// Gated counts the orders that agents there have refused because the zone was cordoned.
	Gated int64 `json:"gated"`
	// FreeCPU and TotalCPU are in thousandths of a core, those of upstreams that are linked.
	FreeCPU  int64 `json:"free_cpu_millis"`
	TotalCPU int64 `json:"total_cpu_millis"`
}

// Zones lists the zones of which this entry knows agents, and those that are cordoned, in order.
func (t *Table) Zones() []ZoneWork {
	by := make(map[ident.Zone]*ZoneWork)
	at := func(z ident.Zone) *ZoneWork {
		if by[z] == nil {
			by[z] = &ZoneWork{Zone: z, Cordoned: slices.Contains(t.cordoned, z), Gated: t.gated[z]}
		}
		return by[z]
	}
	for _, z := range t.cordoned {
		at(z)
	}
	for _, a := range t.order {
		w := at(a.Zone)
		w.Runs += len(a.runs)
		if !a.Known() {
			continue
		}
		w.Upstreams++
		w.FreeCPU += a.Free().CPU
		w.TotalCPU += a.Up.Total.CPU
		if a.Accepts() && t.open(a, a.Up.Service) {
			w.Ready++
		}
	}
	out := make([]ZoneWork, 0, len(by))
	for _, w := range by {
		out = append(out, *w)
	}
	slices.SortFunc(out, func(a, b ZoneWork) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
