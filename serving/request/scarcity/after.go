package scarcity

import (
	"math"
	"time"
)

const (
	// ratePeriod is the time constant of the measured rate of served prompt tokens, and
	// shortestRate the least time that a rate is taken over, against a few early answers.
	ratePeriod   = 5 * time.Second
	minRateTime = time.Second
	// retryShare is the share of that rate that returns of refused requests may fill; the rest
	// is for requests that come for the first time.
	retryShare = 0.5
	// retrySpread is the part of a wait over which returns are spread.
	retrySpread = 0.5
	// minRetryAfter is the least wait, with time for a connection, and longestAfter the longest:
	// beyond two minutes the present load says nothing.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter  = 2 * time.Minute
)

// retryAfter returns when the caller of a refused request may come back: when the estimate for its
// kind is within the target, and while the service is crowded not before the requests that
// were refused earlier can have been served.
func (s *service) retryAfter(now time.Time, ask *Ask, draw float64) time.Duration {
	base := ask.estimate() - ask.Target
	if s.overloaded {
		base = max(base, s.reserveRetry(now, ask))
	}
	base = min(max(base, minRetryAfter), maxRetryAfter)
	place, present := s.position(now, ask.Rank)
	part := (float64(place) + draw) / float64(present)
	return base + time.Duration(retrySpread*part*float64(base))
}

// reserveRetry takes a place for the return of a request and returns the wait until then. Without any
// answer the rate of the service is not known, and no place is taken.
func (s *service) reserveRetry(now time.Time, ask *Ask) time.Duration {
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

// recordServed counts a request whose answer began.
func (s *service) recordServed(now time.Time, ask *Ask) {
	if !within(now, s.served.at, presenceTTL) {
		s.served, s.servedFrom = decayed{}, now
	}
	s.served.add(now, ratePeriod, float64(ask.Tokens))
}

// rate returns the prompt tokens that are served in a second. Admitted ones would tell too much
// in a burst, until the estimates know of it.
func (s *service) rate(now time.Time) float64 {
	covered := ratePeriod.Seconds() * (1 - decayFactor(now.Sub(s.servedFrom), ratePeriod))
	return s.served.value(now, ratePeriod) / max(covered, minRateTime.Seconds())
}

// rankPosition returns the place of a rank among those that are present, the most urgent first.
func (s *service) position(now time.Time, rank int) (place, present int) {
	for i := range s.ranks {
		if !within(now, s.ranks[i].seenAt, presenceTTL) {
			continue
		}
		present++
		if i < rank {
			place++
		}
	}
	return place, max(present, 1)
}

// decayFactor returns the part of a sum that is left after a time. A clock that goes back leaves all.
func decayFactor(passed, period time.Duration) float64 {
	return math.Exp(-max(passed, 0).Seconds() / period.Seconds())
}
