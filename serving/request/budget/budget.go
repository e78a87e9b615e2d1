// Package budget limits how often requests are sent again. The limit is a share of the requests of
// a service plus a fixed allowance, in any time window, over all entry instances together. Each
// entry instance spends the share of its own requests and an equal part of the allowance, so that
// the total is kept without communication.
//
// A Table does no I/O and reads no clock. It has one mutex and calls nothing outside the package
// while it holds it.
//
// # Usage
//
//	table := budget.New(budget.Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56}, now)
//	table.SetEntries(8)
//	table.Request(now, "model-bench")
//	if table.Take(now, "model-bench") {
//		// send again
//	}
package budget

import (
	"sync"
	"time"

	"papayaport.dev/serving/process/clock"
)

// buckets is the number of buckets that a window is counted in. One more is kept, so that the
// counted time is never shorter than the window.
const buckets = 10

// spendableShare is the share of the budget that is spent. The rest covers requests that reach
// their backend server in a later window than the one they were counted in.
const spendableShare = 0.8

// Limits is the budget of every service over all entry instances.
type Limits struct {
	// Ratio is the number of repeated sends per request.
	Ratio float64
	// Window is the length of the sliding window that the budget applies to.
	Window time.Duration
	// Allowance is the number of repeated sends per window that are allowed without any requests.
	Allowance float64
}

// Table counts the requests and repeated sends of all services at one entry instance.
type Table struct {
	limits Limits

	mu sync.Mutex
	// allowanceFrom is when this instance may start to use its part of the allowance.
	allowanceFrom time.Time
	entries       int
	services      map[string]*counts
}

type counts struct {
	requests, repeats [buckets + 1]int
	// bucket is the number of the current bucket.
	bucket int64
}

// New returns an empty table of an entry instance that starts now. Its part of the allowance is
// available after SetEntries was called and one window has passed: the previous process may have
// spent the part immediately before it ended. The wait is skipped for the first process of an
// instance.
func New(limits Limits, now time.Time) *Table {
	return &Table{limits: limits, allowanceFrom: now.Add(limits.Window), services: map[string]*counts{}}
}

// SkipInitialWait declares that this is the first process of the entry instance, so that its part of the
// allowance is available without waiting for a window.
func (t *Table) SkipInitialWait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allowanceFrom = time.Time{}
}

// SetEntries sets the number of entry instances, including this one.
func (t *Table) SetEntries(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = max(count, 1)
}

// Request counts the first send of a request.
func (t *Table) Request(now time.Time, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsAt(now, service)
	c.requests[c.bucket%(buckets+1)]++
}

// Take reports whether the budget allows a repeated send, and counts it if so.
func (t *Table) Take(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsAt(now, service)
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	allowed := spendableShare * (t.limits.Ratio*float64(requests) + t.allowance(now))
	if float64(repeats+1) > allowed {
		return false
	}
	c.repeats[c.bucket%(buckets+1)]++
	return true
}

// allowance returns this instance's part of the allowance.
func (t *Table) allowance(now time.Time) float64 {
	if t.entries == 0 || now.Before(t.allowanceFrom) {
		return 0
	}
	return t.limits.Allowance / float64(t.entries)
}

// countsAt returns the counts of a service after clearing the buckets that have expired.
func (t *Table) countsAt(now time.Time, service string) *counts {
	bucket := int64(clock.Monotonic(now) / (t.limits.Window / buckets))
	c := t.services[service]
	if c == nil {
		c = &counts{bucket: bucket}
		t.services[service] = c
	}
	for passed := 0; c.bucket < bucket && passed <= buckets; passed++ {
		c.bucket++
		c.requests[c.bucket%(buckets+1)] = 0
		c.repeats[c.bucket%(buckets+1)] = 0
	}
	c.bucket = max(c.bucket, bucket)
	return c
}
