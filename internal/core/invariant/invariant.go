// Package invariant asserts, at run time and always, what must hold. A violation is counted and logged;
// in tests and in the demo it ends the process.
package invariant

import (
	"expvar"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Name is an invariant's name, as counted in expvar.
type Name string

// The invariants.
const (
	// RoomKept: an agent starts nothing beyond its upstream's room (internal/agent/upstream).
	RoomKept Name = "room_kept"
	// AnsweredOnce: a job has one final answer (internal/entry/dispatch).
	AnsweredOnce Name = "answered_once"
	// NotRunIsTrue: a job that is called not_run has nothing at any agent (internal/entry/dispatch).
	NotRunIsTrue Name = "not_run_is_true"
	// ConfigOnlyGrows: a process never goes back to an older configuration (internal/entry/node).
	ConfigOnlyGrows Name = "config_only_grows"
)

var (
	counts = expvar.NewMap("invariant_violations")
	total  atomic.Int64
	fatal  atomic.Bool
)

// SetFatal makes every later violation panic. Tests and the demo set it.
func SetFatal(on bool) { fatal.Store(on) }

// Check counts a violation of name unless ok. detail is called only then.
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

// Violations returns how many there were in this process.
func Violations() int64 { return total.Load() }
