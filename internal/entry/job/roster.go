package job

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hillreel/internal/core/ident"
	"hillreel/internal/link/wire"
)

// roster is the exact set of agent incarnations that may run the jobs minted under it.
type roster struct {
	digest  ident.RosterDigest
	members []*wire.Member
	// agents stands in the order of members.
	agents []*agent
	// announced is when its minter last named it.
	announced time.Time
}

// hopeless tells whether no agent of the roster will ever start a task again, but one is linked, so that
// this can be recorded.
func (r *roster) hopeless() bool {
	linked := false
	for _, a := range r.agents {
		if !a.gone && !a.leaving {
			return false
		}
		linked = linked || a.up
	}
	return linked
}

// linked tells whether any agent of the roster has a link.
func (r *roster) linked() bool {
	return slices.ContainsFunc(r.agents, func(a *agent) bool { return a.up })
}

// unlinkedSince is when the last link to an agent of the roster broke; it has meaning only if none stands.
func (r *roster) unlinkedSince() time.Time {
	var last time.Time
	for _, a := range r.agents {
		if a.downSince.After(last) {
			last = a.downSince
		}
	}
	return last
}

// pool is one service's agents.
type pool struct {
	service ident.Service
	// groups share the pool's agents out, so that a job's roster stays small: an adopter must seal all of it.
	groups []*group
	// next is the group that mints next.
	next int
}

// group is a part of a pool's agents.
type group struct {
	// current is the newest roster; mintable is the newest that one of its agents has acknowledged. If that
	// agent is lost, nobody can seal the roster anyway; so a roster that can't be had costs no job.
	current, mintable *roster
}

// mintable returns the roster for the next id, or nil when no agent of any group is linked.
func (p *pool) mintable() *roster {
	for range p.groups {
		g := p.groups[p.next%len(p.groups)]
		p.next++
		if g.mintable != nil && g.mintable.linked() {
			return g.mintable
		}
	}
	return nil
}

// announceEvery is the part of the retention after which an entry names its rosters to its peers again.
const announceEvery = 4

func (t *Table) pool(s ident.Service) *pool {
	p := t.services[s]
	if p == nil {
		p = &pool{service: s}
		t.services[s] = p
	}
	return p
}

// updateRosters makes a new roster for each service whose set of agents has changed.
func (t *Table) updateRosters() {
	for _, p := range t.services {
		t.updateRoster(p)
	}
}

// updateRoster shares the pool's agents out among its groups and makes a new roster for each that changed.
func (t *Table) updateRoster(p *pool) {
	var serving []*agent
	for _, a := range t.agentList {
		if t.inRoster(a, p.service) {
			serving = append(serving, a)
		}
	}
	n := max(1, (len(serving)+t.opt.MaxRoster-1)/t.opt.MaxRoster)
	for len(p.groups) < n {
		p.groups = append(p.groups, &group{})
	}
	p.groups = p.groups[:n]
	members := make([][]*wire.Member, n)
	for _, a := range serving {
		i := int(xxhash.Sum64String(a.inc.String()) % uint64(n))
		members[i] = append(members[i], &wire.Member{
			Upstream: string(a.name), Incarnation: uint64(a.inc), Address: string(a.address),
		})
	}
	for i, g := range p.groups {
		t.updateGroup(p.service, g, members[i])
	}
}

func (t *Table) updateGroup(s ident.Service, g *group, members []*wire.Member) {
	slices.SortFunc(members, func(a, b *wire.Member) int { return cmp.Compare(a.GetIncarnation(), b.GetIncarnation()) })
	now := t.opt.Now()
	digest := digestOf(s, members)
	if g.current == nil || g.current.digest != digest {
		g.current = t.keepRoster(digest, members)
		t.announce(g.current)
	}
	if now.Sub(g.current.announced) > t.opt.Retention/announceEvery {
		g.current.announced = now
		t.announce(g.current)
	}
}

// announce gives a roster to its agents, who keep it for adopters, and to the peers, who may need it soon.
func (t *Table) announce(r *roster) {
	for _, a := range r.agents {
		if a.up {
			t.links.ToAgent(a.inc, rosterMsg(r))
		}
	}
	for _, p := range t.peerList {
		if p.up {
			t.links.ToPeer(p.inc, rosterMsg(r))
		}
	}
}

// announceTo gives the current rosters that name an agent to that agent, after a new link to it.
func (t *Table) announceTo(a *agent) {
	for _, p := range t.services {
		for _, g := range p.groups {
			if g.current != nil && slices.Contains(g.current.agents, a) {
				t.links.ToAgent(a.inc, rosterMsg(g.current))
			}
		}
	}
}

func (t *Table) anyPeer() bool {
	return slices.ContainsFunc(t.peerList, func(p *peer) bool { return p.up })
}

// Roster lists the agent incarnations of a roster that this entry knows, or nil.
func (t *Table) Roster(d ident.RosterDigest) []ident.Incarnation {
	r := t.rosters[d]
	if r == nil {
		return nil
	}
	var out []ident.Incarnation
	for _, a := range r.agents {
		out = append(out, a.inc)
	}
	return out
}

func digestOf(s ident.Service, members []*wire.Member) ident.RosterDigest {
	h := sha256.New()
	h.Write([]byte(s))
	for _, m := range members {
		h.Write(binary.BigEndian.AppendUint64([]byte{0}, m.GetIncarnation()))
	}
	return ident.RosterDigest(h.Sum(nil)[:16])
}

func (t *Table) keepRoster(digest ident.RosterDigest, members []*wire.Member) *roster {
	if r := t.rosters[digest]; r != nil {
		r.announced = t.opt.Now()
		return r
	}
	r := &roster{digest: digest, members: members, announced: t.opt.Now()}
	for _, m := range members {
		a := t.agent(ident.Incarnation(m.GetIncarnation()))
		if a.name == "" {
			a.name, a.address = ident.UpstreamName(m.GetUpstream()), ident.Address(m.GetAddress())
		}
		r.agents = append(r.agents, a)
	}
	t.rosters[digest] = r
	return r
}

func (t *Table) sortedRosters() []*roster {
	return slices.SortedFunc(maps.Values(t.rosters), func(a, b *roster) int {
		return slices.Compare(a.digest[:], b.digest[:])
	})
}

// dropAgents forgets agents that are gone and that no roster names.
func (t *Table) dropAgents() {
	named := make(map[*agent]bool)
	for _, r := range t.rosters {
		for _, a := range r.agents {
			named[a] = true
		}
	}
	t.agentList = slices.DeleteFunc(t.agentList, func(a *agent) bool {
		drop := a.gone && !a.up && !named[a]
		if drop {
			delete(t.agents, a.inc)
		}
		return drop
	})
}

// dropRosters forgets rosters that nobody named for so long that no valid id can name them.
func (t *Table) dropRosters() {
	for d, r := range t.rosters {
		if t.opt.Now().Sub(r.announced) > 2*t.opt.Retention && !t.inUse(r) {
			delete(t.rosters, d)
			t.dropAgents()
		}
	}
}

func (t *Table) inUse(r *roster) bool {
	for _, p := range t.services {
		for _, g := range p.groups {
			if g.current == r || g.mintable == r {
				return true
			}
		}
	}
	return false
}

func rosterMsg(r *roster) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Roster{Roster: &wire.Roster{
		Digest: r.digest[:], Members: r.members,
	}}}
}

func (t *Table) handleRoster(r *wire.Roster) {
	if len(r.GetDigest()) != len(ident.RosterDigest{}) {
		return
	}
	t.keepRoster(ident.RosterDigest(r.GetDigest()), r.GetMembers())
	for _, j := range t.pending() {
		if j.mode == seeking {
			t.rosterFound(j)
		}
	}
}

func (t *Table) handleRosterAck(r *wire.RosterAck) {
	for _, p := range t.services {
		for _, g := range p.groups {
			if g.current != nil && string(g.current.digest[:]) == string(r.GetDigest()) {
				g.mintable = g.current
			}
		}
	}
}

func (t *Table) handleRosterAsk(from ident.Incarnation, r *wire.RosterAsk) {
	if len(r.GetDigest()) != len(ident.RosterDigest{}) {
		return
	}
	if known := t.rosters[ident.RosterDigest(r.GetDigest())]; known != nil {
		t.links.ToPeer(from, rosterMsg(known))
	}
}

// seek asks all peers and agents for the roster of a job that this entry is to run.
func (t *Table) seek(j *job) {
	t.setMode(j, seeking)
	ask := &wire.Msg{Kind: &wire.Msg_RosterAsk{RosterAsk: &wire.RosterAsk{Digest: j.id.Roster[:]}}}
	for _, p := range t.peerList {
		if p.up {
			t.links.ToPeer(p.inc, ask)
		}
	}
	for _, a := range t.agentList {
		if a.up {
			t.links.ToAgent(a.inc, ask)
		}
	}
}

func (t *Table) seekRosters() {
	for _, j := range t.pending() {
		if j.mode == seeking {
			t.seek(j)
		}
	}
}

func (t *Table) rosterFound(j *job) {
	r := t.rosters[j.id.Roster]
	if r == nil {
		return
	}
	j.roster = r
	if j.gen.Counter == ident.OwnerCounter {
		t.admit(j)
		return
	}
	t.startSeal(j)
}
