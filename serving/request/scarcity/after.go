package scarcity

import (
	"math"
	"time"
)

const (
	// ratePeriod is the time constant of the measured rate of served prompt tokens, and
	// minRateTime the shortest time over which it is measured, so that a few early responses
	// don't give too high a rate.
	ratePeriod  = 5 * time.Second
	minRateTime = time.Second
	// retryShare is the fraction of that rate reserved for retries of refused requests; the rest
	// is for new requests.
	retryShare = 0.5
	// retrySpread is the fraction of the wait over which retries are spread.
	retrySpread = 0.5
	// minRetryAfter is the shortest wait, long enough to open a connection, and maxRetryAfter the
	// longest: the current load does not predict the load more than two minutes ahead.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
)

// retryAfter returns how long the caller of a refused request has to wait: until the estimate
// for such a request is within its target and, while the service is overloaded, until the
// requests refused earlier can have been served.
func (s *service) retryAfter(now time.Time, ask *Request, draw float64) time.Duration {
	base := ask.estimate() - ask.Target
	if s.overloaded {
		base = max(base, s.reserveRetry(now, ask))
	}
	base = min(max(base, minRetryAfter), maxRetryAfter)
	position, present := s.position(now, ask.Rank)
	part := (float64(position) + draw) / float64(present)
	return base + time.Duration(retrySpread*part*float64(base))
}

// reserveRetry reserves capacity for the retry of a request and returns the wait until then.
// Before the first response the service rate is unknown and nothing is reserved.
func (s *service) reserveRetry(now time.Time, ask *Request) time.Duration {
	rate := retryShare * s.rate(now)
	if rate <= 0 {
		return 0
	}
	if s.reservedUntil.Before(now) {
		s.reservedUntil = now
	}
	wait := min(float64(ask.Tokens)/rate, maxRetryAfter.Seconds())
	s.reservedUntil = s.reservedUntil.Add(time.Duration(wait * float64(time.Second)))
	if latest := now.Add(maxRetryAfter); s.reservedUntil.After(latest) {
		s.reservedUntil = latest
	}
	return s.reservedUntil.Sub(now)
}

// recordServed counts a request whose response began.
func (s *service) recordServed(now time.Time, ask *Request) {
	if !within(now, s.served.at, presenceTTL) {
		s.served, s.servedFrom = decayed{}, now
	}
	s.served.add(now, ratePeriod, float64(ask.Tokens))
}

// rate returns the served prompt tokens per second. Counting admitted ones instead would
// overstate the rate at the start of a burst, until the estimates include it.
func (s *service) rate(now time.Time) float64 {
	covered := ratePeriod.Seconds() * (1 - decayFactor(now.Sub(s.servedFrom), ratePeriod))
	return s.served.value(now, ratePeriod) / max(covered, minRateTime.Seconds())
}

// position returns the index of a rank among the present ranks, the most urgent first, and
// the number of present ranks.
func (s *service) position(now time.Time, rank int) (position, present int) {
	for i := range s.ranks {
		if !within(now, s.ranks[i].seenAt, presenceTTL) {
			continue
		}
		present++
		if i < rank {
			position++
		}
	}
	return position, max(present, 1)
}

// decayFactor returns the fraction of a decayed sum that is left after a time. It is 1 if the
// clock went backwards.
func decayFactor(passed, period time.Duration) float64 {
	return math.Exp(-max(passed, 0).Seconds() / period.Seconds())
}
