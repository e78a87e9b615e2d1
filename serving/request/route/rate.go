package route

import (
	"slices"
	"time"
)

const (
	// leastRateTokens is the number of uncached tokens from which on an attempt tells the rate:
	// reading fewer takes no longer than other delays.
	leastRateTokens = 4000
	// rateSamples is the number of the last attempts whose median is the rate of a service.
	rateSamples = 256
	// fewestRateSamples is the number before which the configured rate applies.
	fewestRateSamples = 32
	// ratePeriod is the number of attempts between two looks at the median, which sorts all.
	ratePeriod = 16
	// rateRange bounds the rate to this part and this multiple of the configured one.
	rateRange = 4
)

// rates learns how many prompt tokens the servers of a service read in a second, from the
// time to the first token.
type rates struct {
	samples []float64
	// added counts all samples.
	added  int
	sorted []float64
	// median is 0 while there are too few samples.
	median float64
}

// add takes in that a number of tokens took a time, and tells whether the median is new.
func (r *rates) add(tokens int, took time.Duration) bool {
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
	if len(r.samples) < fewestRateSamples || r.added%ratePeriod != 0 {
		return false
	}
	r.sorted = append(r.sorted[:0], r.samples...)
	slices.Sort(r.sorted)
	r.median = r.sorted[len(r.sorted)/2]
	return true
}

// of returns the rate of a server whose configured rate is given.
func (r *rates) of(configured float64) float64 {
	if r.median == 0 {
		return configured
	}
	return min(max(r.median, configured/rateRange), configured*rateRange)
}

// learnRate takes in the first token of an attempt. Those that may have waited for a slot tell
// nothing.
func (a *attempt) learnRate(now moment) {
	b := a.backend
	if a.prefill < leastRateTokens || a.ahead.slot || a.ahead.tokens <= 0 {
		return
	}
	took := now.since(a.sentAt) - b.trip - b.betweenTokens()
	if !b.group.rates.add(a.ahead.tokens, took) {
		return
	}
	for _, other := range b.group.backends {
		other.updateSpeed()
	}
}

// updateSpeed derives the server's speed anew from what is known.
func (b *backend) updateSpeed() { b.speed = newSpeed(&b.Backend, &b.load, &b.group.rates) }
