// Package unconfirmed decides whether upstreams that were lost together with their agents have crashed.
//
// The loss of an agent does not show whether its upstream was lost as well. That becomes known when another agent on the
// same VM reports which upstream runs there. Without this check, a crash that the agent does not survive would never be
// counted. Until then, the task may be started again, and the entry that has lost the agent may end: entries therefore tell
// each other, through agents, of the crashes that are not confirmed yet.
package unconfirmed

import (
	"slices"
	"time"

	"hillreel/internal/core/crash"
	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

const (
	// maxAge is how long an unconfirmed crash is kept. A VM that is replaced may take that long to return.
	maxAge = crash.Retention
	// maxRelayAge is how long a process tells others of an unconfirmed crash. Later they could not tell an upstream that has crashed
	// from one that was replaced since.
	maxRelayAge = 10 * time.Second
	// maxCrashes limits the unconfirmed runs; a few agents have about as many.
	maxCrashes = 1024
)

// Origin is where a process has learned of an unconfirmed crash.
type Origin string

// The origins.
const (
	// Own: this process has lost the agent.
	Own Origin = "own"
	// Relayed: another process has told of the crash.
	Relayed Origin = "relayed"
)

// Crashes holds the runs whose crash is unconfirmed. It is not safe for concurrent use.
type Crashes struct {
	// all lists the crashes in the order in which they were recorded.
	all []entry
	// byTask and byVM have the number of crashes of each task and on each VM. Most tasks that are placed, and most VMs that report their
	// upstreams, have none.
	byTask map[job.TaskID]int
	byVM   map[ident.UpstreamName]int
}

// entry is a run that was lost together with its agent.
type entry struct {
	crash  fleet.Crash
	origin Origin
	since  time.Time
	// told is set once other processes were told of the crash.
	told bool
}

// Add records an unconfirmed crash. If it is recorded already, the report counts that has heard of the run last. If there are
// maxCrashes, it drops the oldest one.
func (cs *Crashes) Add(now time.Time, c fleet.Crash, from Origin) {
	cs.removeExpired(now)
	if i := cs.find(c); i >= 0 {
		if have := &cs.all[i].crash; c.Loss != 0 && (have.Loss == 0 || c.Age > have.Age) {
			*have = c
		}
		return
	}
	if len(cs.all) >= maxCrashes {
		oldest := cs.all[0].crash
		cs.remove(func(e *entry) bool { return e.crash == oldest })
	}
	if cs.byTask == nil {
		cs.byTask, cs.byVM = make(map[job.TaskID]int), make(map[ident.UpstreamName]int)
	}
	cs.all = append(cs.all, entry{crash: c, origin: from, since: now})
	cs.byTask[c.Task]++
	cs.byVM[c.VM]++
}

// find returns the index of the recorded crash of the same task and life; -1 if there is none.
func (cs *Crashes) find(c fleet.Crash) int {
	if cs.byTask[c.Task] == 0 {
		return -1
	}
	return slices.IndexFunc(cs.all, func(e entry) bool { return e.crash.Task == c.Task && e.crash.Life.MayBe(c.Life) })
}

// remove removes the crashes for which drop returns true.
func (cs *Crashes) remove(drop func(e *entry) bool) {
	cs.all = slices.DeleteFunc(cs.all, func(e entry) bool {
		dropped := drop(&e)
		if dropped {
			decrement(cs.byTask, e.crash.Task)
			decrement(cs.byVM, e.crash.VM)
		}
		return dropped
	})
}

// decrement lowers the number of a key by one, and removes the key if that leaves none.
func decrement[K comparable](numbers map[K]int, key K) {
	if numbers[key]--; numbers[key] == 0 {
		delete(numbers, key)
	}
}

// removeExpired removes the crashes that can't be confirmed any more.
func (cs *Crashes) removeExpired(now time.Time) {
	if len(cs.all) > 0 && now.Sub(cs.all[0].since) > maxAge {
		cs.remove(func(e *entry) bool { return now.Sub(e.since) > maxAge })
	}
}

// Recent returns the unconfirmed crashes that other processes are still told of.
func (cs *Crashes) Recent(now time.Time) []fleet.Crash {
	var out []fleet.Crash
	for _, e := range cs.all {
		if now.Sub(e.since) <= maxRelayAge {
			out = append(out, e.crash)
		}
	}
	return out
}

// HasUntold reports whether other processes were not told of an own crash.
func (cs *Crashes) HasUntold() bool {
	return slices.ContainsFunc(cs.all, func(e entry) bool { return e.origin == Own && !e.told })
}

// TakeUntold returns the own crashes that other processes were not told of, which then count as told.
func (cs *Crashes) TakeUntold() []fleet.Crash {
	var out []fleet.Crash
	for i := range cs.all {
		if e := &cs.all[i]; e.origin == Own && !e.told {
			e.told = true
			out = append(out, e.crash)
		}
	}
	return out
}

// Of returns the unconfirmed crashes of a task, and when the newest of them was recorded.
func (cs *Crashes) Of(now time.Time, t job.TaskID) (all []fleet.Crash, newest time.Time) {
	if cs.byTask[t] == 0 {
		return nil, time.Time{}
	}
	for _, e := range cs.all {
		if e.crash.Task == t && now.Sub(e.since) <= maxAge {
			all, newest = append(all, e.crash), e.since
		}
	}
	return all, newest
}

// Confirmed are crashes that a report has confirmed, by their origin.
type Confirmed struct{ Own, Relayed []fleet.Crash }

// Resolve takes an agent's report of the life of the upstream that runs on its VM, and returns the crashes that the report
// confirms. A starting agent first reports the life that its previous incarnation knew. settled tells whether the agent knows
// that this life goes on. An agent that had the run itself confirms nothing: it has lived, and tells what was lost.
func (cs *Crashes) Resolve(now time.Time, agent ident.Incarnation, vm ident.UpstreamName, life ident.UpstreamLife, settled bool) Confirmed {
	var out Confirmed
	if cs.byVM[vm] == 0 {
		return out
	}
	cs.removeExpired(now)
	cs.remove(func(e *entry) bool {
		switch {
		case e.crash.VM != vm:
			return false
		case e.crash.Life.MayBe(life):
			return settled
		case e.crash.Agent == agent && agent != 0:
		case e.origin == Own:
			out.Own = append(out.Own, e.crash)
		default:
			out.Relayed = append(out.Relayed, e.crash)
		}
		return true
	})
	return out
}
