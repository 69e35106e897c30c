package dispatch

import "time"

// reserve is the part of an upstream's room that jobs which were sent before leave to those that can still be in time: after a loss of
// entries they would take it all.
const reservedShare = 0.5

// reserved tells whether an agent's room is kept for jobs that can still be in time, and this task is of another. Where an upstream
// has nothing else, or the job would be refused otherwise, it takes what there is.
func (t *Table) reservedForOthers(now time.Time, a *agentState, k *task) bool {
	j := k.job
	if !j.resent() || j.begun || !now.Before(j.waitUntil.Add(-lastResortMargin)) {
		return false
	}
	free, total := a.Free().CPU, a.Upstream.Total.CPU
	left := free - j.spec.Steps[k.id.Step].Each.CPU
	return free < total && float64(left) < reservedShare*float64(total)
}

// sentBefore tells whether the job's caller has probably sent it before.
func (j *jobState) resent() bool { return j.late && !j.kept }
