package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, time spent suspended included, as a
// time without a relation to the calendar. Whoever acts on a lease compares by it:
// time.Now stands still while the machine is suspended.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel lacks the clock; the monotonic one is the nearest.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
