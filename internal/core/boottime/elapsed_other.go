//go:build !linux

package boottime

import "time"

var start = time.Now()

// sinceBoot returns the time since the process began. hillreel runs on Linux; on other systems, suspensions may not be counted.
func sinceBoot() time.Duration { return time.Since(start) }
