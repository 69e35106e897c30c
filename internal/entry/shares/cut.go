package shares

import (
	"maps"
	"math"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/route"
	"hillreel/internal/core/verdict"
)

const (
	// decideInterval is the pause between two divisions of the capacity, a fraction of the time over which demand is averaged. Each division
	// looks at all upstreams.
	decideInterval = 200 * time.Millisecond
	// sendInterval is the pause between two reports to the other entries.
	sendInterval = 250 * time.Millisecond
	// changeInterval is the least time between two reported changes of a team's cut.
	changeInterval = time.Second
)

// Site tells what an entry knows of the upstreams and of the other entries.
type Site struct {
	// Entries is the number of entries that share the upstreams, at least 1.
	Entries int
	// Capacity returns the cores of the upstreams that accept work of a service, including those that this entry is not linked to. Zero
	// means that none is known.
	Capacity func(ident.Service) float64
}

// Status describes one team of a service. Amounts are in cores.
type Status struct {
	Service ident.Service `json:"service"`
	// Team is empty for the routes that no share lists.
	Team Team `json:"team"`
	// Capacity is that of the service's upstreams, as far as this entry decides for it. Demand is what callers ask for at all entries, Part
	// what the team may use of it, and Use what was not refused.
	Capacity float64 `json:"capacity_cores"`
	Demand   float64 `json:"demand_cores"`
	Part     float64 `json:"part_cores"`
	Use      float64 `json:"use_cores"`
	// Assured is the team's part if all teams asked for more than they get.
	Assured float64 `json:"assured_cores"`
	// Cut is true while jobs beyond the team's part are refused.
	Cut bool `json:"cut"`
	// Refused counts, by reason, the jobs that this entry has refused.
	Refused map[verdict.Reason]int64 `json:"refused,omitempty"`
}

// Cut is the controller of an entry. It refuses what exceeds the teams' parts while shares are in force.
type Cut struct {
	shares []Share
	// services holds the service of each route in force, teamOf the team of each route that a share lists.
	services map[route.Name]ident.Service
	teamOf   map[route.Name]key
	teams    map[key]*team
	// order lists the teams by service and name.
	order []key
	book  book
	// decidedAt and sentAt are the times of the newest decision and of the newest report to others.
	decidedAt, sentAt time.Time
}

// New returns a Cut without shares, which refuses nothing.
func New() *Cut { return &Cut{book: newBook(), teams: make(map[key]*team)} }

// Active reports whether shares are in force.
func (c *Cut) Active() bool { return len(c.shares) > 0 }

// SetShares replaces the shares in force. Without any, the Cut forgets all that it has counted.
func (c *Cut) SetShares(all []Share) {
	former := c.teams
	c.shares, c.teams, c.order = slices.Clone(all), make(map[key]*team), nil
	c.teamOf = make(map[route.Name]key)
	c.decidedAt = time.Time{}
	if len(all) == 0 {
		c.book = newBook()
		return
	}
	for _, s := range withRests(all) {
		k := key{s.Service, s.Team}
		t := former[k]
		if t == nil {
			t = &team{refused: make(map[verdict.Reason]int64)}
		}
		t.share = s
		c.teams[k] = t
		c.order = append(c.order, k)
		for _, r := range s.Routes {
			if _, listed := c.teamOf[r]; !listed {
				c.teamOf[r] = k
			}
		}
	}
}

// SetRoutes replaces the services of the routes in force.
func (c *Cut) SetRoutes(services map[route.Name]ident.Service) { c.services = services }

// find returns the team of a route, or nil if its service has no shares.
func (c *Cut) find(r route.Name, s ident.Service) *team {
	if k, listed := c.teamOf[r]; listed && k.service == s {
		return c.teams[k]
	}
	return c.teams[key{s, ""}]
}

// Ask counts a job that callers ask for. work is in core seconds.
func (c *Cut) Ask(now time.Time, r route.Name, work float64) { c.book.meters(r).asked.add(now, work) }

// Refuse counts a job that was refused for lack of capacity or of a share.
func (c *Cut) Refuse(now time.Time, r *route.Route, work float64, why verdict.Reason) {
	c.book.meters(r.Name).refused.add(now, work)
	if t := c.find(r.Name, r.Service); t != nil {
		t.refused[why]++
	}
}

// Admit reports whether a job is within its team's part. If it is not, Admit returns when its caller may try again.
func (c *Cut) Admit(now time.Time, r *route.Route, work float64) (retryAfter time.Duration, ok bool) {
	t := c.find(r.Name, r.Service)
	if t == nil || !t.now.Cut {
		return 0, true
	}
	t.fill(now)
	if t.tokens >= 0 {
		t.tokens -= work
		return 0, true
	}
	return t.untilFilled(), false
}

// Charge counts a job that is not refused although its team may have used up its part. What the team owes by it is bounded, so that its
// other jobs are refused for seconds at most.
func (c *Cut) Charge(now time.Time, r *route.Route, work float64) {
	t := c.find(r.Name, r.Service)
	if t == nil || !t.now.Cut {
		return
	}
	t.fill(now)
	t.tokens = min(t.tokens, max(t.tokens-work, -t.rate*window.Seconds()))
}

// Receive records what callers have asked of another entry. The report must have passed CheckDemand.
func (c *Cut) Receive(now time.Time, d fleet.Demand) {
	if c.Active() {
		c.book.others[d.Entry] = report{now, d.Routes}
	}
}

// Report returns what the other entries are to be told now, and whether that is due.
func (c *Cut) Report(now time.Time) (fleet.Demand, bool) {
	if !c.Active() || !c.sentAt.IsZero() && now.Sub(c.sentAt) < sendInterval {
		return fleet.Demand{}, false
	}
	c.sentAt = now
	return fleet.Demand{Routes: c.book.ownDemand(now)}, true
}

// Decide divides the capacity of each service that has shares, if that is due, and returns the teams whose cut has begun or ended.
func (c *Cut) Decide(now time.Time, site Site) []Status {
	if !c.Active() || !c.decidedAt.IsZero() && now.Sub(c.decidedAt) < decideInterval {
		return nil
	}
	c.decidedAt = now
	c.book.expire(now)
	own := c.ownDemand(now)
	var changed []Status
	for i, status := range c.statuses(now, site, c.order) {
		t := c.teams[c.order[i]]
		t.apply(now, status, own[c.order[i]])
		if t.now.Cut != t.reportedCut && (t.reportedAt.IsZero() || now.Sub(t.reportedAt) >= changeInterval) {
			t.reportedCut, t.reportedAt = t.now.Cut, now
			changed = append(changed, t.now)
		}
	}
	return changed
}

// tolerance is the relative rounding error of sums.
const tolerance = 1e-9

// statuses divides the capacity among teams. order must hold all teams of a service in a row.
func (c *Cut) statuses(now time.Time, site Site, order []key) []Status {
	demand, use := c.totals(now)
	out := make([]Status, 0, len(order))
	for len(order) > 0 {
		service := order[0].service
		n := 0
		for n < len(order) && order[n].service == service {
			n++
		}
		out = append(out, c.divideService(order[:n], site.Capacity(service)*c.heardPart(site.Entries), demand, use)...)
		order = order[n:]
	}
	return out
}

// divideService divides the capacity of one service among its teams.
func (c *Cut) divideService(teams []key, capacity float64, demand, use map[key]float64) []Status {
	claims, most := make([]Claim, len(teams)), make([]Claim, len(teams))
	for i, k := range teams {
		s := c.teams[k].share
		claims[i] = Claim{Weight: s.Weight, Floor: s.Floor * capacity, Limit: s.Limit * capacity, Demand: demand[k]}
		most[i] = claims[i]
		most[i].Demand = math.MaxFloat32
		if k.team == "" && demand[k] == 0 {
			most[i].Demand = 0 // perhaps no route is left over
		}
	}
	parts, assured := Divide(capacity, claims), Divide(capacity, most)
	out := make([]Status, len(teams))
	for i, k := range teams {
		out[i] = Status{
			Service: k.service, Team: k.team, Capacity: capacity, Demand: demand[k], Part: parts[i], Use: use[k], Assured: assured[i],
			Cut: capacity > 0 && demand[k] > parts[i]*(1+tolerance),
		}
	}
	return out
}

// heardPart is the part of the entries whose demand this entry knows. It divides only as much of the capacity among them.
func (c *Cut) heardPart(entries int) float64 {
	return min(1, float64(1+len(c.book.others))/float64(max(entries, 1)))
}

// totals returns the demand on all entries by team, and the part of it that was not refused.
func (c *Cut) totals(now time.Time) (demand, use map[key]float64) {
	demand, use = make(map[key]float64), make(map[key]float64)
	add := func(all []fleet.RouteDemand) {
		for _, r := range all {
			k := c.keyOf(r.Route)
			demand[k] += r.Asked
			use[k] += max(r.Asked-r.Refused, 0)
		}
	}
	add(c.book.ownDemand(now))
	for _, e := range slices.Sorted(maps.Keys(c.book.others)) { // sums of floats depend on the order
		add(c.book.others[e].routes)
	}
	return demand, use
}

// keyOf returns the team of a route. A route that is not in force is taken for one of the callers' own API, which has the service's name.
func (c *Cut) keyOf(r route.Name) key {
	if k, listed := c.teamOf[r]; listed {
		return k
	}
	if s, known := c.services[r]; known {
		return key{s, ""}
	}
	return key{ident.Service(r), ""}
}

// ownDemand returns the demand on this entry by team.
func (c *Cut) ownDemand(now time.Time) map[key]float64 {
	out := make(map[key]float64)
	for _, r := range c.book.ownDemand(now) {
		out[c.keyOf(r.Route)] += r.Asked
	}
	return out
}

// Statuses returns the state of each team as of the newest decision.
func (c *Cut) Statuses() []Status {
	out := make([]Status, 0, len(c.order))
	for _, k := range c.order {
		t := c.teams[k]
		s := t.now
		s.Service, s.Team = k.service, k.team
		s.Refused = make(map[verdict.Reason]int64, len(t.refused))
		maps.Copy(s.Refused, t.refused)
		out = append(out, s)
	}
	return out
}

// Preview returns what each team would get now if other shares were in force.
func (c *Cut) Preview(now time.Time, all []Share, site Site) []Status {
	next := New()
	next.SetShares(all)
	next.SetRoutes(c.services)
	next.book = c.book
	if !c.Active() {
		site.Entries = 1 // nobody reports demand yet, so there is none to wait for
	}
	return next.statuses(now, site, next.order)
}
