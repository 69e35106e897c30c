package job

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
)

// team is what fair sharing needs to know of one team, by start-time fair queueing: each job of the team is
// tagged as if the team had its share of the slots to itself. A team that floods pushes its own tags into
// the future, and nobody else's.
type team struct {
	// finish is when the team's work so far would be done on its share, from the table's start.
	finish time.Duration
}

// idleAfter is how long after its work is done a team still counts as active.
const idleAfter = time.Second

// rateWeight is the share of the newest second in the measured rate of work.
const rateWeight = 0.3

// tag gives a job its place in its team's share, or refuses it: it could not begin in time. wait is how
// long it would be before it begins.
func (t *Table) tag(j *job) (wait time.Duration, why verdict.Reason) {
	name := ident.Team(j.spec.GetTeam())
	f := t.teams[name]
	if f == nil {
		f = &team{}
		t.teams[name] = f
	}
	if t.waiting == len(j.queue) {
		// Nothing else waits: whoever used more than its share took it from nobody.
		f.finish = j.begun
	}
	start := max(j.begun, f.finish)
	wait = start - j.begun
	if wait > t.opt.MaxWait {
		return wait, verdict.Overloaded
	}
	if j.deadline > 0 && start >= j.deadline {
		return wait, verdict.Overloaded
	}
	share := t.shareOf(name)
	f.finish = start + time.Duration(float64(t.workSeen(j))/(t.capacity()*share))
	// Alone, a team is ordered by arrival: its tags run ahead only as far as the capacity is underrated.
	if share < 1 {
		j.tag = start
	}
	return wait, ""
}

// workSeen is the job's work by what was learned. What is declared must not refuse anybody.
func (t *Table) workSeen(j *job) time.Duration {
	var sum time.Duration
	for i := range j.tasks {
		sum += t.opt.Estimate.Seen(t.kindOf(j, uint32(i)))
	}
	return sum
}

// shareOf is a team's part of the capacity: its quota among those of the teams that are active.
func (t *Table) shareOf(name ident.Team) float64 {
	now := t.opt.Now().Sub(t.started)
	sum := 0.0
	for other, f := range t.teams {
		if other == name || f.finish+idleAfter > now {
			sum += t.view.Quota(other)
			continue
		}
		delete(t.teams, other)
	}
	return t.view.Quota(name) / sum
}

// capacity is how many slots this entry may count on: its part of all slots, or what it has been using, if
// that is more.
func (t *Table) capacity() float64 {
	slots, entries := 0, 1
	for _, a := range t.agentList {
		if a.up && !a.leaving {
			slots += a.usable()
		}
	}
	for _, p := range t.peerList {
		if p.up && !p.leaving {
			entries++
		}
	}
	return max(float64(slots)/float64(entries), t.workRate, 1)
}

// measureRate follows how much work a second this entry's tasks do, in slots.
func (t *Table) measureRate() {
	now := t.opt.Now()
	passed := now.Sub(t.rateSeen)
	if passed < time.Second {
		return
	}
	t.workRate += rateWeight * (t.workDone.Seconds()/passed.Seconds() - t.workRate)
	t.workDone, t.rateSeen = 0, now
}
