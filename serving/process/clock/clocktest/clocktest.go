// Package clocktest makes times for tests that time.Now alone can't give.
//
// # Usage
//
//	later := clocktest.Step(now.Add(time.Second), 5*time.Second)
package clocktest

import (
	"time"
	"unsafe"
)

// Step returns a time that time.Now gave as it would be had the time of day jumped, while
// the steady clock went on.
func Step(t time.Time, jump time.Duration) time.Time {
	// The first word of a time with a steady part holds its whole seconds above 30 bits.
	const nanosecondBits = 30
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(jump/time.Second)) << nanosecondBits
	return t
}
