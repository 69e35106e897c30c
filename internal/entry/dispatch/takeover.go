package dispatch

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/holders"
)

// A caller that loses its connection sends its job to another entry after a pause, and its former entry may not hear that it has gone. So entries
// tell each other, through agents, which jobs they have held for long, and one that is sent such a job begins it only once the other has given
// it up. Nobody waits for that but callers who have sent their job before.

// release is a job that another entry holds and is asked to give up.
type releaseRequest struct {
	holder ident.Incarnation
	// began is when it was asked first, asked when it was last.
	firstAsked, lastAsked time.Time
	// all: every linked agent was asked, since the holder may not be there any more; else a few that pass it on.
	askedAll bool
	// left are the agents that were asked and have not said that nothing of the job is left there.
	pending map[ident.Incarnation]bool
}

// owed is the answer that an entry waits for which takes a job over.
type releaseReply struct {
	agent ident.Incarnation
	to    fleet.Takeover
}

// TakeoverEvent is a step of a takeover.
type TakeoverEvent string

// The steps of a takeover.
const (
	// TakeoverAsked: another entry holds the job, and was asked for it.
	TakeoverAsked TakeoverEvent = "asked"
	// TakeoverConfirmed: the holder has given it up.
	TakeoverConfirmed TakeoverEvent = "confirmed"
	// TakeoverSettled: the holder is not linked to any agent, and nothing of it is left at them.
	TakeoverSettled TakeoverEvent = "settled"
	// TakeoverLapsed: nobody has answered for so long that nothing can be left.
	TakeoverLapsed TakeoverEvent = "lapsed"
	// TakeoverGiven: this entry has given the job up.
	TakeoverGiven TakeoverEvent = "given_up"
)

// superseded is for callers whose job another entry has taken over.
var superseded = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Superseded}

// relays is how many agents pass a message on: one may be lost with it, and one may be out of the other entry's hearing.
const relayCount = 3

// relayAgents returns some agents that pass messages on to other entries. Where agents link to a part of the entries only, no few of them
// reach every one.
func (t *Table) relayAgents() []ident.Incarnation {
	var linked []ident.Incarnation
	for _, a := range t.agentList {
		if a.Linked {
			linked = append(linked, a.ID)
		}
	}
	if n := len(linked); n > relayCount && (t.opts.AgentLinks == 0 || t.entries <= t.opts.AgentLinks) {
		t.nextRelay++
		first := t.nextRelay % n
		linked = slices.Concat(linked[first:], linked[:first])[:relayCount]
	}
	return linked
}

// tellHeld tells other entries which jobs this one has held for long.
func (t *Table) announceHeld(now time.Time) {
	var held []job.ID
	for _, j := range t.jobs {
		if !j.kept && !now.Before(j.announceAt) {
			held = append(held, j.id)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	agents := t.relayAgents()
	for _, id := range held {
		if len(agents) > 0 {
			t.jobs[id].announceAt = now.Add(holders.AnnounceInterval)
		}
	}
	for _, a := range agents {
		t.agentsIO.AnnounceHeld(a, held)
	}
}

// Holding handles that another entry has held jobs for long.
func (t *Table) HandleHeld(now time.Time, holder ident.Incarnation, jobs []job.ID) {
	t.holders.Record(now, holder, jobs...)
}

// heldElsewhere tells whether another entry is known to hold a job.
func (t *Table) heldElsewhere(now time.Time, id job.ID) bool {
	if t.opts.Without.Has(rule.ReleaseFirst) {
		return false
	}
	_, known := t.holders.Find(now, id)
	return known || t.releases[id] != nil
}

// awaitRelease tells whether a job must wait until another entry has given it up, and asks for that.
func (t *Table) awaitRelease(now time.Time, id job.ID) bool {
	if j := t.jobs[id]; j != nil && !j.ending || !t.heldElsewhere(now, id) {
		return false
	}
	r := t.releases[id]
	if r == nil {
		holder, _ := t.holders.Find(now, id)
		r = &releaseRequest{holder: holder, firstAsked: now, pending: make(map[ident.Incarnation]bool)}
		t.releases[id] = r
		t.observer.TakeoverChanged(id, holder, 0, TakeoverAsked)
		t.ask(now, id, r, t.relayAgents())
	}
	switch {
	case now.Sub(r.firstAsked) >= t.opts.Timing.SettleAfter():
		t.endRelease(now, id, r, TakeoverLapsed)
		return t.awaitRelease(now, id) // another may hold it too
	case now.Sub(r.lastAsked) >= t.opts.Timing.KeepAlive:
		t.askAll(now, id, r)
	}
	return true
}

// ask asks some agents for a job that another entry holds.
func (t *Table) ask(now time.Time, id job.ID, r *releaseRequest, agents []ident.Incarnation) {
	r.lastAsked = now
	for _, a := range agents {
		r.pending[a] = true
		t.agentsIO.RequestRelease(a, id, r.holder)
	}
}

// askAll asks all linked agents but those that have answered.
func (t *Table) askAll(now time.Time, id job.ID, r *releaseRequest) {
	var rest []ident.Incarnation
	for _, a := range t.agentList {
		if left, asked := r.pending[a.ID]; a.Linked && (left || !asked) {
			rest = append(rest, a.ID)
		}
	}
	r.askedAll = true
	t.ask(now, id, r, rest)
}

// Released handles that nothing of a job remains at another entry, or at an agent that the entry isn't linked to.
func (t *Table) HandleReleased(now time.Time, agent ident.Incarnation, x fleet.Released) {
	r := t.releases[x.Job]
	if r == nil || r.holder != x.Holder {
		return
	}
	if x.ByHolder {
		t.endRelease(now, x.Job, r, TakeoverConfirmed)
		t.submitBelated(now)
		return
	}
	r.pending[agent] = false
	if !r.askedAll {
		t.askAll(now, x.Job, r)
	}
	for _, left := range r.pending {
		if left {
			return
		}
	}
	t.endRelease(now, x.Job, r, TakeoverSettled)
	t.submitBelated(now)
}

// released ends the wait for a job's release.
func (t *Table) endRelease(now time.Time, id job.ID, r *releaseRequest, how TakeoverEvent) {
	delete(t.releases, id)
	t.holders.Forget(id, r.holder)
	t.observer.TakeoverChanged(id, r.holder, now.Sub(r.firstAsked), how)
}

// forgetReleases forgets the questions for jobs that nobody waits for any more.
func (t *Table) dropUnusedReleases() {
	for id := range t.releases {
		if !t.isBelated(id) {
			delete(t.releases, id)
		}
	}
}

// GiveUp handles that another entry takes a job over, as an agent has passed on: its caller has gone there.
func (t *Table) HandleTakeover(now time.Time, agent ident.Incarnation, to fleet.Takeover) {
	t.holders.Record(now, to.NewHolder, to.Job)
	t.answerBelated(to.Job, superseded)
	delete(t.releases, to.Job)
	j := t.jobs[to.Job]
	if j == nil || j.kept {
		t.agentsIO.SendReleased(agent, fleet.Released{Takeover: to, ByHolder: true})
		return
	}
	t.addReply(j.id, releaseReply{agent, to})
	t.answerResubmitted(j, superseded)
	if !j.ending {
		t.observer.TakeoverChanged(j.id, to.NewHolder, now.Sub(j.submitted), TakeoverGiven)
		t.close(now, j, superseded)
		t.placeAll(now)
	}
}

// owe notes an answer that is given once nothing of a job remains.
func (t *Table) addReply(id job.ID, o releaseReply) {
	if !slices.Contains(t.replies[id], o) {
		t.replies[id] = append(t.replies[id], o)
	}
}

// payOwed answers the entries that wait for a job of which nothing remains.
func (t *Table) sendReplies(id job.ID) {
	waiting := t.replies[id]
	delete(t.replies, id)
	for _, o := range waiting {
		t.agentsIO.SendReleased(o.agent, fleet.Released{Takeover: o.to, ByHolder: true})
	}
}

// linkedAnew asks an agent that has linked for the jobs that other entries are asked to give up. What was told before may have been lost with the
// agents that it was told to, and is told again.
func (t *Table) repeatTakeovers(now time.Time, agent ident.Incarnation) {
	for _, j := range t.jobs {
		if now.Sub(j.submitted) >= holders.AnnounceAfter {
			j.announceAt = now
		}
	}
	var ids []job.ID
	for id, r := range t.releases {
		if r.askedAll {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		t.ask(now, id, t.releases[id], []ident.Incarnation{agent})
	}
}
