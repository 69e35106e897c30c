//go:build !linux

package boottime

import "time"

var start = time.Now()

// sinceBoot is the time since the process began. Elsewhere than on Linux, where hillreel runs, it may not count suspensions.
func sinceBoot() time.Duration { return time.Since(start) }
