package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the VM was booted, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux since 2.6.39 has this clock. With another clock instead, a resumed process would not notice that its runs may have been
		// placed again, and they could run beside their successors.
		panic("boottime: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
