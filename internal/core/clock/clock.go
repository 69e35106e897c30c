// Package clock gives the time that retention is counted by: the wall clock read once, at the start, and
// from then on a clock that only goes forward. A wall clock that jumps later does not matter.
package clock

import "time"

// New returns a clock anchored at the present wall time.
func New() func() time.Time {
	start := time.Now()
	wall := start.Round(0)
	// time.Since uses the monotonic reading of start.
	return func() time.Time { return wall.Add(time.Since(start)) }
}
