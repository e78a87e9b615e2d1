package clock

import (
	"sync"
	"time"
)

// epoch is the start of 1970 by the time of day at the start of the process. It has a
// steady part, so that differences to it don't follow later jumps.
var epoch = func() time.Time {
	now := time.Now()
	return now.Add(-time.Duration(now.UnixNano()))
}()

// Steady returns the time from 1970 to t as a number that grows evenly: unlike t.UnixNano
// it does not follow a time of day that jumps.
func Steady(t time.Time) time.Duration { return t.Sub(epoch) }

const (
	// smallestJump is the least change of the time of day against the clock since boot that
	// is no drift: clocks that are kept right are changed by less at a time.
	minJump = 500 * time.Millisecond
	// jumpTrusted is how long a change has to last before the calendar follows it.
	jumpHoldTime = time.Minute
)

// Calendar tells the time of day and passes over jumps that are taken back. It is safe for
// several goroutines.
type Calendar struct {
	mu sync.Mutex
	// offset is the time of day at the boot of the machine, as it is trusted.
	offset time.Duration
	// jumpedAt is since when the time of day has been apart from that, zero when it is not.
	jumpedAt time.Time
}

// NewCalendar returns a calendar that trusts the time of day at this moment. Boot is
// Boot's time.
func NewCalendar(day, boot time.Time) *Calendar { return &Calendar{offset: clockOffset(day, boot)} }

// At returns the time of day for what a machine's clocks show.
func (c *Calendar) At(day, boot time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := clockOffset(day, boot)
	switch jump := offset - c.offset; {
	case jump.Abs() < minJump:
		c.offset, c.jumpedAt = offset, time.Time{}
	case c.jumpedAt.IsZero():
		c.jumpedAt = boot
	case boot.Sub(c.jumpedAt) >= jumpHoldTime:
		c.offset, c.jumpedAt = offset, time.Time{}
	}
	return boot.Add(c.offset)
}

// Now returns the time of day now.
func (c *Calendar) Now() time.Time { return c.At(time.Now(), Boot()) }

func clockOffset(day, boot time.Time) time.Duration {
	return time.Duration(day.UnixNano() - boot.UnixNano())
}
