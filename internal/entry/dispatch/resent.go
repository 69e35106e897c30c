package dispatch

import (
	"time"

	"hillreel/internal/core/ident"
	"hillreel/internal/entry/admission"
)

// reservedShare is the part of an upstream's capacity that resent jobs leave to jobs that can still be in time. Without it,
// the resent jobs would take all capacity after a loss of entries.
const reservedShare = 0.5

// shortageMemory is how long resent jobs leave capacity to others after one of those has found too little: the time after
// which refused callers come back.
const shortageMemory = admission.RefusedRetry

// reservedForOthers reports whether a task of a resent job must leave an agent's free capacity to jobs that can still be in
// time. It need not if the upstream has no other work, if no such job lacks capacity, if the job has begun, or if the job
// would otherwise be refused.
func (t *Table) reservedForOthers(now time.Time, a *agentState, k *task) bool {
	j := k.job
	if !j.resent() || j.begun || !now.Before(j.waitUntil.Add(-lastResortMargin)) {
		return false
	}
	free, total := a.Free().CPU, a.Upstream.Total.CPU
	left := free - j.spec.Steps[k.id.Step].Each.CPU
	return free < total && float64(left) < reservedShare*float64(total) && t.othersLackRoom(now, j.route.Service)
}

// othersLackRoom reports whether a job of a service that can still be in time finds too little capacity, or did so lately.
func (t *Table) othersLackRoom(now time.Time, s ident.Service) bool {
	at, ok := t.shortAt[s]
	return t.queue(s).HasInTime() || ok && now.Sub(at) < shortageMemory
}

// resent reports whether the job's caller has probably submitted it before.
func (j *jobState) resent() bool { return j.late && !j.kept }
