package rollout

import (
	"slices"
	"time"
)

const (
	// savedMost is how many attempts' credit an instance saves beyond its initial credit, while
	// it has no permit or no candidate server. More would overload the few candidate servers of
	// the trial when the permit comes.
	savedMost = 3.0
	// spacingFactor bounds how much faster than its credit grows an instance spends saved
	// credit, for the same reason.
	spacingFactor = 2.0
	// spacingTime lets an attempt go to the candidate after this time whatever the spacing, so
	// that a service with few requests gets its answers. Five a second load no server.
	spacingTime = 200 * time.Millisecond
	// reserveLife is how long credit stays reserved for an attempt that was picked and not sent.
	reserveLife = time.Second
	// laggingRoute is by how many attempts a route must lag to go before others.
	laggingRoute = 0.5
	// routesMost bounds the routes that are told apart; the rest count as one.
	routesMost = 64
	// otherRoutes is the name under which the rest is counted.
	otherRoutes = "*"
)

// exposure is the credit of an instance for attempts at the candidate of one order.
//
// The attempts at the candidate never exceed the initial credit plus earn times all attempts,
// save for attempts that are sent later than reserveLife after their pick.
type exposure struct {
	order   uint64
	earn    float64 // credit for each attempt
	credit  float64
	initial float64
	started bool
	// reserved holds when credit was reserved, oldest first.
	reserved []time.Time
	routes   map[string]*exposed
	total    exposed
	since    int       // attempts since the last one at the candidate
	last     time.Time // of the last one at the candidate
}

// exposed counts attempts, and those at the candidate among them.
type exposed struct{ all, candidate int }

func newExposure(order uint64, earn float64) *exposure {
	return &exposure{order: order, earn: earn, routes: make(map[string]*exposed)}
}

// start grants the initial credit, once.
func (e *exposure) start(initial float64) {
	if e.started {
		return
	}
	e.started, e.initial = true, initial
	e.credit += initial
}

// reserve takes credit for an attempt at the candidate, if there is any.
func (e *exposure) reserve(now time.Time, route string) bool {
	e.expire(now)
	credit := e.credit - float64(len(e.reserved))
	if credit < 1 {
		return false
	}
	// A route that lags is rare and goes at once: it might always come too soon after others.
	own := e.lag(e.count(route))
	if own < laggingRoute && !e.spaced(now) {
		return false
	}
	if credit < 2 && e.behind(own) {
		return false
	}
	e.reserved = append(e.reserved, now)
	return true
}

// expire drops reservations of attempts that were never sent.
func (e *exposure) expire(now time.Time) {
	e.reserved = slices.DeleteFunc(e.reserved, func(at time.Time) bool {
		return now.Sub(at) > reserveLife
	})
}

func (e *exposure) spaced(now time.Time) bool {
	if e.total.candidate == 0 && len(e.reserved) == 0 {
		return true
	}
	last := e.last
	if n := len(e.reserved); n > 0 {
		last = e.reserved[n-1]
	}
	if now.Sub(last) >= spacingTime {
		return true
	}
	return len(e.reserved) == 0 && float64(e.since)*spacingFactor*e.earn >= 1
}

// behind tells whether a route waits for the candidate more than one that lags by own.
func (e *exposure) behind(own float64) bool {
	for _, other := range e.routes {
		if lag := e.lag(other); lag >= laggingRoute && lag > own {
			return true
		}
	}
	return false
}

// lag returns how many attempts at the candidate a route lacks for its share of all attempts.
func (e *exposure) lag(route *exposed) float64 {
	if e.total.all == 0 {
		return 0
	}
	share := float64(route.all) / float64(e.total.all)
	return share*float64(e.total.candidate) - float64(route.candidate)
}

func (e *exposure) count(route string) *exposed {
	if c := e.routes[route]; c != nil {
		return c
	}
	if len(e.routes) >= routesMost {
		route = otherRoutes
	}
	c := e.routes[route]
	if c == nil {
		c = &exposed{}
		e.routes[route] = c
	}
	return c
}

func (e *exposure) sent(now time.Time, route string, candidate bool) {
	e.credit = min(e.credit+e.earn, max(e.credit, e.initial+savedMost))
	e.since++
	for _, c := range []*exposed{e.count(route), &e.total} {
		c.all++
		if candidate {
			c.candidate++
		}
	}
	if !candidate {
		return
	}
	e.credit--
	e.since, e.last = 0, now
	if len(e.reserved) > 0 {
		e.reserved = e.reserved[1:]
	}
}
