package backpressure

import (
	"strconv"
	"strings"
	"time"
)

// LongestWait bounds the wait that a backend server asks for, to what a leaving or restarted
// server takes at most.
const LongestWait = time.Minute

// ParseNumber reads a number that is not negative.
func ParseNumber(value string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	return number, err == nil && number >= 0
}

// ParseWait reads a wait in seconds, fractions allowed, up to LongestWait.
func ParseWait(value string) (wait time.Duration, ok bool) {
	seconds, ok := ParseNumber(value)
	if !ok {
		return 0, false
	}
	return time.Duration(min(seconds, LongestWait.Seconds()) * float64(time.Second)), true
}
