// Package usage counts the requests of client accounts by windows of the calendar, and
// decides what is reported for a window.
//
// Every entry instance counts the requests that began to run through it. When a window
// has ended it writes its counts to the platform's store; the holder of the reporting
// duty adds up what is there and fixes the sum by a conditional write before it sends
// it, so that whoever reports the same window later can only repeat it.
//
// A Counter is pure and has one mutex; it calls nothing while it is locked.
//
// # Usage
//
//	counter := usage.New(5*time.Second)
//	counter.Began(time.Now(), "desk")
//	for _, window := range counter.Ended(time.Now()) {
//		// write window.Counts
//	}
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Settle is how long after its end a window is still counted, for requests whose first
// token arrived before the end and was counted just after it.
const Settle = 300 * time.Millisecond

// Kept is the number of ended windows that are kept for reports that are late.
const Kept = 6

// Counts is the number of requests that began to run, by client account.
type Counts map[string]int

// Window is one ended window.
type Window struct {
	// Number is the window's number since 1970.
	Number int64
	Counts Counts
}

// Counter counts the requests of one entry instance.
type Counter struct {
	length time.Duration

	mu      sync.Mutex
	windows map[int64]Counts
	// written is the number of the last window that Ended returned.
	written int64
	// ended holds the last windows that Ended returned.
	ended map[int64]Counts
}

// New returns a counter with windows of a length.
func New(length time.Duration) *Counter {
	return &Counter{length: length, windows: map[int64]Counts{}, ended: map[int64]Counts{}}
}

// Number returns the number of the window that a time lies in.
func (c *Counter) Number(at time.Time) int64 { return at.UnixNano() / int64(c.length) }

// End returns when a window ends.
func (c *Counter) End(number int64) time.Time { return time.Unix(0, (number+1)*int64(c.length)) }

// Began counts a request that began to run. One that belongs to a window that was
// written already counts in the first one that was not.
func (c *Counter) Began(at time.Time, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := max(c.Number(at), c.written+1)
	if c.windows[number] == nil {
		c.windows[number] = Counts{}
	}
	c.windows[number][account]++
}

// Ended returns the windows that ended and were not returned before, oldest first. A
// window without requests is not among them.
func (c *Counter) Ended(now time.Time) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.Number(now.Add(-Settle)) - 1
	var ended []Window
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		if number > last {
			continue
		}
		ended = append(ended, Window{Number: number, Counts: c.windows[number]})
		c.ended[number] = c.windows[number]
		delete(c.windows, number)
	}
	c.written = max(c.written, last)
	maps.DeleteFunc(c.ended, func(number int64, _ Counts) bool { return number <= last-Kept })
	return ended
}

// Rest returns the windows that Ended did not return, the running one included, for a
// process that ends.
func (c *Counter) Rest() []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []Window
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		rest = append(rest, Window{Number: number, Counts: c.windows[number]})
	}
	return rest
}

// Told returns what this process counted in the running window and the last ones, for
// whoever adds up and can't read what this instance writes.
func (c *Counter) Told() map[int64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	told := map[int64]Counts{}
	for _, windows := range []map[int64]Counts{c.ended, c.windows} {
		for number, counts := range windows {
			told[number] = maps.Clone(counts)
		}
	}
	return told
}

// Sum adds up the counts of several entry instances.
func Sum(all []Counts) Counts {
	sum := Counts{}
	for _, counts := range all {
		for account, count := range counts {
			sum[account] += count
		}
	}
	return sum
}
