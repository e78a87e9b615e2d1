package sizing

import (
	"sync"
	"time"

	"papayaport.dev/serving/process/clock"
)

// windowTime is the sliding window over which the rate is averaged: long enough for a few large
// prompts at one entry instance, and shorter than the boot time of a server.
const windowTime = 3 * time.Second

// windowBuckets is the number of buckets in the window.
const windowBuckets = 6

const bucketTime = windowTime / windowBuckets

// TokenMeter measures the rate of the admitted prompt tokens at an entry instance, per service.
// Requests refused by a rate limit must not be added: servers for them would be idle. It is safe
// for concurrent use.
type TokenMeter struct {
	mu      sync.Mutex
	windows map[string]*window
}

type window struct {
	first  time.Time
	tokens [windowBuckets + 1]float64
	// current is the number of the current bucket, counted from the start of the clock.
	current int64
}

// NewTokenMeter returns a TokenMeter without requests.
func NewTokenMeter() *TokenMeter { return &TokenMeter{windows: map[string]*window{}} }

// Admitted adds the tokens of an admitted request of a service.
func (i *TokenMeter) Admitted(at time.Time, service string, tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w := i.windows[service]
	if w == nil {
		w = &window{first: at}
		i.windows[service] = w
	}
	w.advance(at)
	w.tokens[w.current%int64(len(w.tokens))] += float64(tokens)
}

// PerSecond returns the tokens per second over the window, by service. A service whose first
// request is within the window is measured from that request on.
func (i *TokenMeter) PerSecond(now time.Time) map[string]float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	rates := map[string]float64{}
	for service, w := range i.windows {
		w.advance(now)
		sum := 0.0
		for _, tokens := range w.tokens {
			sum += tokens
		}
		// The current bucket covers only a part of its time.
		filled := clock.Monotonic(now) - time.Duration(w.current)*bucketTime + windowTime
		rates[service] = sum / max(min(filled, now.Sub(w.first)), time.Second).Seconds()
	}
	return rates
}

// advance moves to the current bucket and clears the buckets that it reuses.
func (w *window) advance(now time.Time) {
	current := int64(clock.Monotonic(now) / bucketTime)
	if current-w.current > windowBuckets {
		w.tokens = [windowBuckets + 1]float64{}
		w.current = max(w.current, current)
	}
	for w.current < current {
		w.current++
		w.tokens[w.current%int64(len(w.tokens))] = 0
	}
}
