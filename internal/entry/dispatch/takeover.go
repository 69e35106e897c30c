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
type release struct {
	holder ident.Incarnation
	// began is when it was asked first, asked when it was last.
	began, asked time.Time
	// all: every linked agent was asked, since the holder may not be there any more; else a few that pass it on.
	all bool
	// left are the agents that were asked and have not said that nothing of the job is left there.
	left map[ident.Incarnation]bool
}

// owed is the answer that an entry waits for which takes a job over.
type owed struct {
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
const relays = 3

// relayAgents returns some agents that pass messages on to other entries. Where agents link to a part of the entries only, no few of them
// reach every one.
func (t *Table) relayAgents() []ident.Incarnation {
	var linked []ident.Incarnation
	for _, a := range t.order {
		if a.Linked {
			linked = append(linked, a.ID)
		}
	}
	if n := len(linked); n > relays && (t.opts.AgentLinks == 0 || t.entries <= t.opts.AgentLinks) {
		t.relay++
		first := t.relay % n
		linked = slices.Concat(linked[first:], linked[:first])[:relays]
	}
	return linked
}

// tellHeld tells other entries which jobs this one has held for long.
func (t *Table) tellHeld(now time.Time) {
	var held []job.ID
	for _, j := range t.jobs {
		if !j.kept && !now.Before(j.tellAt) {
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
			t.jobs[id].tellAt = now.Add(holders.TellEvery)
		}
	}
	for _, a := range agents {
		t.agentsIO.Holding(a, held)
	}
}

// Holding handles that another entry has held jobs for long.
func (t *Table) Holding(now time.Time, holder ident.Incarnation, jobs []job.ID) {
	t.elsewhere.Told(now, holder, jobs...)
}

// heldElsewhere tells whether another entry is known to hold a job.
func (t *Table) heldElsewhere(now time.Time, id job.ID) bool {
	if t.opts.Without.Off(rule.ReleaseFirst) {
		return false
	}
	_, known := t.elsewhere.Of(now, id)
	return known || t.releases[id] != nil
}

// awaitRelease tells whether a job must wait until another entry has given it up, and asks for that.
func (t *Table) awaitRelease(now time.Time, id job.ID) bool {
	if j := t.jobs[id]; j != nil && !j.ending || !t.heldElsewhere(now, id) {
		return false
	}
	r := t.releases[id]
	if r == nil {
		holder, _ := t.elsewhere.Of(now, id)
		r = &release{holder: holder, began: now, left: make(map[ident.Incarnation]bool)}
		t.releases[id] = r
		t.observer.TakenOver(id, holder, 0, TakeoverAsked)
		t.ask(now, id, r, t.relayAgents())
	}
	switch {
	case now.Sub(r.began) >= t.opts.Timing.SettleAfter():
		t.released(now, id, r, TakeoverLapsed)
		return t.awaitRelease(now, id) // another may hold it too
	case now.Sub(r.asked) >= t.opts.Timing.KeepAlive:
		t.askAll(now, id, r)
	}
	return true
}

// ask asks some agents for a job that another entry holds.
func (t *Table) ask(now time.Time, id job.ID, r *release, agents []ident.Incarnation) {
	r.asked = now
	for _, a := range agents {
		r.left[a] = true
		t.agentsIO.Release(a, id, r.holder)
	}
}

// askAll asks all linked agents but those that have answered.
func (t *Table) askAll(now time.Time, id job.ID, r *release) {
	var rest []ident.Incarnation
	for _, a := range t.order {
		if left, asked := r.left[a.ID]; a.Linked && (left || !asked) {
			rest = append(rest, a.ID)
		}
	}
	r.all = true
	t.ask(now, id, r, rest)
}

// Released handles that nothing of a job remains at another entry, or at an agent that the entry isn't linked to.
func (t *Table) Released(now time.Time, agent ident.Incarnation, x fleet.Released) {
	r := t.releases[x.Job]
	if r == nil || r.holder != x.Holder {
		return
	}
	if x.ByHolder {
		t.released(now, x.Job, r, TakeoverConfirmed)
		t.takeBelated(now)
		return
	}
	r.left[agent] = false
	if !r.all {
		t.askAll(now, x.Job, r)
	}
	for _, left := range r.left {
		if left {
			return
		}
	}
	t.released(now, x.Job, r, TakeoverSettled)
	t.takeBelated(now)
}

// released ends the wait for a job's release.
func (t *Table) released(now time.Time, id job.ID, r *release, how TakeoverEvent) {
	delete(t.releases, id)
	t.elsewhere.Forget(id, r.holder)
	t.observer.TakenOver(id, r.holder, now.Sub(r.began), how)
}

// forgetReleases forgets the questions for jobs that nobody waits for any more.
func (t *Table) forgetReleases() {
	for id := range t.releases {
		if !t.isBelated(id) {
			delete(t.releases, id)
		}
	}
}

// GiveUp handles that another entry takes a job over, as an agent has passed on: its caller has gone there.
func (t *Table) GiveUp(now time.Time, agent ident.Incarnation, to fleet.Takeover) {
	t.elsewhere.Told(now, to.By, to.Job)
	t.answerBelated(to.Job, superseded)
	delete(t.releases, to.Job)
	j := t.jobs[to.Job]
	if j == nil || j.kept {
		t.agentsIO.Released(agent, fleet.Released{Takeover: to, ByHolder: true})
		return
	}
	t.owe(j.id, owed{agent, to})
	t.answerAgain(j, superseded)
	if !j.ending {
		t.observer.TakenOver(j.id, to.By, now.Sub(j.submitted), TakeoverGiven)
		t.close(now, j, superseded)
		t.pump(now)
	}
}

// owe notes an answer that is given once nothing of a job remains.
func (t *Table) owe(id job.ID, o owed) {
	if !slices.Contains(t.owed[id], o) {
		t.owed[id] = append(t.owed[id], o)
	}
}

// payOwed answers the entries that wait for a job of which nothing remains.
func (t *Table) payOwed(id job.ID) {
	waiting := t.owed[id]
	delete(t.owed, id)
	for _, o := range waiting {
		t.agentsIO.Released(o.agent, fleet.Released{Takeover: o.to, ByHolder: true})
	}
}

// linkedAnew asks an agent that has linked for the jobs that other entries are asked to give up. What was told before may have been lost with the
// agents that it was told to, and is told again.
func (t *Table) linkedAnew(now time.Time, agent ident.Incarnation) {
	for _, j := range t.jobs {
		if now.Sub(j.submitted) >= holders.TellAfter {
			j.tellAt = now
		}
	}
	var ids []job.ID
	for id, r := range t.releases {
		if r.all {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		t.ask(now, id, t.releases[id], []ident.Incarnation{agent})
	}
}
