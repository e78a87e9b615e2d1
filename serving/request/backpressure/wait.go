package backpressure

import (
	"strconv"
	"strings"
	"time"
)

// MaxWait limits the wait that a backend server can request, to the longest time that a
// leaving or restarting server takes.
const MaxWait = time.Minute

// ParseNumber parses a non-negative number.
func ParseNumber(value string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	return number, err == nil && number >= 0
}

// ParseWait parses a wait in seconds, which may have a fraction. Longer waits than MaxWait
// are reduced to it.
func ParseWait(value string) (wait time.Duration, ok bool) {
	seconds, ok := ParseNumber(value)
	if !ok {
		return 0, false
	}
	return time.Duration(min(seconds, MaxWait.Seconds()) * float64(time.Second)), true
}
