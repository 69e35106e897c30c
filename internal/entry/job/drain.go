package job

import (
	"maps"
	"slices"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
	"hillreel/internal/link/wire"
)

// handOverChunk bounds the ended jobs in one message.
const handOverChunk = 200

// inheritance is what a leaving entry handed over: all ids of one owner, but for those listed.
type inheritance struct {
	from ident.Incarnation
	// complete is set by the last message; before it nothing is inherited.
	complete bool
	// inProgress: the leaving entry still ends these itself.
	inProgress map[uint64]bool
	// askAgents: used, but only the agents know the outcome.
	askAgents map[uint64]bool
	// watermark: ids minted up to it may have been used and forgotten.
	watermark int64
}

// Drain begins to leave: no more ids, no new jobs of one's own, and one successor for the unused ids.
// It hands over at most once: two successors could start the same task.
func (t *Table) Drain() {
	if t.leaving {
		return
	}
	t.leaving = true
	var successor ident.Incarnation
	if t.anyPeer() {
		successor = t.adopterOf(ident.Key{Owner: t.opt.Self})
	}
	for _, p := range t.peerList {
		if p.up {
			t.links.ToPeer(p.inc, &wire.Msg{Kind: &wire.Msg_Leaving{Leaving: &wire.Leaving{}}})
		}
	}
	if successor == 0 || successor == t.opt.Self {
		return
	}
	t.handedTo = successor
	t.handOverAll()
}

// handOverAll tells the successor what it answers for. It is sent again on each new link to the same
// successor, who then knows of no less.
func (t *Table) handOverAll() {
	t.handOver(t.opt.Self)
	for _, owner := range slices.Sorted(maps.Keys(t.inherited)) {
		if t.inherited[owner].complete {
			t.handOver(owner)
		}
	}
}

// Leaving tells whether Drain was called.
func (t *Table) Leaving() bool { return t.leaving }

func (t *Table) handOver(owner ident.Incarnation) {
	h := &wire.HandOver{Owner: uint64(owner), WatermarkMs: t.ids.Watermark()}
	if inh := t.inherited[owner]; inh != nil {
		h.WatermarkMs = max(h.WatermarkMs, inh.watermark)
		for seq := range inh.inProgress {
			h.AskAgents = append(h.AskAgents, seq)
		}
		for seq := range inh.askAgents {
			h.AskAgents = append(h.AskAgents, seq)
		}
	}
	for key, j := range t.jobs {
		if key.Owner != owner {
			continue
		}
		switch {
		case j.mode == ended && j.outcome.state.Final():
			h.Ended = append(h.Ended, endedJob(j))
		case j.mode != ended && j.mode != lost && j.gen == ident.OwnerGeneration(owner):
			h.InProgress = append(h.InProgress, key.Seq)
		default:
			h.AskAgents = append(h.AskAgents, key.Seq)
		}
		if len(h.Ended) == handOverChunk {
			t.sendHandOver(h)
			h = &wire.HandOver{Owner: uint64(owner), WatermarkMs: h.GetWatermarkMs()}
		}
	}
	h.Last = true
	t.sendHandOver(h)
}

func (t *Table) sendHandOver(h *wire.HandOver) {
	t.links.ToPeer(t.handedTo, &wire.Msg{Kind: &wire.Msg_HandOver{HandOver: h}})
}

func endedJob(j *job) *wire.EndedJob {
	return &wire.EndedJob{Key: j.key.Wire(), MintedMs: j.id.MintedMs, BodyDigest: j.digest, Answer: j.outcome.answer()}
}

// tellSuccessor passes on the outcome of a job that was in progress when this entry handed over.
func (t *Table) tellSuccessor(j *job) {
	if t.handedTo == 0 || !j.outcome.state.Final() {
		return
	}
	t.sendHandOver(&wire.HandOver{
		Owner: uint64(j.key.Owner), Ended: []*wire.EndedJob{endedJob(j)}, WatermarkMs: t.ids.Watermark(),
	})
}

func (t *Table) handleHandOver(from ident.Incarnation, h *wire.HandOver) {
	owner := ident.Incarnation(h.GetOwner())
	inh := t.inherited[owner]
	if inh == nil || inh.from != from {
		inh = &inheritance{from: from, inProgress: make(map[uint64]bool), askAgents: make(map[uint64]bool)}
		t.inherited[owner] = inh
	}
	inh.watermark = max(inh.watermark, h.GetWatermarkMs())
	for _, seq := range h.GetInProgress() {
		inh.inProgress[seq] = true
	}
	for _, seq := range h.GetAskAgents() {
		inh.askAgents[seq] = true
	}
	for _, e := range h.GetEnded() {
		delete(inh.inProgress, e.GetKey().GetSeq())
		t.keepEnded(e)
	}
	// An entry that leaves itself takes nothing over: what it was given stays with the agents.
	if !h.GetLast() || t.leaving && !inh.complete {
		return
	}
	inh.complete = true
	t.links.ToPeer(from, &wire.Msg{Kind: &wire.Msg_HandOverAck{HandOverAck: &wire.HandOverAck{Owner: h.GetOwner()}}})
	t.retryParked()
}

// keepEnded keeps an outcome that another entry reached.
func (t *Table) keepEnded(e *wire.EndedJob) {
	id, err := t.opt.Signer.Parse(e.GetAnswer().GetId())
	if err != nil || t.jobs[id.Key] != nil || t.expired(id) {
		return
	}
	j := t.newJob(id, ident.OwnerGeneration(id.Key.Owner))
	j.digest, j.outcome = e.GetBodyDigest(), pack(e.GetAnswer())
	t.setMode(j, ended)
	t.keepAnswer(j)
}

// heirOf says who answers for an inherited id that is not in this table.
func (t *Table) heirOf(id ident.JobID, inh *inheritance) ident.Incarnation {
	switch {
	case inh.askAgents[id.Key.Seq]:
		return 0
	case inh.inProgress[id.Key.Seq]:
		return inh.from
	case id.MintedMs <= inh.watermark && t.opt.Omit.Holds(rule.ForgottenWatermark):
		return 0
	case t.handedTo != 0:
		return t.handedTo
	}
	return t.opt.Self
}

func (t *Table) handleHandOverAck(from ident.Incarnation, h *wire.HandOverAck) {
	if from != t.handedTo {
		return
	}
	owner := ident.Incarnation(h.GetOwner())
	t.successors[owner] = from
	for _, p := range t.peerList {
		if p.up && p.inc != from {
			t.links.ToPeer(p.inc, successorMsg(owner, from))
		}
	}
}

func successorMsg(owner, successor ident.Incarnation) *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Successor{Successor: &wire.Successor{
		Owner: uint64(owner), Successor: uint64(successor),
	}}}
}

func (t *Table) handleSuccessor(s *wire.Successor) {
	t.successors[ident.Incarnation(s.GetOwner())] = ident.Incarnation(s.GetSuccessor())
}
