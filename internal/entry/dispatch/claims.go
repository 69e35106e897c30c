package dispatch

import (
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
	"hillreel/internal/entry/claim"
	"hillreel/internal/entry/queue"
)

// claimPause is the shortest time between two reviews of the claims while jobs wait, so that their cost doesn't grow with the messages
// about room.
const claimPause = 5 * time.Millisecond

// maxClaimed bounds the waiting tasks that are counted for claims.
const maxClaimed = 64

// claimState holds this entry's claims at agents.
type claimState struct {
	sets map[ident.Service]*claim.Set
	// reviewedAt is when the claims were last brought up to date.
	reviewedAt time.Time
	// counts counts what was sent and received.
	counts ClaimCounts
}

// ClaimCounts counts the messages about claims since the Table was made.
type ClaimCounts struct {
	// Sent counts claims, Withdrawn those among them for no tasks, and Reserved the messages about room that was reserved for this entry.
	// Used counts the tasks that were then ordered there at once.
	Sent      int64 `json:"sent"`
	Withdrawn int64 `json:"withdrawn"`
	Reserved  int64 `json:"reserved"`
	Used      int64 `json:"used"`
}

// ClaimCounts returns what was sent and received about claims.
func (t *Table) ClaimCounts() ClaimCounts { return t.claims.counts }

// claimsRoom reports whether this entry claims room for jobs that wait.
func (t *Table) claimsRoom() bool { return t.opts.ClaimFrom > 0 && t.entries >= t.opts.ClaimFrom }

// claimSet returns the claims for tasks of a service.
func (t *Table) claimSet(s ident.Service) *claim.Set {
	c := t.claims.sets[s]
	if c == nil {
		c = claim.New(t.rng)
		t.claims.sets[s] = c
	}
	return c
}

// updateClaims sends the claims that are due for the tasks that still wait after all room was offered to them.
func (t *Table) updateClaims(now time.Time) {
	due := now.Sub(t.claims.reviewedAt) >= claimPause
	if due {
		t.claims.reviewedAt = now
	}
	for _, q := range t.queueList {
		c := t.claimSet(q.Service)
		switch {
		case q.Len() == 0 || !t.claimsRoom():
			t.sendClaims(c.Withdraw())
		case c.Len() == 0 || due:
			t.reviewClaims(now, q, c)
		}
	}
}

// reviewClaims brings the claims for one service up to date.
func (t *Table) reviewClaims(now time.Time, q *queue.Queue[*jobState], c *claim.Set) {
	if t.contact.listenRemaining > 0 && !t.opts.Without.Has(rule.HearEnds) {
		return
	}
	first, count := t.waitingForRoom(now, q)
	for _, k := range first {
		if agents := t.claimCandidates(now, k); len(agents) > 0 {
			t.sendClaims(c.Update(now, t.claimNeed(k, count), agents))
			return
		}
	}
	t.sendClaims(c.Withdraw())
}

// sendClaims sends claims to their agents.
func (t *Table) sendClaims(all []claim.Message) {
	for _, m := range all {
		t.claims.counts.Sent++
		if m.Claim.Tasks == 0 {
			t.claims.counts.Withdrawn++
		}
		t.agentsIO.Claim(m.Agent, m.Claim)
	}
}

// maxClaimSearches bounds the tasks for which agents are looked for: those before the last one can run nowhere at present.
const maxClaimSearches = 4

// waitingForRoom returns the first task of each of the first steps that wait for room, and counts their tasks. Tasks that
// have to be started alone are left out.
func (t *Table) waitingForRoom(now time.Time, q *queue.Queue[*jobState]) (first []*task, count int) {
	for _, j := range q.All() {
		for i := range j.steps {
			found := false
			for _, k := range j.steps[i].waiting {
				if t.caution(now, k) != crash.Unsuspected {
					continue
				}
				if !found && len(first) < maxClaimSearches {
					first = append(first, k)
				}
				found = true
				count++
			}
		}
		if count >= maxClaimed {
			break
		}
	}
	return first, count
}

// claimNeed returns what to claim for some tasks, each as large as the first that could run somewhere.
func (t *Table) claimNeed(first *task, count int) claim.Need {
	r := first.job.Rank()
	return claim.Need{Tasks: min(count, maxClaimed), Each: t.step(first).Each, Begun: r.Begun, Late: r.Late, PlaceBy: r.PlaceBy}
}

// step returns the step of a task.
func (t *Table) step(k *task) *job.Step { return &k.job.spec.Steps[k.id.Step] }

// claimCandidates lists the agents whose upstreams could take a task if they had room.
func (t *Table) claimCandidates(now time.Time, k *task) []ident.Incarnation {
	var out []ident.Incarnation
	prefer := t.preferenceOf(now, k)
	for _, a := range t.agentList {
		if !t.couldRun(a, k) {
			continue
		}
		offer := t.offer(now, a, k)
		if (offer.InTime() || offer.Take()) && !prefer.setsAside(a) {
			out = append(out, a.ID)
		}
	}
	return out
}

// useClaim records that an order was sent to an agent.
func (t *Table) useClaim(a *agentState, o *fleet.Order) {
	if c := t.claims.sets[a.Upstream.Service]; c != nil {
		c.Use(a.ID, len(o.Tasks))
	}
}

// forgetClaims forgets the claims at an agent whose session has ended.
func (t *Table) forgetClaims(agent ident.Incarnation) {
	for _, c := range t.claims.sets {
		c.Forget(agent) // the order does not matter
	}
}

const (
	// staleRoom is the age from which on a report of room is doubted: an agent with news reports them to an entry after 10 ms at the
	// soonest, and a message takes a few.
	staleRoom = 15 * time.Millisecond
	// fewTasks: less room than for so many tasks is probably taken by another entry before this one's order arrives.
	fewTasks = 4
)

// isProbablyTaken reports whether another entry has probably taken the room at an agent, so that it is better to claim room there: little
// was left beside other work, some time ago. A job that would otherwise be refused tries it. So does every job while entries don't claim.
func (t *Table) isProbablyTaken(now time.Time, a *agentState, k *task) bool {
	if !t.claimsRoom() || now.Sub(a.ClockReadAt) <= staleRoom || a.Room().Reserved != (job.Resources{}) {
		return false
	}
	free := a.Free().CPU
	hasOtherWork := free < a.Upstream.Total.CPU
	return hasOtherWork && free < fewTasks*t.step(k).Each.CPU && now.Before(k.job.waitUntil.Add(-lastResortMargin))
}

// placeReserved places waiting tasks in the room that an agent has reported. It counts those that use room that was reserved for this
// entry.
func (t *Table) placeReserved(now time.Time, a *agentState) {
	if a.Room().Reserved == (job.Resources{}) {
		t.placeAt(now, a)
		return
	}
	t.claims.counts.Reserved++
	before := len(a.runs)
	t.placeAt(now, a)
	t.claims.counts.Used += int64(len(a.runs) - before)
}
