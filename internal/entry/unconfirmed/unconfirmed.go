// Package doubt decides whether upstreams that were lost together with their agents have crashed.
//
// A run that was lost with its agent says nothing of its upstream: whether that was lost as well shows only once another agent on the VM tells
// which one stands there. Without it a crash that its agent does not survive would count for nothing.
package unconfirmed

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

const (
	// keepFor is how long a VM may take to be back with another upstream: agents and upstreams that end are back within seconds.
	maxAge = 10 * time.Second
	// most bounds the runs in doubt: those of a few agents.
	maxCrashes = 1024
)

// List holds the runs that are in doubt. One goroutine uses it.
type Crashes struct{ all []entry }

// entry is a run that was lost with its agent.
type entry struct {
	crash fleet.Crash
	since time.Time
}

// Add notes a crash of which it is in doubt whether it was one.
func (l *Crashes) Add(now time.Time, c fleet.Crash) {
	if len(l.all) < maxCrashes {
		l.all = append(l.all, entry{c, now})
	}
}

// Decide takes in which upstream an agent tells of on a VM, and returns the crashes that this makes certain. An agent that begins
// tells first of the upstream that its former life knew; settled is whether it knows that this one lives.
func (l *Crashes) Resolve(now time.Time, vm ident.UpstreamName, stands ident.UpstreamID, settled bool) []fleet.Crash {
	var lost []fleet.Crash
	l.all = slices.DeleteFunc(l.all, func(e entry) bool {
		if e.crash.VM != vm {
			return now.Sub(e.since) > maxAge
		}
		if e.crash.Life.ID != stands {
			lost = append(lost, e.crash)
			return true
		}
		return settled || now.Sub(e.since) > maxAge
	})
	return lost
}
