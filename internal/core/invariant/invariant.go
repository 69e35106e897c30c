// Package invariant checks invariants at run time, in production too. A violation is counted and logged; in tests and in the demo it also
// ends the process.
package invariant

import (
	"expvar"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Name is the name of an invariant, as it appears in logs and metrics.
type Name string

// The invariants.
const (
	// RoomKept: an agent starts nothing beyond the room of its upstream (internal/agent/upstream).
	RoomKept Name = "room_kept"
	// AnsweredOnce: a job has exactly one final answer (internal/entry/dispatch).
	AnsweredOnce Name = "answered_once"
	// NotRunIsTrue: a job that is reported as not_run has no runs at any agent (internal/entry/dispatch).
	NotRunIsTrue Name = "not_run_is_true"
	// ConfigOnlyGrows: a process never returns to an older configuration (internal/entry/node).
	ConfigOnlyGrows Name = "config_only_grows"
)

var (
	counts = expvar.NewMap("invariant_violations")
	total  atomic.Int64
	fatal  atomic.Bool
)

// SetFatal controls whether later violations panic. Tests and the demo turn this on.
func SetFatal(on bool) { fatal.Store(on) }

// Check counts and logs a violation of the invariant name unless ok. It calls detail, which may be nil, only in that case.
func Check(ok bool, name Name, detail func() logrus.Fields) {
	if ok {
		return
	}
	total.Add(1)
	counts.Add(string(name), 1)
	fields := logrus.Fields{"invariant": name}
	if detail != nil {
		for k, v := range detail() {
			fields[k] = v
		}
	}
	logrus.WithFields(fields).Error("invariant_violated")
	if fatal.Load() {
		panic("invariant violated: " + string(name))
	}
}

// Violations returns the number of violations in this process.
func Violations() int64 { return total.Load() }
