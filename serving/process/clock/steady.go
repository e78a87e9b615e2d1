package clock

import (
	"sync"
	"time"
)

// epoch is the start of 1970 by the wall clock at the start of the process. It has a monotonic
// reading, so that differences to it are not affected by later jumps of the wall clock.
var epoch = func() time.Time {
	now := time.Now()
	return now.Add(-time.Duration(now.UnixNano()))
}()

// Monotonic returns the time from 1970 to t by the monotonic clock: unlike t.UnixNano it is not
// affected by jumps of the wall clock.
func Monotonic(t time.Time) time.Duration { return t.Sub(epoch) }

const (
	// minJump is the smallest change of the wall clock relative to the clock since boot that counts
	// as a jump and not as drift: synchronized clocks are adjusted by less at a time.
	minJump = 500 * time.Millisecond
	// jumpHoldTime is how long a jump has to last before the calendar follows it.
	jumpHoldTime = time.Minute
)

// Calendar returns the time of day and ignores jumps of the wall clock that are reverted within
// jumpHoldTime. It is safe for concurrent use.
type Calendar struct {
	mu sync.Mutex
	// offset is the accepted time of day at the boot of the machine.
	offset time.Duration
	// jumpedAt is when the wall clock started to deviate from offset, zero when it does not.
	jumpedAt time.Time
}

// NewCalendar returns a calendar that accepts the given time of day. The argument boot is the
// result of Boot at the same time.
func NewCalendar(day, boot time.Time) *Calendar { return &Calendar{offset: clockOffset(day, boot)} }

// At returns the time of day for the given readings of the wall clock and of Boot.
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

// Now returns the current time of day.
func (c *Calendar) Now() time.Time { return c.At(time.Now(), Boot()) }

func clockOffset(day, boot time.Time) time.Duration {
	return time.Duration(day.UnixNano() - boot.UnixNano())
}
