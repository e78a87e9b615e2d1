package route

import (
	"slices"
	"time"
)

const (
	// minRateTokens is the minimum number of uncached tokens of an attempt used as a sample: the
	// time to compute fewer is dominated by other delays.
	minRateTokens = 4000
	// rateSamples is the number of recent attempts whose median is the rate of a service.
	rateSamples = 256
	// minRateSamples is the number of samples required before the median replaces the configured
	// rate.
	minRateSamples = 32
	// medianInterval is the number of samples between two computations of the median, each of which
	// sorts all samples.
	medianInterval = 16
	// maxRateRatio bounds the rate to between 1/maxRateRatio of the configured rate and
	// maxRateRatio times that rate.
	maxRateRatio = 4
)

// prefillRates estimates the prompt tokens per second that the servers of a service compute, from
// the time to the first token.
type prefillRates struct {
	samples []float64
	// added is the total number of samples.
	added  int
	sorted []float64
	// median is 0 while there are too few samples.
	median float64
}

// add records the time that a number of tokens took, and reports whether the median was updated.
func (r *prefillRates) add(tokens int, took time.Duration) bool {
	if took <= 0 {
		return false
	}
	sample := float64(tokens) / took.Seconds()
	if len(r.samples) < rateSamples {
		r.samples = append(r.samples, sample)
	} else {
		r.samples[r.added%rateSamples] = sample
	}
	r.added++
	if len(r.samples) < minRateSamples || r.added%medianInterval != 0 {
		return false
	}
	r.sorted = append(r.sorted[:0], r.samples...)
	slices.Sort(r.sorted)
	r.median = r.sorted[len(r.sorted)/2]
	return true
}

// PrefillRate returns the learned prefill rate of a service's servers in tokens per second, and
// whether there are enough samples. It includes the time that a prompt waits behind others.
func (t *Table) PrefillRate(service string) (perSecond float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[service]
	if g == nil || g.prefillRates.median <= 0 {
		return 0, false
	}
	return g.prefillRates.median, true
}

// rateFor returns the rate of a server with the given configured rate.
func (r *prefillRates) rateFor(configured float64) float64 {
	if r.median == 0 {
		return configured
	}
	return min(max(r.median, configured/maxRateRatio), configured*maxRateRatio)
}

// learnRate adds a sample at the first token of an attempt. Attempts that may have waited for a
// slot are skipped, since their time does not show the rate.
func (a *attempt) learnRate(now monotime) {
	b := a.backend
	if a.prefill < minRateTokens || a.pendingWork.slot || a.pendingWork.tokens <= 0 {
		return
	}
	took := now.since(a.sentAt) - b.rtt - b.betweenTokens()
	if !b.group.prefillRates.add(a.pendingWork.tokens, took) {
		return
	}
	for _, other := range b.group.backends {
		other.updateSpeed()
	}
}

// updateSpeed recomputes the server's speed.
func (b *backend) updateSpeed() { b.speed = newSpeed(&b.Backend, &b.load, &b.group.prefillRates) }
