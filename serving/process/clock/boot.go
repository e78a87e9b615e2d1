package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, including time spent suspended, as a time that
// is unrelated to the calendar. Leases are compared by it, because the monotonic clock of time.Now
// stops while the machine is suspended.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel does not provide the clock; the monotonic clock is the closest substitute.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
