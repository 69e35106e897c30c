package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

// maxHops bounds how many entries pass a request on before the job counts as nobody's.
const maxHops = 3

// forward is a request that another entry answers.
type forward struct {
	req Request
	to  ident.Incarnation
}

type parkedRequest struct {
	req   Request
	since time.Time
}

// route finds the entry that answers for a job that is not in this table, or was lost to a newer generation.
func (t *Table) route(req Request, j *job) {
	holder := t.holderOf(req.ID, j)
	p := t.peers[holder]
	switch {
	case req.Adopt && (j == nil || p == nil || !p.up) && !t.justLost(j):
		t.adopt(req, j)
	case holder == t.opt.Self:
		if req.ID.Key.Owner != t.opt.Self {
			t.counts.Inherited++
		}
		t.begin(req, t.ownerGeneration(req.ID.Key.Owner))
	case p != nil && p.up:
		t.forward(req, holder)
	case t.holderGone(holder, req.ID) && !t.justLost(j):
		t.routeOrphan(req, j)
	default:
		t.parked = append(t.parked, parkedRequest{req, t.opt.Now()})
	}
}

// justLost tells whether the job was lost to a newer generation a moment ago. Two entries that are cut off
// from each other, with a caller each, would otherwise take it from each other as fast as messages travel.
func (t *Table) justLost(j *job) bool {
	return j != nil && j.mode == lost && t.opt.Now().Sub(j.since) < t.opt.AnswerWait
}

// ownerGeneration is the generation for an owner's own ids, also when its successor acts. A successor that
// chose a higher one without sealing could start what an adopter has started already.
func (t *Table) ownerGeneration(owner ident.Incarnation) ident.Generation {
	if owner != t.opt.Self && !t.opt.Omit.Holds(rule.OwnerGeneration) {
		return ident.Generation{Counter: ident.OwnerCounter + 1, Holder: t.opt.Self}
	}
	return ident.OwnerGeneration(owner)
}

// holderOf says which entry answers for a job, as far as this one knows; zero means nobody, adopt it.
func (t *Table) holderOf(id ident.JobID, j *job) ident.Incarnation {
	if j != nil && j.mode == lost {
		if j.newest.Holder == t.opt.Self {
			return 0
		}
		return j.newest.Holder
	}
	owner := id.Key.Owner
	if owner == t.opt.Self {
		return cmp.Or(t.handedTo, t.opt.Self)
	}
	if inh := t.inherited[owner]; inh != nil && inh.complete {
		return t.heirOf(id, inh)
	}
	return cmp.Or(t.successors[owner], owner)
}

func (t *Table) holderGone(holder ident.Incarnation, id ident.JobID) bool {
	if holder == 0 {
		return true
	}
	if p := t.peers[holder]; p != nil {
		return p.gone
	}
	for _, p := range t.peerList {
		if p.up && p.address == id.Owner && holder == id.Key.Owner {
			return true
		}
	}
	return t.opt.Now().Sub(t.started) > t.opt.GoneAfter
}

func (t *Table) routeOrphan(req Request, j *job) {
	adopter := t.adopterOf(req.ID.Key)
	if adopter == t.opt.Self {
		t.adopt(req, j)
		return
	}
	req.Adopt = true
	t.forward(req, adopter)
}

func (t *Table) forward(req Request, to ident.Incarnation) {
	if req.Hops >= maxHops && !req.Adopt {
		// Entries that leave at the same time may each name the other. A seal settles it, whoever is right.
		t.routeOrphan(req, t.jobs[req.ID.Key])
		return
	}
	if req.Hops >= 2*maxHops {
		req.Answer(t.brief(req.ID, verdict.Unresolved, verdict.MayHaveRun, verdict.OwnerUnclear,
			"the entries do not agree yet on who answers for this job"))
		return
	}
	t.counts.Forwarded++
	t.requests++
	t.forwards[t.requests] = &forward{req, to}
	t.links.ToPeer(to, &wire.Msg{Kind: &wire.Msg_Forward{Forward: &wire.Forward{
		Request: t.requests, Id: req.ID.Text, Op: string(req.Op), Spec: req.Spec, Hops: req.Hops + 1, Adopt: req.Adopt,
	}}})
}

func (t *Table) handleForward(from ident.Incarnation, f *wire.Forward) {
	reply := func(a *wire.Answer) {
		t.links.ToPeer(from, &wire.Msg{Kind: &wire.Msg_Reply{Reply: &wire.Reply{Request: f.GetRequest(), Answer: a}}})
	}
	id, err := t.opt.Signer.Parse(f.GetId())
	if err != nil {
		reply(&wire.Answer{
			Id: f.GetId(), State: string(verdict.Refused), Verdict: string(verdict.NotRun),
			Reason: string(verdict.BadID), Message: err.Error(),
		})
		return
	}
	t.Do(Request{ID: id, Op: Op(f.GetOp()), Spec: f.GetSpec(), Hops: f.GetHops(), Adopt: f.GetAdopt(), Answer: reply})
}

func (t *Table) handleReply(from ident.Incarnation, r *wire.Reply) {
	f := t.forwards[r.GetRequest()]
	if f == nil || f.to != from {
		return
	}
	delete(t.forwards, r.GetRequest())
	own := r.GetAnswer().GetId() == f.req.ID.Text
	invariant.Check(own, invariant.AnswerIsOwn, func() logrus.Fields {
		return logrus.Fields{"job": f.req.ID.Key, "from": from}
	})
	if own {
		f.req.Answer(r.GetAnswer())
	}
}

// reroute asks again, elsewhere or later, what was forwarded to a peer that was lost.
func (t *Table) reroute(lostPeer ident.Incarnation) {
	for _, n := range slices.Sorted(maps.Keys(t.forwards)) {
		if f := t.forwards[n]; f.to == lostPeer {
			delete(t.forwards, n)
			t.Do(f.req)
		}
	}
}

// retryParked looks again for the entries that parked requests wait for.
func (t *Table) retryParked() {
	parked := t.parked
	t.parked = nil
	for _, p := range parked {
		if t.opt.Now().Sub(p.since) >= t.opt.AnswerWait {
			t.counts.Unresolved++
			p.req.Answer(t.brief(p.req.ID, verdict.Unresolved, verdict.MayHaveRun, verdict.OwnerUnclear,
				"the entry that answers for this job can't be reached; it is not known to be gone"))
			continue
		}
		before := len(t.parked)
		t.Do(p.req)
		if len(t.parked) > before {
			t.parked[len(t.parked)-1].since = p.since
		}
	}
}
