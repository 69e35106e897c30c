package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
	"hillreel/internal/policy/breaker"
)

// connectBackoff is how long an agent whose upstream refuses connections gets no work.
const connectBackoff = 250 * time.Millisecond

// fullBackoff is how long an agent whose queue was full gets no work.
const fullBackoff = 10 * time.Millisecond

// agent is what this entry knows of one incarnation of an agent.
type agent struct {
	inc     ident.Incarnation
	name    ident.UpstreamName
	address ident.Address
	zone    ident.Zone
	// offers holds the services that the agent can serve; services those that configuration lets it serve.
	offers   []ident.Service
	services map[ident.Service]bool
	slots    int
	// link numbers the newest link; messages of older ones are dropped.
	link      uint64
	up        bool
	gone      bool
	leaving   bool
	downSince time.Time
	// tasks holds the placements of this entry that have no result yet.
	tasks map[taskRef]placement
	// others is how many tasks of other entries it holds, by its last report.
	others    int
	notBefore time.Time
	now       func() time.Time
	prefetch  int
	guard     bool
	breaker   *breaker.Breaker
	// slow is how many times longer than expected tasks take here; 1 is as expected.
	slow float64
}

// placement is one task that an agent holds.
type placement struct {
	at       time.Time
	expected time.Duration
}

type taskRef struct {
	key   ident.Key
	index uint32
}

// room tells whether the agent may be given one more task.
func (a *agent) room() bool {
	if !a.up || a.leaving || a.now().Before(a.notBefore) {
		return false
	}
	if len(a.tasks)+a.others >= a.usable()+a.prefetch {
		return false
	}
	return !a.guard || a.breaker.Allows(a.now(), len(a.tasks))
}

// usable is how many slots are worth using: a slow upstream gets less than its share, down to one task,
// from which it is seen when it is as fast as others again.
func (a *agent) usable() int {
	if !a.guard || a.slow < slowLimit {
		return a.slots
	}
	return max(1, int(float64(a.slots)/(a.slow*a.slow)))
}

// cost is what placement compares: tasks per usable slot, more for a slow upstream.
func (a *agent) cost() float64 {
	c := float64(len(a.tasks)+a.others) / float64(max(a.usable(), 1))
	if a.guard && a.slow >= slowLimit {
		c += a.slow
	}
	return c
}

// sortedTasks lists the placements in an order that does not vary.
func (a *agent) sortedTasks() []taskRef {
	out := slices.Collect(maps.Keys(a.tasks))
	slices.SortFunc(out, func(x, y taskRef) int {
		return cmp.Or(compareKeys(x.key, y.key), cmp.Compare(x.index, y.index))
	})
	return out
}

// load is how many tasks the agent holds per slot.
func (a *agent) load() float64 {
	return float64(len(a.tasks)+a.others) / float64(max(a.slots, 1))
}

// refused notes why an agent turned a task down.
func (a *agent) refused(why verdict.Reason, now time.Time) {
	switch why {
	case verdict.QueueFull:
		// For a while only: its load may be reported again only when it has changed.
		a.notBefore = now.Add(fullBackoff)
	case verdict.AgentLeaving:
		a.leaving = true
	case verdict.ConnectFailed, verdict.Cordoned:
		a.notBefore = now.Add(connectBackoff)
	}
}

// peer is what this entry knows of one incarnation of another entry.
type peer struct {
	inc       ident.Incarnation
	address   ident.Address
	link      uint64
	up        bool
	gone      bool
	leaving   bool
	downSince time.Time
}

func (t *Table) agent(inc ident.Incarnation) *agent {
	a := t.agents[inc]
	if a == nil {
		a = &agent{
			inc: inc, tasks: make(map[taskRef]placement), downSince: t.opt.Now(), now: t.opt.Now,
			prefetch: t.opt.Prefetch, guard: t.opt.Guard, breaker: breaker.New(), slow: 1,
		}
		t.agents[inc] = a
		t.agentList = append(t.agentList, a)
	}
	return a
}

// AgentUp takes a new link to an agent. What was sent on an older one is asked about, never sent again.
func (t *Table) AgentUp(h *wire.Hello, link uint64) {
	a := t.agent(ident.Incarnation(h.GetIncarnation()))
	if link < a.link {
		return
	}
	a.link, a.up, a.gone, a.leaving = link, true, false, h.GetLeaving()
	a.name, a.address = ident.UpstreamName(h.GetName()), ident.Address(h.GetAddress())
	a.zone, a.slots = ident.Zone(h.GetZone()), int(h.GetSlots())
	a.offers = nil
	for _, s := range h.GetServices() {
		a.offers = append(a.offers, ident.Service(s))
	}
	t.allow(a)
	t.replaceAt(a)
	for _, ref := range a.sortedTasks() {
		if j := t.jobs[ref.key]; j != nil {
			t.sendStart(j, ref.index, a, true)
		}
	}
	t.resumeUnsettled(a)
	t.announceTo(a)
	t.seekRosters()
	t.updateRosters()
	t.pump()
}

// allow works out which of its services configuration lets an agent serve.
func (t *Table) allow(a *agent) {
	a.services = make(map[ident.Service]bool)
	for _, s := range a.offers {
		t.pool(s)
		if t.view.Serves(a.name, a.zone, s) {
			a.services[s] = true
		}
	}
}

// replaceAt marks earlier lives at the same address as gone.
func (t *Table) replaceAt(a *agent) {
	for _, old := range t.agentList {
		if old != a && old.address == a.address && old.address != "" && !old.up {
			t.AgentGone(old.inc)
		}
	}
}

// AgentDown tells that a link broke. Its tasks stay with that incarnation.
func (t *Table) AgentDown(inc ident.Incarnation, link uint64) {
	a := t.agents[inc]
	if a == nil || !a.up || a.link != link {
		return
	}
	a.up, a.downSince = false, t.opt.Now()
	for _, j := range t.pending() {
		switch {
		case j.mode == stopping && j.withdrawing[inc]:
			delete(j.withdrawing, inc)
			t.decideWhenStopped(j)
		case j.mode == recording && j.recorder == inc:
			t.sendRecord(j)
		}
	}
}

// AgentGone declares that an incarnation will not come back. What it had may have run.
func (t *Table) AgentGone(inc ident.Incarnation) {
	a := t.agents[inc]
	if a == nil || a.gone || a.up {
		return
	}
	a.gone = true
	for _, ref := range a.sortedTasks() {
		delete(a.tasks, ref)
		if j := t.jobs[ref.key]; j != nil && j.expects(inc, ref.index) {
			t.unsure(j, ref.index, nil, verdict.AgentGone)
		}
	}
	t.updateRosters()
	t.pump()
}

func (t *Table) handleAgentLeaving(from ident.Incarnation) {
	t.agent(from).leaving = true
	t.updateRosters()
}

func (t *Table) handleLoad(from ident.Incarnation, l *wire.Load) {
	a := t.agent(from)
	a.others = max(0, int(l.GetQueued()+l.GetRunning())-len(a.tasks))
	t.pump()
}

// PeerUp takes a new link to another entry and tells it what an adopter would need.
func (t *Table) PeerUp(h *wire.Hello, link uint64) {
	inc := ident.Incarnation(h.GetIncarnation())
	p := t.peers[inc]
	if p == nil {
		p = &peer{inc: inc}
		t.peers[inc] = p
		t.peerList = append(t.peerList, p)
	}
	if link < p.link {
		return
	}
	p.link, p.up, p.gone, p.leaving = link, true, false, h.GetLeaving()
	p.address = ident.Address(h.GetAddress())
	for _, old := range t.peerList {
		if old != p && old.address == p.address && !old.up {
			t.PeerGone(old.inc)
		}
	}
	for _, r := range t.sortedRosters() {
		t.links.ToPeer(inc, rosterMsg(r))
	}
	for _, owner := range slices.Sorted(maps.Keys(t.successors)) {
		t.links.ToPeer(inc, successorMsg(owner, t.successors[owner]))
	}
	if t.handedTo == inc {
		t.handOverAll()
	}
	t.seekRosters()
	t.retryParked()
}

// PeerDown tells that a link to another entry broke. What was forwarded there is asked again: ids make
// that safe.
func (t *Table) PeerDown(inc ident.Incarnation, link uint64) {
	p := t.peers[inc]
	if p == nil || !p.up || p.link != link {
		return
	}
	p.up, p.downSince = false, t.opt.Now()
	t.reroute(inc)
	t.updateRosters()
}

// PeerGone declares that another entry's incarnation will not come back.
func (t *Table) PeerGone(inc ident.Incarnation) {
	p := t.peers[inc]
	if p == nil || p.up || p.gone {
		return
	}
	p.gone = true
	t.retryParked()
}

func (t *Table) handlePeerLeaving(from ident.Incarnation) {
	if p := t.peers[from]; p != nil {
		p.leaving = true
	}
}

// suspect declares processes gone whose links have been down for too long.
func (t *Table) suspect() {
	now := t.opt.Now()
	for _, a := range t.agentList {
		if !a.up && !a.gone && now.Sub(a.downSince) > t.opt.GoneAfter {
			t.AgentGone(a.inc)
		}
	}
	for _, p := range t.peerList {
		if !p.up && !p.gone && now.Sub(p.downSince) > t.opt.GoneAfter {
			t.PeerGone(p.inc)
		}
	}
	t.updateRosters()
}

// inRoster tells whether a new roster should name the agent: it has a link, or lost it only just now.
func (t *Table) inRoster(a *agent, s ident.Service) bool {
	if !a.services[s] || a.leaving || a.gone {
		return false
	}
	return a.up || t.opt.Now().Sub(a.downSince) < t.opt.SuspectAfter
}

// linkedByName finds the agent now linked under the same upstream name. It breaks rule
// RosterIncarnations on purpose and serves the experiment that leaves it out.
func (t *Table) linkedByName(a *agent) *agent {
	if a.up {
		return a
	}
	for _, other := range t.agentList {
		if other.up && other.name == a.name && a.name != "" {
			return other
		}
	}
	return a
}

// adopterOf is the live entry with the highest hash for the job, so that two entries seldom contend.
func (t *Table) adopterOf(key ident.Key) ident.Incarnation {
	best, bestHash := ident.Incarnation(0), uint64(0)
	consider := func(inc ident.Incarnation) {
		h := xxhash.Sum64String(key.String() + inc.String())
		if best == 0 || h > bestHash {
			best, bestHash = inc, h
		}
	}
	if !t.leaving {
		consider(t.opt.Self)
	}
	for _, p := range t.peerList {
		if p.up && !p.leaving {
			consider(p.inc)
		}
	}
	if best == 0 {
		return t.opt.Self
	}
	return best
}

// fromNewestLink tells whether a message came on the newest link to its sender.
func (t *Table) fromNewestLink(from ident.Incarnation, link uint64) bool {
	a := t.agents[from]
	return a != nil && (a.link == link || !t.opt.Omit.Holds(rule.NewestLink))
}

// AgentLeavingAt marks the agent at an address as leaving, by the platform's word.
func (t *Table) AgentLeavingAt(address ident.Address) {
	for _, a := range t.agentList {
		if a.address == address && !a.leaving {
			a.leaving = true
			t.updateRosters()
		}
	}
}

// Unlisted tells that the platform's list no longer has an address. Whoever has no link there is gone.
func (t *Table) Unlisted(address ident.Address) {
	for _, a := range t.agentList {
		if a.address == address && !a.up {
			t.AgentGone(a.inc)
		}
	}
	for _, p := range t.peerList {
		if p.address == address && !p.up {
			t.PeerGone(p.inc)
		}
	}
}

// Upstream is an upstream whose agent is linked, as operators read it.
type Upstream struct {
	Name    ident.UpstreamName `json:"name"`
	Zone    ident.Zone         `json:"zone"`
	Address ident.Address      `json:"address"`
	Offers  []ident.Service    `json:"offers"`
	// Serves holds the services that configuration lets it serve.
	Serves  []ident.Service `json:"serves"`
	Slots   int             `json:"slots"`
	Load    float64         `json:"tasks_per_slot"`
	Leaving bool            `json:"leaving,omitempty"`
}

// Upstreams lists the upstreams whose agents are linked.
func (t *Table) Upstreams() []Upstream {
	var out []Upstream
	for _, a := range t.agentList {
		if a.up {
			out = append(out, Upstream{
				Name: a.name, Zone: a.zone, Address: a.address, Offers: a.offers,
				Serves: slices.Sorted(maps.Keys(a.services)), Slots: a.slots, Load: a.load(), Leaving: a.leaving,
			})
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
