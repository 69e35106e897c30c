package dispatch

import (
	"math"
	"slices"
	"time"

	"hillreel/internal/entry/placement"
)

// nearRoom is what is known of the upstreams near a task's data.
type nearRoom struct {
	// run is how long the task should take on the fastest of them; zero if there is none, or if the task has no data in one rack.
	run time.Duration
	// wait is how long the task should wait for room at any of them.
	wait time.Duration
}

// near returns what is known of the upstreams near a task's data.
func (t *Table) near(k *task) nearRoom {
	step := &k.job.spec.Steps[k.id.Step]
	if step.Prefers == "" {
		return nearRoom{}
	}
	var n nearRoom
	slots := 0
	for _, a := range t.agentList {
		if a.IsRemote(step) || !t.mayHaveRoom(a, k) {
			continue
		}
		if run := t.runTime(a, step, t.paceFor(a, step)) + t.restoreTime(k); n.run == 0 || run < n.run {
			n.run = run
		}
		slots += int(a.Upstream.Total.CPU / max(1, step.Each.CPU))
	}
	tasks := t.waitingNear[step.Prefers]
	if k.declinedAt.IsZero() {
		tasks++
	}
	n.wait = placement.NearWait(tasks, slots, t.entries, n.run)
	return n
}

// declines reports whether a task declines room away from its data at an agent's upstream, in order to wait for room near it.
func (t *Table) declines(now time.Time, a *agentState, k *task, near nearRoom) bool {
	j := k.job
	step := &j.spec.Steps[k.id.Step]
	if near.run == 0 || !a.IsRemote(step) {
		return false
	}
	room := placement.Remote{
		Expected: near.wait, Near: near.run, Here: t.runTime(a, step, t.paceFor(a, step)) + t.restoreTime(k),
		Left: j.objective - now.Sub(j.submitted), MayWait: j.waitUntil.Sub(now), Pause: lastResortMargin,
	}
	if j.begun {
		room.MayWait = math.MaxInt64
	}
	if !k.declinedAt.IsZero() {
		room.Waited = now.Sub(k.declinedAt)
	}
	return room.Wait()
}

// setDeclined records that a task waits for room near its data.
func (t *Table) setDeclined(now time.Time, k *task) {
	if k.declinedAt.IsZero() {
		k.declinedAt = now
		t.waitingNear[k.job.spec.Steps[k.id.Step].Prefers]++
		t.nearWaits++
	}
}

// clearDeclined records that a task waits no more.
func (t *Table) clearDeclined(k *task) {
	if k.declinedAt.IsZero() {
		return
	}
	k.declinedAt = time.Time{}
	rack := k.job.spec.Steps[k.id.Step].Prefers
	if t.waitingNear[rack]--; t.waitingNear[rack] == 0 {
		delete(t.waitingNear, rack)
	}
}

// NearWaits counts the tasks that have declined room away from their data, once for each time that they had to be placed.
func (t *Table) NearWaits() int64 { return t.nearWaits }

// mayHaveRoom reports whether a task need not avoid an upstream, which may take it once enough of its runs have ended.
func (t *Table) mayHaveRoom(a *agentState, k *task) bool {
	return t.couldRun(a, k) && !slices.Contains(k.avoid, a.Upstream.ID) && !t.hasMaxTasks(a, k)
}
