// Package usage counts the requests of client accounts in fixed calendar windows, and determines
// the counts to report for each window.
//
// Every entry instance counts the requests that started to run through it. After the end of a
// window it writes its counts to the platform's store. The holder of the reporting duty sums the
// counts and stores the sum by a conditional write before it sends it, so that any later report of
// the same window repeats the same sum.
//
// A Counter does no I/O and reads no clock. It has one mutex and calls nothing outside the package
// while it holds it.
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

// SettleTime is how long after its end a window still accepts counts, for requests whose first token
// arrived before the end and was counted after it.
const SettleTime = 300 * time.Millisecond

// KeptWindows is the number of ended windows that are kept for late reports.
const KeptWindows = 6

// Counts is the number of requests that started to run, by client account.
type Counts map[string]int

// Window is one ended window.
type Window struct {
	// Number is the number of the window since 1970.
	Number int64
	Counts Counts
}

// Counter counts the requests of one entry instance.
type Counter struct {
	length time.Duration

	mu      sync.Mutex
	windows map[int64]Counts
	// written is the number of the last window that Ended covered.
	written int64
	// ended holds the last windows that Ended returned.
	ended map[int64]Counts
}

// New returns a counter with windows of the given length.
func New(length time.Duration) *Counter {
	return &Counter{length: length, windows: map[int64]Counts{}, ended: map[int64]Counts{}}
}

// Number returns the number of the window that contains a time.
func (c *Counter) Number(at time.Time) int64 { return at.UnixNano() / int64(c.length) }

// End returns the end of a window.
func (c *Counter) End(number int64) time.Time { return time.Unix(0, (number+1)*int64(c.length)) }

// Began counts a request that started to run. If its window was already written, it counts in the
// first one that was not.
func (c *Counter) Began(at time.Time, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := max(c.Number(at), c.written+1)
	if c.windows[number] == nil {
		c.windows[number] = Counts{}
	}
	c.windows[number][account]++
}

// Ended returns the windows that have ended and were not returned before, oldest first. Windows
// without requests are omitted.
func (c *Counter) Ended(now time.Time) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.Number(now.Add(-SettleTime)) - 1
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
	maps.DeleteFunc(c.ended, func(number int64, _ Counts) bool { return number <= last-KeptWindows })
	return ended
}

// Unreturned returns the windows that Ended has not returned, including the current one, for a process
// that exits.
func (c *Counter) Unreturned() []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []Window
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		rest = append(rest, Window{Number: number, Counts: c.windows[number]})
	}
	return rest
}

// Recent returns the counts of this process in the current window and the last ended ones, for peers
// that cannot read the counts that this instance writes.
func (c *Counter) Recent() map[int64]Counts {
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

// Sum returns the sums over the counts of several entry instances.
func Sum(all []Counts) Counts {
	sum := Counts{}
	for _, counts := range all {
		for account, count := range counts {
			sum[account] += count
		}
	}
	return sum
}
