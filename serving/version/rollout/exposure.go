package rollout

import (
	"slices"
	"time"
)

const (
	// maxSavedCredit is the number of attempts that an instance may save beyond its initial
	// credit while it has no permit or no candidate server. More would overload the few
	// candidate servers of the trial when the permit arrives.
	maxSavedCredit = 3.0
	// maxSpendFactor is the maximum ratio at which saved credit is spent to that at which it is
	// earned, for the same reason.
	maxSpendFactor = 2.0
	// maxSpacing is the time after which an attempt may go to the candidate whatever the
	// spacing, so that a service with few requests gets answers: five requests a second overload
	// no server.
	maxSpacing = 200 * time.Millisecond
	// reservationTTL is how long credit stays reserved for an attempt that was picked but not
	// sent.
	reservationTTL = time.Second
	// routeLagThreshold is the lag in attempts from which a route takes precedence.
	routeLagThreshold = 0.5
	// maxNamedRoutes bounds the routes counted by name; all others are counted together.
	maxNamedRoutes = 64
	// otherRoutes is the name of the combined count.
	otherRoutes = "*"
)

// exposure is a token bucket: an instance's credit for attempts at the candidate of one order.
//
// The attempts at the candidate never exceed the initial credit plus creditPerAttempt times all
// attempts, except for attempts that are sent later than reservationTTL after their pick.
type exposure struct {
	order            uint64
	creditPerAttempt float64 // earned by each attempt
	credit           float64
	initial          float64
	started          bool
	// reserved holds the times at which credit was reserved, oldest first.
	reserved       []time.Time
	routes         map[string]*attemptCounts
	total          attemptCounts
	sinceCandidate int       // attempts since the last one sent to the candidate
	lastCandidate  time.Time // last attempt at the candidate
}

// attemptCounts holds the number of all attempts and of those at the candidate.
type attemptCounts struct{ total, candidate int }

func newExposure(order uint64, earn float64) *exposure {
	return &exposure{order: order, creditPerAttempt: earn, routes: make(map[string]*attemptCounts)}
}

// grantInitial grants the initial credit once.
func (e *exposure) grantInitial(initial float64) {
	if e.started {
		return
	}
	e.started, e.initial = true, initial
	e.credit += initial
}

// reserve reserves credit for an attempt at the candidate, if there is any.
func (e *exposure) reserve(now time.Time, route string) bool {
	e.expire(now)
	credit := e.credit - float64(len(e.reserved))
	if credit < 1 {
		return false
	}
	// A lagging route is rare and skips the spacing: its requests might always come too soon
	// after others.
	own := e.lag(e.routeCounts(route))
	if own < routeLagThreshold && !e.spacingElapsed(now) {
		return false
	}
	if credit < 2 && e.otherRouteLagsMore(own) {
		return false
	}
	e.reserved = append(e.reserved, now)
	return true
}

// expire drops reservations of attempts that were never sent.
func (e *exposure) expire(now time.Time) {
	e.reserved = slices.DeleteFunc(e.reserved, func(at time.Time) bool {
		return now.Sub(at) > reservationTTL
	})
}

func (e *exposure) spacingElapsed(now time.Time) bool {
	if e.total.candidate == 0 && len(e.reserved) == 0 {
		return true
	}
	last := e.lastCandidate
	if n := len(e.reserved); n > 0 {
		last = e.reserved[n-1]
	}
	if now.Sub(last) >= maxSpacing {
		return true
	}
	return len(e.reserved) == 0 && float64(e.sinceCandidate)*maxSpendFactor*e.creditPerAttempt >= 1
}

// otherRouteLagsMore reports whether another route has a greater lag than own.
func (e *exposure) otherRouteLagsMore(own float64) bool {
	for _, other := range e.routes {
		if lag := e.lag(other); lag >= routeLagThreshold && lag > own {
			return true
		}
	}
	return false
}

// lag returns the number of attempts at the candidate that a route is short of its share.
func (e *exposure) lag(route *attemptCounts) float64 {
	if e.total.total == 0 {
		return 0
	}
	share := float64(route.total) / float64(e.total.total)
	return share*float64(e.total.candidate) - float64(route.candidate)
}

func (e *exposure) routeCounts(route string) *attemptCounts {
	if c := e.routes[route]; c != nil {
		return c
	}
	if len(e.routes) >= maxNamedRoutes {
		route = otherRoutes
	}
	c := e.routes[route]
	if c == nil {
		c = &attemptCounts{}
		e.routes[route] = c
	}
	return c
}

func (e *exposure) countSent(now time.Time, route string, candidate bool) {
	e.credit = min(e.credit+e.creditPerAttempt, max(e.credit, e.initial+maxSavedCredit))
	e.sinceCandidate++
	for _, c := range []*attemptCounts{e.routeCounts(route), &e.total} {
		c.total++
		if candidate {
			c.candidate++
		}
	}
	if !candidate {
		return
	}
	e.credit--
	e.sinceCandidate, e.lastCandidate = 0, now
	if len(e.reserved) > 0 {
		e.reserved = e.reserved[1:]
	}
}
