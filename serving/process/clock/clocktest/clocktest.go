// Package clocktest creates times for tests that time.Now cannot return.
//
// # Usage
//
//	later := clocktest.Step(now.Add(time.Second), 5*time.Second)
package clocktest

import (
	"time"
	"unsafe"
)

// Step returns a time from time.Now as if the wall clock had jumped while the monotonic clock
// continued. Only whole seconds of the jump count.
func Step(t time.Time, jump time.Duration) time.Time {
	// The first word of a time with a monotonic reading holds the wall clock's seconds above 30
	// bits of nanoseconds.
	const nanosecondBits = 30
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(jump/time.Second)) << nanosecondBits
	return t
}
