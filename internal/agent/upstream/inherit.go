package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
)

// A task that may crash its upstream can take it while its agent, and all who would tell of the loss, end as well. The agent's row has
// its run ahead of the start, so that the next process can tell of a loss that nobody has seen: if the life that the run was started
// at is gone, and nothing has told how the run ended, it was lost with that.

// inherited is a run that an earlier process of the agent has started alone.
type inherited struct {
	life ident.UpstreamLife
	run  fleet.RunRef
}

// AloneNoted takes in that the agent's row has a run that is about to be started alone.
func (k *Keeper) AloneNoted(now time.Time, run fleet.RunRef) {
	k.noted = run
	k.startAlone(now)
}

// Inherit takes in which run an earlier process of the agent has started alone at a life.
func (k *Keeper) Inherit(life ident.UpstreamLife, run fleet.RunRef) {
	if run == (fleet.RunRef{}) || k.without.Off(rule.CrashNoted) {
		return
	}
	k.inherited = inherited{life, run}
	if k.lives.Past(life) {
		k.loseInherited(life)
	}
}

// loseInherited tells of the loss of the run that was inherited, if it was at a life that is gone. How old it was nobody knows.
func (k *Keeper) loseInherited(life ident.UpstreamLife) {
	n := k.inherited
	if n.life != life || n.run == (fleet.RunRef{}) {
		return
	}
	k.inherited = inherited{}
	l := Loss{Life: life, Why: fleet.UpstreamGone, Runs: []LostRun{{RunRef: n.run}}}
	k.observer.Lost(l)
	k.entries.Lost(l)
}

// settleInherited forgets the run that was inherited once its upstream, which lives, does not list it.
func (k *Keeper) settleInherited(isListed func(fleet.RunRef) bool) {
	if k.inherited.life == k.life && !isListed(k.inherited.run) {
		k.inherited = inherited{}
	}
}
