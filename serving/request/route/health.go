package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Weights of a new observation when it is worse or better than expected.
	worseWeight  = 0.3
	betterWeight = 0.1
	// firstDeviation is the smallest mean absolute error that estimates are given.
	firstDeviation = 20 * time.Millisecond
	// deviationHalfLife is the time in which half of a service's mean error is forgotten.
	deviationHalfLife = 15 * time.Second
	// deviationWeight is the weight of a new error in the mean of a service.
	deviationWeight = 0.05
	// errorHalfLife is the time in which a server without observations wins half of its
	// reputation back.
	errorHalfLife = 3 * time.Second

	// betweenWeight is the weight of a new time between tokens.
	betweenWeight = 0.05

	// stallAfter is the silence of a server with requests in flight that counts as a stall.
	stallAfter = time.Second

	// barBelow is the trust below which a server is barred for a while.
	barBelow = 0.6
	// recoverShare is the share of lost trust that one whole answer restores.
	recoverShare = 0.15
	firstBar     = 250 * time.Millisecond
	longestBar   = 10 * time.Second
)

// trustAfter is the factor that an attempt's result puts on the trust in a server.
var trustAfter = map[Result]float64{
	Failed:  0.5,
	Silent:  0.25,
	Wrong:   0.1,
	Refused: 0.8,
}

// observed compares what a server did with what was estimated.
type observed struct {
	// late is the mean time by which first tokens came later than estimated.
	late    time.Duration
	at      moment
	between time.Duration
}

// add takes in a first token that came some time later than the mean estimate, and
// returns by how much that differs from the mean so far.
func (o *observed) add(now moment, late time.Duration) time.Duration {
	o.late, o.at = o.lateness(now), now
	difference := late - o.late
	weight := betterWeight
	if difference > 0 {
		weight = worseWeight
	}
	o.late += time.Duration(weight * float64(difference))
	return max(difference, -difference)
}

// lateness returns the mean lateness, which fades as time passes without observations.
func (o *observed) lateness(now moment) time.Duration {
	if o.late == 0 {
		return 0
	}
	return fade(o.late, now.since(o.at), errorHalfLife)
}

// fade halves a time with every half-life that passed.
func fade(d, passed, halfLife time.Duration) time.Duration {
	return time.Duration(float64(d) * math.Exp2(-passed.Seconds()/halfLife.Seconds()))
}

// deviations holds how far estimates were off at all servers of a service. It is one
// figure for all, so that servers without observations don't look surer than others.
type deviations struct {
	mean time.Duration
	at   moment
}

// add takes in the absolute difference of one observation from its server's mean.
func (d *deviations) add(now moment, difference time.Duration) {
	d.mean, d.at = fade(d.mean, now.since(d.at), deviationHalfLife), now
	d.mean += time.Duration(deviationWeight * float64(difference-d.mean))
}

// margin returns what estimates need on top at a number of standard deviations.
func (d *deviations) margin(now moment, spread float64) time.Duration {
	mean := max(fade(d.mean, now.since(d.at), deviationHalfLife), firstDeviation)
	return time.Duration(spread * absoluteDeviation * float64(mean))
}

// addBetween takes in one time between tokens.
func (o *observed) addBetween(seen time.Duration) {
	if o.between == 0 {
		o.between = seen
		return
	}
	o.between += time.Duration(betweenWeight * float64(seen-o.between))
}

// health is the trust in a server that follows from its results.
type health struct {
	// distrust is 1 minus the trust, so that the zero value is full trust.
	distrust float64
	failures int
	barred   moment
	// progress is the last time the server sent something or was given work while idle.
	progress moment
}

// add takes in the result of one attempt.
func (h *health) add(now moment, result Result, random *rand.Rand) {
	if result == Cancelled {
		return
	}
	if result == OK {
		h.distrust -= h.distrust * recoverShare
		h.failures = 0
		return
	}
	h.distrust = 1 - (1-h.distrust)*trustAfter[result]
	if 1-h.distrust >= barBelow {
		return
	}
	bar := min(firstBar<<min(h.failures, 8), longestBar)
	h.failures++
	h.barred = now + moment(bar/2) + moment(random.Int64N(int64(bar)))
}

// admits tells whether a server may take another request: none while it is barred, and
// afterwards as many as the trust regained allows.
func (h *health) admits(now moment, inFlight, slots int) bool {
	if h.distrust < 1-barBelow {
		return true
	}
	if now < h.barred {
		return false
	}
	return inFlight < 1+int((1-h.distrust)*float64(slots))
}

// stall returns how long the server has been silent with requests in flight, beyond
// what is usual.
func (b *backend) stall(now moment) time.Duration {
	if b.own.inFlight == 0 {
		return 0
	}
	return max(now.since(b.health.progress)-stallAfter, 0)
}
