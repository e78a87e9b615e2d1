package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
)

const (
	// retryAfterJitter is the maximum jitter of the Retry-After of requests that are refused
	// because of backpressure, as a share of the wait.
	retryAfterJitter = 0.5
	// minRetryAfter is the minimum of that Retry-After; a caller needs some time to connect.
	minRetryAfter = 100 * time.Millisecond
)

// SetEntries sets the list of all entry instances, including this one. Its order does not matter as
// long as it does not change between calls.
func (t *Table) SetEntries(now time.Time, entries []backpressure.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.entries, entries) {
		return
	}
	t.entries = slices.Clone(entries)
	for _, b := range t.backends {
		if b.limiter.Limit().Active {
			t.setPart(now, b)
		}
	}
}

// setPart updates this instance's part of a server's rate limit.
func (t *Table) setPart(now time.Time, b *backend) {
	self := backpressure.Entry{Instance: t.self.Instance, FailureDomain: t.self.FailureDomain}
	server := backpressure.Target{ID: b.ID, FailureDomain: b.FailureDomain, PerSecond: b.limiter.Limit().PerSecond}
	b.limiter.SetShare(now, backpressure.ShareOf(self, t.entries, server))
}

// ApplyBackpressure applies the backpressure signals in an answer of a backend server to an attempt sent at
// sentAt, and reports whether the server's known rate limit changed. Signals of another incarnation
// are ignored.
func (t *Table) ApplyBackpressure(now, sentAt time.Time, id string, incarnation uint64, asked backpressure.Signal) (limitChanged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil || b.Incarnation != incarnation || (asked == backpressure.Signal{} && !b.limiter.Limit().Active) {
		return false
	}
	limitChanged = b.limiter.Observe(now, sentAt, asked, t.random.Float64())
	if limitChanged {
		t.setPart(now, b)
	}
	return limitChanged
}

// ApplyPeerLimit applies a backend server's rate limit received from a peer, and reports whether the
// known limit changed.
func (t *Table) ApplyPeerLimit(now time.Time, id string, incarnation uint64, limit backpressure.Limit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil || b.Incarnation != incarnation {
		return false
	}
	changed = b.limiter.ObserveLimit(now, limit, t.random.Float64())
	if changed {
		t.setPart(now, b)
	}
	return changed
}

// Admit reports whether the selected server still accepts the request, and counts the request
// against the server's rate limit if Choose has not done so. It is called immediately before the
// request is sent: opening a connection takes time, and the server may have started to leave or
// signalled backpressure in the meantime.
func (t *Table) Admit(now time.Time, choice Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[choice.Backend.ID]
	if b == nil || b.Incarnation != choice.Backend.Incarnation {
		return true // the table's state belongs to another process
	}
	if b.leaving || b.limiter.PausedFor(now) > 0 {
		return false
	}
	return choice.limitCounted || b.limiter.Acquire(now)
}

// AdmissionWait returns the time until the first server of a service admits a request from this instance,
// 0 when one admits it now.
func (t *Table) AdmissionWait(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[service]
	if g == nil {
		return 0
	}
	var soonest time.Duration
	for _, b := range g.backends {
		if b.leaving || b.unlisted {
			continue
		}
		wait, admitted := b.limiter.Allow(now)
		if admitted {
			return 0
		}
		soonest = shorterWait(soonest, wait)
	}
	return soonest
}

// shorterWait returns the shorter of two waits; a known wait of 0 means none yet.
func shorterWait(known, wait time.Duration) time.Duration {
	if known == 0 {
		return wait
	}
	return min(known, wait)
}

// heldBackError returns the error for a request that no server admits because of backpressure.
func heldBackError(service string, opens time.Duration, random *rand.Rand) *problem.Error {
	wait := max(opens, minRetryAfter)
	wait += time.Duration(retryAfterJitter * random.Float64() * float64(wait))
	return problem.New(problem.HeldBack, "all backend servers of service %s asked for no request, the first for %d ms more",
		service, opens.Milliseconds()).WithRetryAfter(wait)
}
