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

// A caller that loses its connection submits its job to another entry after a pause, and the former entry may not notice
// that the caller has gone. Therefore entries tell each other, through agents, which jobs they have held for a long time.
// An entry that receives such a job starts it only once the other entry has released it. This delays only callers that have
// submitted their job before.

// releaseRequest tracks a request to another entry to release a job.
type releaseRequest struct {
	holder ident.Incarnation
	// firstAsked and lastAsked are the times of the first and the latest request.
	firstAsked, lastAsked time.Time
	// askedAll is set if every linked agent was asked, because the holder may be gone. Otherwise only a few agents were
	// asked to forward the request.
	askedAll bool
	// pending has an entry for each agent that was asked. It is true until the agent has reported that nothing of the job
	// remains there.
	pending map[ident.Incarnation]bool
}

// releaseReply is the reply owed to an entry that takes a job over.
type releaseReply struct {
	agent    ident.Incarnation
	takeover fleet.Takeover
}

// TakeoverEvent is a step of a takeover.
type TakeoverEvent string

// The steps of a takeover.
const (
	// TakeoverAsked: another entry holds the job and was asked to release it.
	TakeoverAsked TakeoverEvent = "asked"
	// TakeoverConfirmed: the holder has released it.
	TakeoverConfirmed TakeoverEvent = "confirmed"
	// TakeoverSettled: the holder is not linked to any agent, and nothing of the job remains at the agents.
	TakeoverSettled TakeoverEvent = "settled"
	// TakeoverLapsed: there was no reply for so long that nothing of the job can remain.
	TakeoverLapsed TakeoverEvent = "lapsed"
	// TakeoverGiven: this entry has released the job.
	TakeoverGiven TakeoverEvent = "given_up"
)

// superseded is the answer to callers whose job another entry has taken over.
var superseded = Answer{State: verdict.Unresolved, Verdict: verdict.MayHaveRun, Reason: verdict.Superseded}

// relayCount is the number of agents that are asked to forward a message: one may be lost together with the message, and
// one may have no link to the other entry.
const relayCount = 3

// relayAgents returns agents that forward messages to other entries. It returns all linked agents where each agent links to
// only some of the entries, since a few agents would not reach every entry.
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

// announceHeld tells other entries which jobs this entry has held for a long time.
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

// HandleHeld handles another entry's announcement that it has held jobs for a long time.
func (t *Table) HandleHeld(now time.Time, holder ident.Incarnation, jobs []job.ID) {
	t.holders.Record(now, holder, jobs...)
}

// heldElsewhere reports whether another entry is known to hold a job.
func (t *Table) heldElsewhere(now time.Time, id job.ID) bool {
	if t.opts.Without.Has(rule.ReleaseFirst) {
		return false
	}
	_, known := t.holders.Find(now, id)
	return known || t.releases[id] != nil
}

// awaitRelease reports whether a job must wait until another entry has released it, and sends the requests for that.
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
		return t.awaitRelease(now, id) // another entry may hold it too
	case now.Sub(r.lastAsked) >= t.opts.Timing.KeepAlive:
		t.askAll(now, id, r)
	}
	return true
}

// ask asks some agents for the release of a job that another entry holds.
func (t *Table) ask(now time.Time, id job.ID, r *releaseRequest, agents []ident.Incarnation) {
	r.lastAsked = now
	for _, a := range agents {
		r.pending[a] = true
		t.agentsIO.RequestRelease(a, id, r.holder)
	}
}

// askAll asks all linked agents except those that have replied.
func (t *Table) askAll(now time.Time, id job.ID, r *releaseRequest) {
	var rest []ident.Incarnation
	for _, a := range t.agentList {
		if pending, asked := r.pending[a.ID]; a.Linked && (pending || !asked) {
			rest = append(rest, a.ID)
		}
	}
	r.askedAll = true
	t.ask(now, id, r, rest)
}

// HandleReleased handles a report that nothing of a job remains at the entry that held it or, if that entry is not linked
// to the reporting agent, at the agent.
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
	for _, pending := range r.pending {
		if pending {
			return
		}
	}
	t.endRelease(now, x.Job, r, TakeoverSettled)
	t.submitBelated(now)
}

// endRelease ends the wait for a job's release.
func (t *Table) endRelease(now time.Time, id job.ID, r *releaseRequest, how TakeoverEvent) {
	delete(t.releases, id)
	t.holders.Forget(id, r.holder)
	t.observer.TakeoverChanged(id, r.holder, now.Sub(r.firstAsked), how)
}

// dropUnusedReleases removes the release requests for jobs that no request waits for any more.
func (t *Table) dropUnusedReleases() {
	for id := range t.releases {
		if !t.isBelated(id) {
			delete(t.releases, id)
		}
	}
}

// HandleTakeover handles a message, forwarded by an agent, that another entry takes a job over because its caller has gone
// there.
func (t *Table) HandleTakeover(now time.Time, agent ident.Incarnation, takeover fleet.Takeover) {
	t.holders.Record(now, takeover.NewHolder, takeover.Job)
	t.answerBelated(takeover.Job, superseded)
	delete(t.releases, takeover.Job)
	j := t.jobs[takeover.Job]
	if j == nil || j.kept {
		t.agentsIO.SendReleased(agent, fleet.Released{Takeover: takeover, ByHolder: true})
		return
	}
	t.addReply(j.id, releaseReply{agent, takeover})
	t.answerResubmitted(j, superseded)
	if !j.ending {
		t.observer.TakeoverChanged(j.id, takeover.NewHolder, now.Sub(j.submitted), TakeoverGiven)
		t.close(now, j, superseded)
		t.placeAll(now)
	}
}

// addReply records a reply that is sent once nothing of a job remains.
func (t *Table) addReply(id job.ID, r releaseReply) {
	if !slices.Contains(t.replies[id], r) {
		t.replies[id] = append(t.replies[id], r)
	}
}

// sendReplies replies to the entries that wait for a job of which nothing remains.
func (t *Table) sendReplies(id job.ID) {
	waiting := t.replies[id]
	delete(t.replies, id)
	for _, r := range waiting {
		t.agentsIO.SendReleased(r.agent, fleet.Released{Takeover: r.takeover, ByHolder: true})
	}
}

// repeatTakeovers sends a newly linked agent the release requests that all agents were sent. It also schedules earlier
// announcements for repetition, since they may have been lost with the agents that should have forwarded them.
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
