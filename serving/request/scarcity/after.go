package scarcity

import (
	"math"
	"time"
)

const (
	// ratePeriod is the time constant of the measured rate of served prompt tokens, and
	// shortestRate the least time that a rate is taken over, against a few early answers.
	ratePeriod   = 5 * time.Second
	shortestRate = time.Second
	// returnShare is the share of that rate that returns of refused requests may fill; the rest
	// is for requests that come for the first time.
	returnShare = 0.5
	// afterSpread is the part of a wait over which returns are spread.
	afterSpread = 0.5
	// shortestAfter is the least wait, with time for a connection, and longestAfter the longest:
	// beyond two minutes the present load says nothing.
	shortestAfter = 100 * time.Millisecond
	longestAfter  = 2 * time.Minute
)

// after returns when the caller of a refused request may come back: when the estimate for its
// kind is within the target, and while the service is crowded not before the requests that
// were refused earlier can have been served.
func (s *service) after(now time.Time, ask *Ask, draw float64) time.Duration {
	base := ask.estimate() - ask.Target
	if s.crowded {
		base = max(base, s.book(now, ask))
	}
	base = min(max(base, shortestAfter), longestAfter)
	place, present := s.place(now, ask.Rank)
	part := (float64(place) + draw) / float64(present)
	return base + time.Duration(afterSpread*part*float64(base))
}

// book takes a place for the return of a request and returns the wait until then. Without any
// answer the rate of the service is not known, and no place is taken.
func (s *service) book(now time.Time, ask *Ask) time.Duration {
	rate := returnShare * s.rate(now)
	if rate <= 0 {
		return 0
	}
	if s.booked.Before(now) {
		s.booked = now
	}
	wait := min(float64(ask.Tokens)/rate, longestAfter.Seconds())
	s.booked = s.booked.Add(time.Duration(wait * float64(time.Second)))
	if latest := now.Add(longestAfter); s.booked.After(latest) {
		s.booked = latest
	}
	return s.booked.Sub(now)
}

// serve counts a request whose answer began.
func (s *service) serve(now time.Time, ask *Ask) {
	if !within(now, s.served.at, presence) {
		s.served, s.servedFrom = decayed{}, now
	}
	s.served.add(now, ratePeriod, float64(ask.Tokens))
}

// rate returns the prompt tokens that are served in a second. Admitted ones would tell too much
// in a burst, until the estimates know of it.
func (s *service) rate(now time.Time) float64 {
	covered := ratePeriod.Seconds() * (1 - fade(now.Sub(s.servedFrom), ratePeriod))
	return s.served.value(now, ratePeriod) / max(covered, shortestRate.Seconds())
}

// place returns the place of a rank among those that are present, the most urgent first.
func (s *service) place(now time.Time, rank int) (place, present int) {
	for i := range s.ranks {
		if !within(now, s.ranks[i].seenAt, presence) {
			continue
		}
		present++
		if i < rank {
			place++
		}
	}
	return place, max(present, 1)
}

// fade returns the part of a sum that is left after a time. A clock that goes back leaves all.
func fade(passed, period time.Duration) float64 {
	return math.Exp(-max(passed, 0).Seconds() / period.Seconds())
}
