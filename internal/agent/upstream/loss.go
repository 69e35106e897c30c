package upstream

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// Aboard is a run that was at an upstream when it was lost.
type Aboard struct {
	fleet.RunRef
	// Age is how long the run had been there when the upstream last answered; zero if it has not answered since.
	Age time.Duration
}

// Loss is the end of an upstream that runs were at, as far as its agent can tell: it has given no answer until their lease lapsed, or
// another life has answered in its place.
type Loss struct {
	Life ident.UpstreamLife
	Why  fleet.Reason
	// Silent is for how long the upstream had given no answer.
	Silent time.Duration
	// Aboard lists the runs that were there, in the order of their tasks.
	Aboard []Aboard
}

// heard notes that the present life has answered a call.
func (k *Keeper) heard(now time.Time) { k.heardAt = now }

// noteLoss tells of the loss of the upstream with the runs that are there.
func (k *Keeper) noteLoss(now time.Time, life ident.UpstreamLife, why fleet.Reason) {
	if len(k.runs) == 0 {
		return
	}
	l := Loss{Life: life, Why: why, Silent: now.Sub(k.heardAt)}
	for _, r := range k.sorted() {
		l.Aboard = append(l.Aboard, Aboard{r.ref(), max(k.heardAt.Sub(r.begun), 0)})
	}
	k.observer.Lost(l)
}
